package main

import (
	"net/http"
	"syscall"
	"time"
)

// playClock replaces a host while the clock of its machine is 2 s ahead. The clock is then set back
// to the true time, and the sidecar beside the host is restarted. Flows that were opened before are
// used again 6 s after that. Without trouble, the clock is right all the while.
//
// The machine's clock is left alone. What the system can see of the step is the time of the host's
// start in its status reports, which was read from the clock that was ahead.
func playClock(w *world) error {
	const ahead = 2 * time.Second
	start := time.Now()
	if err := w.startAll(15 * time.Second); err != nil {
		return err
	}
	at(start, 8*time.Second)
	h := w.hosts[0]
	w.mu.Lock()
	h.draining = true
	h.nextBeat = w.now()
	w.mu.Unlock()
	time.Sleep(3500 * time.Millisecond)
	h.sendBeat(http.MethodDelete, nil, false)
	w.mu.Lock()
	h.crash()
	w.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	var offset time.Duration
	if w.trouble {
		offset = ahead
	}
	w.mu.Lock()
	h.startLife("i-99", offset)
	w.mu.Unlock()
	released := time.Now()
	at(released, 1300*time.Millisecond)
	calls := w.openMany(120, 4*time.Millisecond)
	at(released, 1900*time.Millisecond)
	if w.trouble {
		w.note("the clock of side-1 is set back by %v, to the true time", ahead)
	}
	h.m.stop(syscall.SIGTERM)
	time.Sleep(150 * time.Millisecond)
	if err := h.m.start(); err != nil {
		return err
	}
	at(released, 8200*time.Millisecond)
	return w.useAgain(calls, h)
}
