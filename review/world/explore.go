package main

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// playExplore applies random disruptions to find resets of open flows.
func playExplore(w *world, trouble bool) error {
	w.drainBound = 5 * time.Second
	if err := w.build([3]int{2, 2, 2}, [3]int{2, 2, 3}, 8); err != nil {
		return err
	}
	second, switched := netip.MustParseAddrPort("198.18.0.2:443"), netip.MustParseAddrPort("198.18.0.3:443")
	table := map[netip.AddrPort]string{routeAddress: serviceName, second: secondService, switched: serviceName}
	n := 0
	for _, m := range w.machines {
		if m.side {
			if n++; n%3 == 0 {
				m.service = secondService
			}
		}
	}
	version, switchedAt, before := 7, time.Duration(0), serviceName
	if err := w.writeTable(version, table); err != nil {
		return err
	}
	w.onOpening = func(m *machine, key flow.Key) {
		c := w.callers[key]
		switch {
		case m.service == table[key.Address]:
		case key.Address == switched && m.service == before && c.lastSent < switchedAt+5*time.Second:
		default:
			w.violation("ROUTE/CONFIG: %s of %s takes %v, sent %v, switched %v", m.name, m.service, key, c.lastSent, switchedAt)
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.counted = true
	kinds := os.Getenv("KINDS")
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	time.Sleep(4 * time.Second)
	pause := func() time.Duration {
		return 300*time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Second)))
	}
	for z := range 3 {
		go w.openFlowsTo(z, 10, []netip.AddrPort{routeAddress, routeAddress, second, switched}, time.Duration(length-8)*time.Second, pause)
	}
	end := time.Now().Add(time.Duration(length) * time.Second)
	busy := make(map[*machine]bool)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(400+w.random.IntN(1500)) * time.Millisecond)
		var m *machine
		var kind byte
		w.locked(func() {
			m = w.machines[w.random.IntN(len(w.machines))]
			kind = kinds[w.random.IntN(len(kinds))]
			if kind >= 'A' && kind <= 'Z' && m.side || busy[m] {
				m = nil
				return
			}
			w.note("trouble: %c %s", kind, m.name)
			busy[m] = true
		})
		if m == nil {
			continue
		}
		span := time.Duration(100+w.random.IntN(3500)) * time.Millisecond
		go func() {
			switch kind {
			case 'k', 'K':
				_ = m.killAndRestart()
			case 't', 'T':
				_ = m.termAndRestart()
			case 's', 'S':
				_ = m.process.Process.Signal(syscall.SIGSTOP)
				time.Sleep(span)
				_ = m.process.Process.Signal(syscall.SIGCONT)
			case 'l':
				w.locked(func() { w.lossyZone, w.lossRate = m.zone, 0.03 })
				time.Sleep(span)
				w.locked(func() { w.lossRate = 0 })
			case 'g':
				if w.now() < switchedAt+8*time.Second {
					break
				}
				next := serviceName
				if table[switched] == serviceName {
					next = secondService
				}
				changed := map[netip.AddrPort]string{routeAddress: serviceName, second: secondService, switched: next}
				w.mu.Lock()
				version += 3
				v := version
				w.mu.Unlock()
				if err := w.writeTable(v, changed); err != nil {
					w.locked(func() { w.note("configuration not written: %v", err) })
					break
				}
				w.locked(func() {
					before, table, switchedAt = table[switched], changed, w.now()
					w.note("configuration %d acked: %v", v, next)
				})
			case 'd', 'c':
				if !m.side {
					break
				}
				if kind == 'd' {
					w.locked(func() { m.server.state = "draining" })
					time.Sleep(time.Duration(3+w.random.IntN(5)) * time.Second)
				}
				w.locked(m.server.crash)
				time.Sleep(span)
				w.locked(func() { _ = m.server.startAgain() })
			case 'o':
				w.store.SetFaults(standin.PlatformFaults{Outage: true})
				time.Sleep(span)
				w.store.SetFaults(standin.PlatformFaults{})
			}
			w.locked(func() { w.note("end of trouble: %c %s", kind, m.name); busy[m] = false })
		}()
	}
	w.counted = false
	fmt.Println(kinds)
	return nil
}
