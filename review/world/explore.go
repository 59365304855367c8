package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"

	"dandelionhitch.example/standin"
)

// playExplore applies random disruptions to find resets of open flows.
func playExplore(w *world, trouble bool) error {
	w.drainBound = 5 * time.Second
	if err := w.build([3]int{2, 2, 2}, [3]int{2, 2, 3}, 8); err != nil {
		return err
	}
	if err := w.writeConfiguration(7, routeAddress); err != nil {
		return err
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
		go w.openFlows(z, 10, time.Duration(length-8)*time.Second, pause)
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
