package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"dandelionhitch.example/standin"
)

// event is something that happens at a time.
type event struct {
	at   time.Duration
	name string
	// play does it, under the run's lock.
	play func()
}

// schedule draws the faults of the run, with their ends, in the order of time.
func (r *run) schedule(end time.Duration) []event {
	var events []event
	for at := _start + 500*time.Millisecond; at < end; at += time.Duration(300+r.random.IntN(900)) * time.Millisecond {
		lasts := min(time.Duration(200+r.random.IntN(3500))*time.Millisecond, end-at)
		events = append(events, r.draw(at, at+lasts)...)
		events = append(events, r.drawMore(at, at+lasts)...)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// apply plays an event.
func (r *run) apply(e event) {
	line := fmt.Sprintf("%8v  %s", e.at.Round(time.Millisecond), e.name)
	r.faults = append(r.faults, line)
	if r.config.Progress != nil {
		fmt.Fprintln(r.config.Progress, line)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.play()
}

// draw returns a fault from a time until another.
func (r *run) draw(from, until time.Duration) []event {
	relay, host := r.pick(false), r.pick(true)
	process := relay
	if r.random.IntN(2) == 0 {
		process = host
	}
	switch r.random.IntN(12) {
	case 0, 1:
		return []event{
			{from, fmt.Sprintf("kill the process of %v", process), process.kill},
			{until, fmt.Sprintf("start the process of %v", process), process.restart},
		}
	case 2:
		return []event{
			{from, fmt.Sprintf("tell the relay %v to stop", relay), func() { relay.stopping = true; relay.signal(syscall.SIGTERM) }},
			{from + _grace, fmt.Sprintf("start the relay %v", relay), relay.restart},
		}
	case 3:
		return []event{
			{from, fmt.Sprintf("pause the process of %v", process), func() { process.signal(syscall.SIGSTOP) }},
			{until, fmt.Sprintf("resume the process of %v", process), func() { process.signal(syscall.SIGCONT) }},
		}
	case 4:
		return []event{
			{from, fmt.Sprintf("crash the upstream of %v", host), func() { host.upstream = nil }},
			{until, fmt.Sprintf("start the upstream of %v", host), host.startUpstreamAgain},
		}
	case 5:
		return []event{
			{from, fmt.Sprintf("drain the upstream of %v", host), host.drain},
			{from + 3*time.Second, fmt.Sprintf("end the upstream of %v", host), host.leave},
			{from + 4*time.Second, fmt.Sprintf("start the upstream of %v", host), host.startUpstreamAgain},
		}
	case 6:
		return r.disturbLinks(from, until, "cut one way", link{cut: true})
	case 7:
		return r.disturbLinks(from, until, "lose a tenth", link{loss: 0.1})
	case 8:
		return r.disturbLinks(from, until, "delay", link{delay: 120 * time.Millisecond})
	case 9:
		return r.disturbStore(from, until)
	case 10:
		return []event{{from, fmt.Sprintf("SIGHUP to %v", process), func() { process.signal(syscall.SIGHUP) }}}
	default:
		return []event{{from, "change the configuration", r.flipRoute}}
	}
}

// drawMore now and then returns another fault. It has random numbers of its own, so
// that seeds which found something keep the faults that they had.
func (r *run) drawMore(from, until time.Duration) []event {
	v := r.vms[r.more.IntN(len(r.vms))]
	other := r.vms[r.more.IntN(len(r.vms))]
	switch r.more.IntN(10) {
	case 0:
		return []event{{from, fmt.Sprintf("malformed messages to %v", v), func() { r.links.sendMalformed(v.addr) }}}
	case 1:
		return []event{
			{from, fmt.Sprintf("late copies from %v to %v", v, other), func() { r.links.set(v.addr, other.addr, link{copies: 0.3}) }},
			{until, fmt.Sprintf("late copies from %v to %v end", v, other), func() { r.links.set(v.addr, other.addr, link{}) }},
		}
	case 2:
		host := r.vms[r.config.Relays+r.more.IntN(r.config.Hosts)]
		stop := func() { host.signal(syscall.SIGTERM) }
		return []event{
			{from, fmt.Sprintf("tell the sidecar of %v to stop", host), stop},
			{from + 50*time.Millisecond, fmt.Sprintf("tell the sidecar of %v again", host), stop},
			{from + _grace, fmt.Sprintf("start the sidecar of %v", host), host.restart},
		}
	default:
		return nil
	}
}

// pick draws a relay or a host.
func (r *run) pick(host bool) *vm {
	if host {
		return r.vms[r.config.Relays+r.random.IntN(r.config.Hosts)]
	}
	return r.vms[r.random.IntN(r.config.Relays)]
}

func (r *run) flipRoute() {
	service := _orders
	if r.flip == _orders {
		service = _photos
	}
	if err := r.configure(service); err != nil {
		r.faults = append(r.faults, fmt.Sprintf("          not written: %v", err))
	}
}

// disturbLinks disturbs what some VMs send to some others.
func (r *run) disturbLinks(from, until time.Duration, name string, state link) []event {
	var pairs [][2]netip.Addr
	for range 1 + r.random.IntN(len(r.vms)) {
		pairs = append(pairs, [2]netip.Addr{r.pick(r.random.IntN(2) == 0).addr, r.pick(r.random.IntN(2) == 0).addr})
	}
	set := func(state link) func() {
		return func() {
			for _, pair := range pairs {
				r.links.set(pair[0], pair[1], state)
			}
		}
	}
	return []event{
		{from, fmt.Sprintf("%s: %d links", name, len(pairs)), set(state)},
		{until, fmt.Sprintf("%s ends", name), set(link{})},
	}
}

// disturbStore makes the store fail in one of its ways.
func (r *run) disturbStore(from, until time.Duration) []event {
	faults := []standin.PlatformFaults{
		{Outage: true}, {Refuse: 1}, {Refuse: 0.5}, {Delay: 300 * time.Millisecond}, {Delay: time.Minute}, {LoseAnswers: 0.5},
	}[r.random.IntN(6)]
	return []event{
		{from, fmt.Sprintf("the store fails: %+v", faults), func() { r.store.SetFaults(faults) }},
		{until, "the store is well", func() { r.store.SetFaults(standin.PlatformFaults{}) }},
	}
}

// restart starts the process, after ending it if it still runs.
func (v *vm) restart() {
	v.kill()
	if err := v.startProcess(); err != nil {
		v.run.faults = append(v.run.faults, fmt.Sprintf("          %v does not start: %v", v, err))
	}
}

// startUpstreamAgain starts a new life unless one runs.
func (v *vm) startUpstreamAgain() {
	if v.upstream == nil {
		v.startUpstream()
	}
}

func (v *vm) drain() {
	if v.upstream != nil {
		v.draining = true
		v.beat(v.run.now())
	}
}

// leave ends an upstream that drains.
func (v *vm) leave() {
	if v.upstream != nil && v.draining {
		v.upstream = nil
		v.tell(false, http.MethodDelete, nil)
	}
}
