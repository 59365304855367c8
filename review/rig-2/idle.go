package main

import "time"

// playIdle raises idleTimeoutMs from 15 s to 30 s while flows are open that have been idle for
// some 2 to 4 s, and uses these flows again after 17 to 19.5 s. Without the change, it is 30 s
// from the start.
func playIdle(w *world) error {
	const before, after = 15 * time.Second, 30 * time.Second
	first := before
	if !w.trouble {
		first = after
	}
	start := time.Now()
	if err := w.startAll(first); err != nil {
		return err
	}
	at(start, 12500*time.Millisecond)
	calls := w.openMany(12, 150*time.Millisecond)
	at(start, 16500*time.Millisecond)
	if w.trouble {
		if err := w.configure(5, after); err != nil {
			return err
		}
	}
	at(start, 31800*time.Millisecond)
	return w.useAgain(calls, nil)
}
