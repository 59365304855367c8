package main

import "time"

// playClockBack lets a server crash twice while the clock of its machine jumps back, and drains
// the server once the machine is in touch again.
func playClockBack(w *world, trouble bool) error {
	const (
		downFor  = 700 * time.Millisecond
		upFor    = 700 * time.Millisecond
		jump     = 2400 * time.Millisecond
		inTouch  = 5 * time.Second // after the end of the jump; stableMs is 4 s
		jumpFor  = 6 * time.Second
		watchFor = 9 * time.Second
	)
	w.drainBound = 3 * time.Second
	if err := w.build([3]int{2, 1, 1}, [3]int{2, 2, 2}, 8); err != nil {
		return err
	}
	if err := w.writeConfiguration(7, routeAddress); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var victim *server
	for _, m := range w.machines {
		if m.name == "side-oslo-a-1" {
			victim = m.server
		}
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.openFlows(0, 15, 50*time.Second, func() time.Duration {
			return 500*time.Millisecond + time.Duration(w.random.Int64N(int64(time.Second)))
		})
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		for life := range 2 {
			w.locked(victim.crash)
			time.Sleep(downFor)
			if life == 1 {
				w.locked(func() {
					victim.clock = -jump
					w.note("trouble: the clock of side-oslo-a-1 jumps back by %v", jump)
				})
			}
			var err error
			w.locked(func() { err = victim.startAgain() })
			if err != nil {
				return err
			}
			time.Sleep(upFor)
		}
		time.Sleep(jumpFor)
		w.locked(func() { victim.clock = 0; w.note("the clock is right again") })
	}
	time.Sleep(inTouch)
	w.locked(func() {
		w.counted = true
		victim.state = "draining"
		w.note("planned: the server of side-oslo-a-1 drains")
	})
	time.Sleep(w.drainBound + watchFor)
	w.cancel()
	<-done
	return nil
}
