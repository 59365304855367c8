package main

import (
	"net/netip"
	"time"
)

// playMovedRoute moves a route to another service, and rolls the relays while a server of that
// service is down. The flows that were opened before the move stay where they are.
func playMovedRoute(w *world, trouble bool) error {
	const (
		settle   = 6 * time.Second // configApplyMs is 5 s
		sideGap  = 1200 * time.Millisecond
		downFor  = 4500 * time.Millisecond
		watchFor = 4 * time.Second
	)
	if err := w.build([3]int{2, 2, 2}, [3]int{2, 2, 3}, 8); err != nil {
		return err
	}
	moved := netip.MustParseAddrPort("198.18.0.3:443")
	var victim *server
	n := 0
	for _, m := range w.machines {
		if m.side {
			if n++; n%3 == 0 {
				m.service = secondService
			}
		}
		if m.name == "side-oslo-c-1" {
			victim = m.server
		}
	}
	if err := w.writeTable(7, map[netip.AddrPort]string{routeAddress: serviceName, moved: secondService}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for _, m := range w.machines {
		if m.side {
			if err := w.rollEvery(m, sideGap); err != nil {
				return err
			}
		}
	}
	time.Sleep(4 * time.Second)
	for zone := range 3 {
		go w.openFlowsTo(zone, 20, []netip.AddrPort{moved, moved, routeAddress}, 4*time.Second, func() time.Duration {
			return 500*time.Millisecond + time.Duration(w.random.Int64N(int64(time.Second)))
		})
	}
	time.Sleep(5 * time.Second)
	if err := w.writeTable(10, map[netip.AddrPort]string{routeAddress: serviceName, moved: serviceName}); err != nil {
		return err
	}
	w.locked(func() { w.note("planned: the route of %v moves to %s", moved, serviceName) })
	time.Sleep(settle)
	w.locked(func() { w.counted = true; w.note("all machines are in touch") })
	done := make(chan error, 1)
	if trouble {
		w.locked(victim.crash)
		go func() {
			time.Sleep(downFor)
			var err error
			w.locked(func() { err = victim.startAgain() })
			done <- err
		}()
	} else {
		done <- nil
	}
	for _, m := range w.machines {
		if !m.side && m.addr.As4()[3] == 1 { // the first relay of each zone
			if err := w.roll(m, 0); err != nil {
				return err
			}
		}
	}
	time.Sleep(watchFor)
	return <-done
}
