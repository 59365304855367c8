package main

import "time"

// playStaleConsent opens flows while the links of a zone lose packets, kills a process beside
// a server, and rolls the relays once all machines are in touch again.
func playStaleConsent(w *world, trouble bool) error {
	const (
		lossy    = 5300 * time.Millisecond
		inTouch  = 5500 * time.Millisecond // stableMs is 5 s
		perSec   = 120
		rollGap  = 1500 * time.Millisecond
		watchFor = 3 * time.Second
	)
	if err := w.build([3]int{2, 1, 1}, [3]int{0, 4, 3}, 8); err != nil {
		return err
	}
	if err := w.writeConfiguration(7, routeAddress); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	pause := func() time.Duration { return 2*time.Second + time.Duration(w.random.Int64N(int64(2*time.Second))) }
	if trouble {
		w.locked(func() {
			w.note("trouble: the links of oslo-a to the other zones lose 3%% of the packets")
			w.lossyZone, w.lossRate = "oslo-a", 0.03
		})
	}
	w.openFlows(0, perSec, lossy, pause)
	w.locked(func() { w.lossRate = 0; w.note("the links are well") })
	if trouble {
		for _, m := range w.machines {
			if m.name == "side-oslo-b-1" {
				w.locked(func() { w.note("trouble: %s is killed", m.name) })
				if err := m.killAndRestart(); err != nil {
					return err
				}
				w.locked(func() { w.note("%s is started again", m.name) })
			}
		}
	}
	time.Sleep(inTouch)
	w.locked(func() { w.counted = true; w.note("all machines are in touch") })
	if err := w.rollRelays(rollGap); err != nil {
		return err
	}
	time.Sleep(watchFor)
	return nil
}
