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

// event is the start or the end of a fault.
type event struct {
	// at is the time since the start of the run.
	at   time.Duration
	name string
	// action applies the event; it is called with the run's lock held.
	action func()
}

// schedule draws the faults of a run and returns their events in the order of time. All
// faults begin before end.
func (r *run) schedule(end time.Duration) []event {
	if r.config.OnlyReuse != nil {
		return r.reuseEvents(r.vms[r.config.Relays], _startupTime+_onlyReuseAt, *r.config.OnlyReuse)
	}
	var events []event
	for at := _startupTime + 500*time.Millisecond; at < end; at += time.Duration(300+r.random.IntN(900)) * time.Millisecond {
		duration := min(time.Duration(200+r.random.IntN(3500))*time.Millisecond, end-at)
		events = append(events, r.drawFault(at, at+duration)...)
		events = append(events, r.drawExtraFault(at, at+duration)...)
	}
	events = append(events, r.drawDrill(_startupTime, end)...)
	events = append(events, r.drawReuses(_startupTime, end)...)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// apply records an event and performs its action.
func (r *run) apply(e event) {
	line := fmt.Sprintf("%8v  %s", e.at.Round(time.Millisecond), e.name)
	r.faults = append(r.faults, line)
	if r.config.Progress != nil {
		fmt.Fprintln(r.config.Progress, line)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.action()
}

// drawFault draws a fault and returns its events. The arguments are the time at which the
// fault begins and the time at which most kinds of fault end. A relay that is told to stop,
// and an upstream that is drained, instead restart a fixed time after the fault began.
func (r *run) drawFault(from, until time.Duration) []event {
	relay, host := r.pickVM(false), r.pickVM(true)
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
			{from + _gracePeriod, fmt.Sprintf("start the relay %v", relay), relay.restart},
		}
	case 3:
		return []event{
			{from, fmt.Sprintf("pause the process of %v", process), func() { process.signal(syscall.SIGSTOP) }},
			{until, fmt.Sprintf("resume the process of %v", process), func() { process.signal(syscall.SIGCONT) }},
		}
	case 4:
		return []event{
			{from, fmt.Sprintf("crash the upstream of %v", host), func() { host.upstream = nil }},
			{until, fmt.Sprintf("start the upstream of %v", host), host.startUpstreamIfNone},
		}
	case 5:
		return []event{
			{from, fmt.Sprintf("drain the upstream of %v", host), host.drainUpstream},
			{from + 3*time.Second, fmt.Sprintf("end the upstream of %v", host), host.endDrainedUpstream},
			{from + 4*time.Second, fmt.Sprintf("start the upstream of %v", host), host.startUpstreamIfNone},
		}
	case 6:
		return r.drawLinkFault(from, until, "cut one way", impairment{cut: true})
	case 7:
		return r.drawLinkFault(from, until, "lose a tenth", impairment{lossRate: 0.1})
	case 8:
		return r.drawLinkFault(from, until, "delay", impairment{delay: 120 * time.Millisecond})
	case 9:
		return r.drawStoreFault(from, until)
	case 10:
		return []event{{from, fmt.Sprintf("SIGHUP to %v", process), func() { process.signal(syscall.SIGHUP) }}}
	default:
		return []event{{from, "change the configuration", r.switchRoute}}
	}
}

