package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"dandelionhitch.example/standin"
)

// playRecover plays a final fault, in which all processes of the system are killed, under light
// traffic of the service rounds. In the recovery, some consumers give up early while a host works on
// their request: they reset the flow. The requests that are sent later than recoveryS after the
// machines are back must be served. Without trouble, no consumer gives up early.
func playRecover(w *world) error {
	const (
		recovery = 12 * time.Second // recoveryS
		down     = 1100 * time.Millisecond
		fault    = 14 * time.Second
		giveUp   = 10 * time.Second // after the machines are back
		watched  = 8 * time.Second  // after recoveryS
	)
	start := time.Now()
	if err := w.startAll(15 * time.Second); err != nil {
		return err
	}
	w.mu.Lock()
	for _, h := range w.hosts {
		h.u.RunTime = func(request string) time.Duration {
			if strings.HasPrefix(request, "long") {
				return 300 * time.Millisecond
			}
			return 5 * time.Millisecond
		}
	}
	w.mu.Unlock()
	at(start, 8*time.Second)
	before := w.traffic(start.Add(fault - 500*time.Millisecond))
	at(start, fault)
	w.note("final fault: all processes of the system are killed")
	for _, m := range w.machines() {
		m.stop(syscall.SIGKILL)
	}
	at(start, fault+down)
	for _, m := range w.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	back := time.Now()
	w.traffic(back.Add(giveUp))
	for i := range 18 {
		w.mu.Lock()
		k := w.clients[i%len(w.clients)].open(9443, fmt.Sprintf("long-%d", i), true)
		if w.trouble {
			k.Timeout = 100 * time.Millisecond // it gives up then, with a reset
		}
		w.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
	w.traffic(back.Add(recovery))
	w.note("recoveryS is over")
	after := w.traffic(back.Add(recovery + watched))
	time.Sleep(1500 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	servedBefore, servedAfter := served(before), served(after)
	summary := fmt.Sprintf("served: %d of %d requests before the final fault, %d of %d that were sent later than recoveryS after the machines were back",
		servedBefore, len(before), servedAfter, len(after))
	w.note("%s", summary)
	fmt.Println(summary)
	switch {
	case 4*servedBefore < len(before):
		return setupError("too few requests were served before the final fault")
	case 4*servedAfter < len(after):
		w.breaches = append(w.breaches, "RECOVER: "+summary)
	}
	return nil
}

// traffic sends a request for rounds on a flow of its own ten times a second, and returns them.
func (w *world) traffic(until time.Time) []*call {
	var calls []*call
	for time.Now().Before(until) {
		w.mu.Lock()
		w.requests++
		k := w.clients[w.requests%len(w.clients)].open(9443, fmt.Sprintf("sheet-%d", w.requests), false)
		k.Timeout = 5 * time.Second
		w.mu.Unlock()
		calls = append(calls, k)
		time.Sleep(100 * time.Millisecond)
	}
	return calls
}

func served(calls []*call) int {
	n := 0
	for _, k := range calls {
		if k.State == standin.CallAnswered {
			n++
		}
	}
	return n
}

// machines returns all machines.
func (w *world) machines() []*machine {
	machines := append([]*machine(nil), w.relays...)
	for _, h := range w.hosts {
		machines = append(machines, h.m)
	}
	return machines
}
