package main

import (
	"fmt"
	"time"

	"dandelionhitch.example/flow"
)

// playReuse crashes a host for good while it is cut from its node. Its last two status reports
// arrive 1.0 and 2.1 s after the crash. addrReuseS after the crash, a host of another service starts
// at the address. Traffic goes on all the while. Without trouble, the two reports are lost.
func playReuse(w *world) error {
	const addrReuse = 2 * time.Second
	start := time.Now()
	if err := w.startAll(15 * time.Second); err != nil {
		return err
	}
	at(start, 7*time.Second)
	stop := make(chan struct{})
	ended := make(chan int)
	go func() { ended <- w.orders(stop) }()
	defer func() {
		if stop != nil {
			close(stop)
			<-ended
		}
	}()
	time.Sleep(time.Second)
	h := w.hosts[0]
	w.mu.Lock()
	next := h.nextBeat
	w.mu.Unlock()
	w.sleepUntil(next + 50*time.Millisecond)
	w.mu.Lock()
	next, h.nextBeat = h.nextBeat, 0
	w.note("cut between host i-1 and its node")
	w.mu.Unlock()
	var reports [2][]byte
	for i := range reports {
		w.sleepUntil(next)
		next += heartbeatInterval
		w.mu.Lock()
		reports[i] = h.beat()
		w.note("status report %d of host i-1 is held up", h.sequence)
		w.mu.Unlock()
	}
	w.mu.Lock()
	h.crash()
	w.mu.Unlock()
	crashed := time.Now()
	at(crashed, time.Second)
	w.note("the cut has healed")
	if w.trouble {
		w.sendAs("i-1", h, reports[0])
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
	at(crashed, addrReuse+100*time.Millisecond)
	if w.trouble {
		w.sendAs("i-1", h, reports[1])
	}
	at(crashed, addrReuse+3*time.Second)
	close(stop)
	stop = nil
	sent := <-ended
	time.Sleep(1500 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("the host of rounds ran %d of %d requests for orders\n", ran, sent)
	return nil
}

// orders sends requests for orders, some 60 a second, until stop is closed, and returns their number.
func (w *world) orders(stop chan struct{}) int {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return n
		case <-time.After(15 * time.Millisecond):
		}
		w.mu.Lock()
		w.clients[n%len(w.clients)].open(8443, fmt.Sprintf("order-%d", n), false)
		w.mu.Unlock()
	}
}

// sleepUntil waits until a time of the world.
func (w *world) sleepUntil(t time.Duration) { time.Sleep(max(t-w.now(), 0)) }