// drawExtraFault draws an additional fault, or none in most cases. It uses a separate
// random generator, so that drawFault still draws the same faults for the seeds that
// have exposed defects.
func (r *run) drawExtraFault(from, until time.Duration) []event {
	v := r.vms[r.extraRandom.IntN(len(r.vms))]
	other := r.vms[r.extraRandom.IntN(len(r.vms))]
	switch r.extraRandom.IntN(10) {
	case 0:
		return []event{{from, fmt.Sprintf("malformed messages to %v", v), func() { r.proxy.sendMalformed(v.addr) }}}
	case 1:
		return []event{
			{from, fmt.Sprintf("late copies from %v to %v", v, other), func() { r.proxy.setLink(v.addr, other.addr, impairment{duplicateRate: 0.3}) }},
			{until, fmt.Sprintf("late copies from %v to %v end", v, other), func() { r.proxy.setLink(v.addr, other.addr, impairment{}) }},
		}
	case 2:
		host := r.vms[r.config.Relays+r.extraRandom.IntN(r.config.Hosts)]
		stop := func() { host.signal(syscall.SIGTERM) }
		return []event{
			{from, fmt.Sprintf("tell the sidecar of %v to stop", host), stop},
			{from + 50*time.Millisecond, fmt.Sprintf("tell the sidecar of %v again", host), stop},
			{from + _gracePeriod, fmt.Sprintf("start the sidecar of %v", host), host.restart},
		}
	default:
		return nil
	}
}

// pickVM draws the VM of a host if host is true, and the VM of a relay otherwise.
func (r *run) pickVM(host bool) *vm {
	if host {
		return r.vms[r.config.Relays+r.random.IntN(r.config.Hosts)]
	}
	return r.vms[r.random.IntN(r.config.Relays)]
}

// switchRoute writes a configuration that routes _switchedAddress to the other service.
func (r *run) switchRoute() {
	r.noteError("configuration", r.writeConfiguration(otherService(r.switchedService)))
}

// drawLinkFault returns the events of a fault on randomly drawn links. A link is one
// direction between two VMs.
func (r *run) drawLinkFault(from, until time.Duration, name string, fault impairment) []event {
	var links [][2]netip.Addr
	for range 1 + r.random.IntN(len(r.vms)) {
		links = append(links, [2]netip.Addr{r.pickVM(r.random.IntN(2) == 0).addr, r.pickVM(r.random.IntN(2) == 0).addr})
	}
	setAll := func(fault impairment) func() {
		return func() {
			for _, link := range links {
				r.proxy.setLink(link[0], link[1], fault)
			}
		}
	}
	return []event{
		{from, fmt.Sprintf("%s: %d links", name, len(links)), setAll(fault)},
		{until, fmt.Sprintf("%s ends", name), setAll(impairment{})},
	}
}

// drawStoreFault returns the events of a randomly drawn fault of the store.
func (r *run) drawStoreFault(from, until time.Duration) []event {
	faults := []standin.PlatformFaults{
		{Outage: true}, {Refuse: 1}, {Refuse: 0.5}, {Delay: 300 * time.Millisecond}, {Delay: time.Minute}, {LoseAnswers: 0.5},
	}[r.random.IntN(6)]
	return []event{
		{from, fmt.Sprintf("the store fails: %+v", faults), func() { r.setStoreFaults(faults) }},
		{until, "the store is well", func() { r.setStoreFaults(standin.PlatformFaults{}) }},
	}
}

// restart kills the VM's process if it still runs, and starts a new one. A failure to
// start is recorded in the list of faults.
func (v *vm) restart() {
	v.kill()
	if err := v.startProcess(); err != nil {
		v.run.faults = append(v.run.faults, fmt.Sprintf("          %v does not start: %v", v, err))
	}
}

// startUpstreamIfNone starts a new instance of the upstream unless one is running
// or the address is free for another service.
func (v *vm) startUpstreamIfNone() {
	if v.upstream == nil && !v.addressFree {
		v.startUpstream()
	}
}

// drainUpstream makes the upstream drain and announces that in a heartbeat at once.
func (v *vm) drainUpstream() {
	if v.upstream != nil {
		v.draining = true
		v.sendHeartbeat(v.run.now())
	}
}

// endDrainedUpstream stops the upstream and deregisters it from the sidecar, if it is draining.
func (v *vm) endDrainedUpstream() {
	if v.upstream != nil && v.draining {
		v.upstream = nil
		v.sendToSidecar(false, http.MethodDelete, nil)
	}
}
