package main

import (
	"fmt"
	"net/http"
	"time"
)

// playReborn crashes a host that starts again at once. The last status report of the lifetime that
// has crashed arrives late, after the new one has registered. Flows that were opened at the new
// lifetime before that are used again more than stableMs later. Without trouble, that report is
// lost.
func playReborn(w *world) error {
	start := time.Now()
	if err := w.startAll(15 * time.Second); err != nil {
		return err
	}
	at(start, 7*time.Second)
	h := w.hosts[0]
	w.mu.Lock()
	wait := h.nextBeat - w.now()
	w.mu.Unlock()
	// Some requests a second keep all hosts in use until shortly before the crash.
	end := time.Now().Add(wait - 80*time.Millisecond)
	for n := 0; time.Now().Before(end); n++ {
		w.mu.Lock()
		w.clients[n%len(w.clients)].open(443, fmt.Sprintf("early-%d", n), false)
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(60 * time.Millisecond)
	w.mu.Lock()
	late := h.beat()
	w.note("status report %d of host i-1 is held up", h.sequence)
	h.crash()
	w.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	w.mu.Lock()
	h.startLife("i-99", 0)
	w.mu.Unlock()
	reborn := time.Now()
	at(reborn, 50*time.Millisecond)
	calls := w.openMany(60, 6*time.Millisecond)
	at(reborn, 500*time.Millisecond)
	if w.trouble {
		w.sendAs("i-1", h, late)
	}
	at(reborn, stablePeriod+4*time.Second)
	return w.useAgain(calls, h)
}

// sendAs delivers a status report of an earlier lifetime.
func (w *world) sendAs(id string, h *host, body []byte) {
	earlier := *h
	earlier.id = id
	earlier.sendBeat(http.MethodPut, body, false)
}
