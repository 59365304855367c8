package main

import (
	"net/netip"
	"time"
)

// playRolledFleet moves a route to another service, and then stops and starts all side nodes
// and some relays in turn, as for a new version. Nothing else happens. The flows that were
// opened before the move stay where they are.
func playRolledFleet(w *world, trouble bool) error {
	const (
		settle   = 5 * time.Second // configApplyMs is 3 s
		gap      = 2 * time.Second
		watchFor = 4 * time.Second
	)
	if err := w.build([3]int{2, 2, 2}, [3]int{2, 2, 3}, 8); err != nil {
		return err
	}
	moved := netip.MustParseAddrPort("198.18.0.3:443")
	n := 0
	for _, m := range w.machines {
		if m.side {
			if n++; n%3 == 0 {
				m.service = secondService
			}
		}
	}
	if err := w.writeTable(7, map[netip.AddrPort]string{routeAddress: serviceName, moved: secondService}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for zone := range 3 {
		go w.openFlowsTo(zone, 20, []netip.AddrPort{moved, moved, routeAddress}, 4*time.Second, func() time.Duration {
			return 8*time.Second + time.Duration(w.random.Int64N(int64(4*time.Second)))
		})
	}
	time.Sleep(5 * time.Second)
	if err := w.writeTable(10, map[netip.AddrPort]string{routeAddress: serviceName, moved: serviceName}); err != nil {
		return err
	}
	w.locked(func() { w.note("planned: the route of %v moves to %s", moved, serviceName) })
	time.Sleep(settle)
	w.locked(func() { w.counted = true; w.note("all machines are in touch") })
	for _, m := range w.machines {
		if m.side && trouble {
			if err := w.rollEvery(m, gap); err != nil {
				return err
			}
		}
	}
	for _, m := range w.machines {
		if !m.side && m.addr.As4()[3] == 1 { // the first relay of each zone
			if err := w.rollEvery(m, gap); err != nil {
				return err
			}
		}
	}
	time.Sleep(watchFor)
	return nil
}

// rollEvery stops the process of a machine and starts it again, and waits until the gap since
// the stop is over.
func (w *world) rollEvery(m *machine, gap time.Duration) error {
	next := time.Now().Add(gap)
	err := w.roll(m, 0)
	time.Sleep(time.Until(next))
	return err
}
