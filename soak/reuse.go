package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"dandelionhitch.example/datagram"
)

// Reuse is a fault in which the upstream of a host ends, and an upstream of the other
// service comes up at its address.
type Reuse struct {
	// End is how the upstream ends.
	End End
	// Free is the time from the end of the upstream to the start of the other one.
	Free time.Duration
	// Notice is how the sidecar's process is told of its new service, NoticeAfter later than
	// the other upstream has started.
	Notice      Notice
	NoticeAfter time.Duration
}

// End is how an upstream ends whose address is used again.
type End int

const (
	// Crashes closes the upstream's socket without a drain.
	Crashes End = iota
	// FallsSilent leaves the socket open, so that packets to it are not refused.
	FallsSilent
	// Drains announces a drain, and closes the socket _drainTime later.
	Drains
)

// Notice is how a sidecar is told of its new service.
type Notice int

const (
	// NoNotice leaves the sidecar as it is.
	NoNotice Notice = iota
	// Restarts kills the sidecar's process and starts another one.
	Restarts
	// Rewrites rewrites the settings file without a signal.
	Rewrites
	// Stops sends SIGTERM when the former upstream has ended, and starts another process
	// _gracePeriod later.
	Stops
)

const (
	// _addressReuse is the least time for which an address is free, as the sidecars' settings say.
	_addressReuse = 2 * time.Second
	// _drainTime is how long an upstream drains before it ends.
	_drainTime = 3 * time.Second
	// _maxCallerPause is how long callers pause at most. Their flows outlive _addressReuse.
	_maxCallerPause = 5 * time.Second
	// _pausingCallers is the number of callers of which one pauses.
	_pausingCallers = 4
	// _onlyReuseAt is when the reuse of a run without other faults begins, after _startupTime.
	_onlyReuseAt = 2 * time.Second
)

// drawReuses returns the events of the reuses between two times. A separate random
// generator leaves the other faults as they are. Hosts of an earlier build are left out: such
// sidecars send flows to an upstream of another service (docs/incidents/reused-address.md).
func (r *run) drawReuses(begin, end time.Duration) []event {
	random := rand.New(rand.NewPCG(r.config.Seed, 5))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	var hosts []*vm
	for _, v := range r.vms {
		if v.isHost() && v.program == r.config.Program {
			hosts = append(hosts, v)
		}
	}
	var events []event
	for at := begin + time.Second + upTo(2*time.Second); at < end; at += 2*time.Second + upTo(4*time.Second) {
		host := hosts[random.IntN(len(hosts))]
		reuse := Reuse{End: End(random.IntN(3)), Free: _addressReuse + upTo(50*time.Millisecond)}
		reuse.Notice, reuse.NoticeAfter = Restarts+Notice(random.IntN(3)), upTo(1500*time.Millisecond)
		if reuse.End == Drains && at+_drainTime > end {
			reuse.End = Crashes // the other upstream would start too late for the end of the faults
		}
		events = append(events, r.reuseEvents(host, at, reuse)...)
	}
	return events
}

// reuseEvents returns the events of a reuse of a host's address that begins at the given time.
func (r *run) reuseEvents(host *vm, at time.Duration, reuse Reuse) []event {
	begun := false // unset if the host is the last of its service, or its address is free already
	ifBegun := func(action func()) func() {
		return func() {
			if begun {
				action()
			}
		}
	}
	var events []event
	end := at
	if reuse.End == Drains {
		end += _drainTime
		events = append(events, event{at, fmt.Sprintf("drain the upstream of %v before its address is used again", host), host.drainUpstream})
	}
	events = append(
		events,
		event{end, fmt.Sprintf("free the address of %v", host), func() { begun = host.freeAddress(reuse.End) }},
		event{end + reuse.Free, fmt.Sprintf("use the address of %v for another service", host), ifBegun(host.reuseAddress)},
	)
	notice := end + reuse.Free + reuse.NoticeAfter
	switch reuse.Notice {
	case NoNotice:
	case Restarts:
		events = append(events, event{notice, fmt.Sprintf("restart the sidecar of %v with its new service", host), ifBegun(host.restart)})
	case Rewrites:
		events = append(events, event{notice, fmt.Sprintf("rewrite the settings of %v", host), ifBegun(host.rewriteSettings)})
	case Stops:
		stop := end + reuse.NoticeAfter
		events = append(
			events,
			event{stop, fmt.Sprintf("tell the sidecar of %v to stop", host), ifBegun(func() { host.signal(syscall.SIGTERM) })},
			event{stop + _gracePeriod, fmt.Sprintf("start the sidecar of %v", host), ifBegun(host.restart)},
		)
	}
	return events
}

// freeAddress ends the upstream, and reports whether the host's address is free now. It is
// not if it was before, or if no other host has the service.
func (v *vm) freeAddress(end End) bool {
	others := 0
	for _, other := range v.run.vms {
		if other != v && other.service == v.service && !other.addressFree {
			others++
		}
	}
	if v.addressFree || others == 0 {
		return false
	}
	if end == Drains {
		v.endDrainedUpstream()
	}
	v.addressFree, v.upstream = true, nil
	if end != FallsSilent {
		v.run.tomb.Go(v.socket.Close) // waits for the handler, which waits for the run's lock
		v.socket = nil
	}
	return true
}

// reuseAddress starts an upstream of the other service at the host's address.
func (v *vm) reuseAddress() {
	if v.socket == nil {
		if err := v.listen(); err != nil {
			v.run.faults = append(v.run.faults, fmt.Sprintf("          no upstream at %v: %v", v, err))
			return
		}
	}
	v.addressFree, v.reused, v.service = false, true, otherService(v.service)
	v.startUpstream()
}

// listen opens the socket of the host's upstream.
func (v *vm) listen() (err error) {
	v.socket, err = datagram.Listen(netip.AddrPortFrom(v.addr, v.run.ports.upstream), v.receiveFromSidecar)
	return err
}

// rewriteSettings writes the settings of the VM's process while it runs.
func (v *vm) rewriteSettings() {
	if _, err := v.writeSettings(); err != nil {
		v.run.faults = append(v.run.faults, fmt.Sprintf("          settings of %v not written: %v", v, err))
	}
}

func otherService(service string) string {
	if service == _orders {
		return _photos
	}
	return _orders
}

// drawPause makes some callers pause on their open flows, while faults are injected.
func (r *run) drawPause(c *call) {
	if now := r.now(); now < _startupTime || now > _startupTime+r.config.FaultDuration || r.pauseRandom.IntN(_pausingCallers) > 0 {
		return
	}
	c.Pause = time.Duration(r.pauseRandom.Int64N(int64(_maxCallerPause)))
	c.Timeout += c.Pause
}
