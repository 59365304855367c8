package main

import (
	"fmt"
	"net/http"
	"time"

	"dandelionhitch.example/flow"
)

// playReuse crashes a host for good while it is cut from its node, whose last status report arrives
// when the cut heals. addrReuseS after the crash, a host of another service starts at the address.
// Without trouble there is no cut: the host crashes right after a report that arrives at once.
func playReuse(w *world) error {
	const addrReuse = 2 * time.Second
	start := time.Now()
	if err := w.startAll(15 * time.Second); err != nil {
		return err
	}
	at(start, 7*time.Second)
	h := w.hosts[0]
	for i := range 40 { // all hosts are in use
		w.mu.Lock()
		w.clients[i%len(w.clients)].open(8443, fmt.Sprintf("early-%d", i), false)
		w.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	w.mu.Lock()
	next := h.nextBeat
	w.mu.Unlock()
	w.sleepUntil(next + 50*time.Millisecond)
	w.mu.Lock()
	next = h.nextBeat
	if w.trouble {
		h.nextBeat = 0
		w.note("cut between host i-1 and its node")
	}
	w.mu.Unlock()
	for range 2 {
		w.sleepUntil(next)
		next += heartbeatInterval
		if w.trouble {
			w.mu.Lock()
			h.beat()
			w.note("status report %d of host i-1 is lost", h.sequence)
			w.mu.Unlock()
		}
	}
	w.sleepUntil(next)
	var last []byte
	w.mu.Lock()
	if w.trouble {
		last = h.beat()
		w.note("status report %d of host i-1 is held up", h.sequence)
	}
	w.mu.Unlock()
	if !w.trouble {
		time.Sleep(30 * time.Millisecond) // the report has been sent
	}
	w.mu.Lock()
	h.crash()
	w.mu.Unlock()
	crashed := time.Now()
	if w.trouble {
		at(crashed, 420*time.Millisecond)
		w.note("the cut has healed")
		h.sendBeat(http.MethodPut, last, false)
	}
	at(crashed, addrReuse)
	w.mu.Lock()
	h.m.service = "rounds"
	_, _, err := h.m.writeSettings()
	w.note("side-1: the settings file names the service rounds, %v after the crash", time.Since(crashed).Round(time.Millisecond))
	h.startLife("i-99", 0)
	u, ran := h.u, 0
	u.OnRun = func(key flow.Key, request string) {
		w.note("%s of rounds runs %s of %v", u.Name, request, key)
		if key.Address.Port() != 9443 {
			ran++
			w.breaches = append(w.breaches, fmt.Sprintf("ROUTE: %s of rounds ran %s; every configuration sends its route to orders", u.Name, request))
		}
	}
	w.mu.Unlock()
	if err != nil {
		return err
	}
	at(crashed, addrReuse+30*time.Millisecond)
	for i := range 40 {
		w.mu.Lock()
		w.clients[i%len(w.clients)].open(8443, fmt.Sprintf("order-%d", i), false)
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("the host of rounds ran %d of 40 requests for orders\n", ran)
	return nil
}

// sleepUntil waits until a time of the world.
func (w *world) sleepUntil(t time.Duration) { time.Sleep(max(t-w.now(), 0)) }
