package main

import (
	"net/http"
	"time"
)

// playLate cuts a host from its node for 3.6 s. Two status reports that were sent meanwhile arrive
// after the cut has healed, and after a later report. The flows that are open at the host are used
// again more than stableMs later. Without trouble, the two reports are lost.
func playLate(w *world) error {
	start := time.Now()
	if err := w.startAll(15 * time.Second); err != nil {
		return err
	}
	at(start, 7*time.Second)
	calls := w.openMany(40, 8*time.Millisecond)
	h := w.hosts[0]
	w.mu.Lock()
	wait := h.nextBeat - w.now()
	w.mu.Unlock()
	time.Sleep(wait + 50*time.Millisecond)
	w.mu.Lock()
	h.nextBeat = 0
	w.note("cut between host i-1 and its node")
	w.mu.Unlock()
	time.Sleep(heartbeatInterval)
	var held [][]byte
	for range 2 {
		w.mu.Lock()
		held = append(held, h.beat())
		w.note("status report %d of host i-1 is held up", h.sequence)
		w.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
	w.mu.Lock()
	w.note("the cut has healed")
	h.nextBeat = w.now()
	w.mu.Unlock()
	if w.trouble {
		time.Sleep(100 * time.Millisecond)
		h.sendBeat(http.MethodPut, held[0], false)
		time.Sleep(900 * time.Millisecond)
		h.sendBeat(http.MethodPut, held[1], false)
	}
	time.Sleep(stablePeriod + 1500*time.Millisecond)
	return w.useAgain(calls, h)
}
