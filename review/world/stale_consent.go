package main

import (
	"os"
	"time"
)

// playStaleConsent opens flows while the links of a zone lose packets, kills a process beside
// a server, and rolls the relays once all machines are in touch again.
func playStaleConsent(w *world, trouble bool) error {
	const (
		lossy    = 5300 * time.Millisecond
		inTouch  = 5500 * time.Millisecond // stableMs is 5 s
		perSec   = 220
		sideGap  = 1200 * time.Millisecond
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
	if err := w.restartSides(trouble, sideGap); err != nil {
		return err
	}
	time.Sleep(inTouch)
	w.locked(func() { w.counted = true; w.note("all machines are in touch") })
	if err := w.rollRelays(rollGap); err != nil {
		return err
	}
	time.Sleep(watchFor)
	return nil
}

// restartSides kills one of the seven processes beside servers. With SIDE=roll in the
// environment, three of them are instead stopped and started in turn, as planned.
func (w *world) restartSides(trouble bool, gap time.Duration) error {
	roll := os.Getenv("SIDE") == "roll"
	for _, m := range w.machines {
		var err error
		switch {
		case !m.side:
		case roll && m.name <= "side-oslo-b-3":
			err = w.rollEvery(m, gap)
		case !roll && trouble && m.name == "side-oslo-b-1":
			w.locked(func() { w.note("trouble: %s is killed", m.name) })
			err = m.killAndRestart()
			w.locked(func() { w.note("%s is started again", m.name) })
		}
		if err != nil {
			return err
		}
	}
	return nil
}
