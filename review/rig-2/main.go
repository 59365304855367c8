package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dandelionhitch.example/standin"
)

// setupError means that a case could not run.
type setupError string

func (e setupError) Error() string { return string(e) }

var cases = map[string]func(*world) error{
	"reuse":   playReuse,
	"idle":    playIdle,
	"reborn":  playReborn,
	"late":    playLate,
	"clock":   playClock,
	"recover": playRecover,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE DIR")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	result := make(chan error, 1)
	go func() { result <- play(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-signals:
		err = setupError("stopped by a signal")
	case <-time.After(110 * time.Second):
		err = setupError("took too long")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.excused {
		w.note("not counted: %s", e)
		fmt.Println("not counted:", e)
	}
	for _, b := range w.breaches {
		w.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(w.breaches) > 0:
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// startAll writes the first configuration, starts all processes and then all hosts, and waits
// until the relays are in rotation.
func (w *world) startAll(idle time.Duration) error {
	if err := w.configure(3, idle); err != nil {
		return err
	}
	for _, r := range w.relays {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.m.start(); err != nil {
			return err
		}
	}
	w.run()
	time.Sleep(500 * time.Millisecond)
	w.mu.Lock()
	for i, h := range w.hosts {
		h.startLife(fmt.Sprintf("i-%d", i+1), 0)
	}
	w.mu.Unlock()
	if !w.ready(8 * time.Second) {
		return setupError("the relays are not ready")
	}
	return nil
}

// at waits until a time after a start.
func at(start time.Time, after time.Duration) { time.Sleep(time.Until(start.Add(after))) }

// openMany opens flows that are kept open, one after the other, and returns them.
func (w *world) openMany(count int, gap time.Duration) []*call {
	var calls []*call
	for i := range count {
		w.mu.Lock()
		calls = append(calls, w.clients[i%len(w.clients)].open(8443, fmt.Sprintf("first-%d", i), true))
		w.mu.Unlock()
		time.Sleep(gap)
	}
	return calls
}

// useAgain sends the second request on each flow, and waits for the answers. It returns an error
// if the first request of one was not answered, or if none is open at the host.
func (w *world) useAgain(calls []*call, h *host) error {
	there := 0
	w.mu.Lock()
	for _, k := range calls {
		if k.State != standin.CallIdle {
			w.mu.Unlock()
			return setupError("a first request was not answered")
		}
		if h == nil || k.host == h && k.life == h.lives {
			there++
		}
	}
	w.mu.Unlock()
	if there == 0 {
		return setupError("no flow is open at the host")
	}
	for i, k := range calls {
		w.mu.Lock()
		k.next(fmt.Sprintf("second-%d", i))
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	answered := 0
	for _, k := range calls {
		if k.State == standin.CallIdle {
			answered++
		}
	}
	w.note("%d of %d flows were open at the host in question; %d of %d second requests were answered", there, len(calls), answered, len(calls))
	fmt.Printf("%d of %d flows were open at the host in question; %d of %d second requests were answered\n", there, len(calls), answered, len(calls))
	return nil
}
