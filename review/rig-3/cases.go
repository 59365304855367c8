package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"dandelionhitch.example/standin"
)

// Addresses of the services, as routes name them.
var (
	ordersAt = netip.MustParseAddrPort("127.9.0.1:8443")
	roundsAt = netip.MustParseAddrPort("127.9.0.2:8443")
)

// fleet is a small deployment: relays, and sidecars with their hosts.
type fleet struct {
	relays   []*process
	sidecars []*process
	hosts    []*host
}

// startFleet starts relays in one zone and a sidecar with a host for each service, and waits
// until the routers use all relays. proxied names a sidecar whose messages pass through a proxy.
func (w *world) startFleet(relays int, services []string, proxied int) (*fleet, error) {
	f := &fleet{}
	for i := range min(relays, 3) {
		w.seeds = append(w.seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 1)}), w.ports.control).String())
	}
	if err := w.configure([]route{{ordersAt, "orders", "unsafe", 1}, {roundsAt, "rounds", "download", 2}}); err != nil {
		return nil, err
	}
	for i := range relays {
		p := w.newProcess(fmt.Sprintf("front-%d", i+1), "relay", fmt.Sprintf("127.1.0.%d", i+1), "akl-a", "")
		f.relays = append(f.relays, p)
		if err := p.spawn(); err != nil {
			return nil, err
		}
	}
	for i, service := range services {
		p := w.newProcess(fmt.Sprintf("side-%d", i+1), "sidecar", fmt.Sprintf("127.2.0.%d", i+1), "akl-a", service)
		if i == proxied {
			p.peerPort = w.ports.peerListen
		}
		f.sidecars = append(f.sidecars, p)
		if err := p.spawn(); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i, service := range services {
		h, err := w.startHost(fmt.Sprintf("i-%s-%d", service, i+1), service, f.sidecars[i].addr, 1)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	w.router.set(f.relays...)
	return f, w.awaitReady(f.relays)
}

// awaitReady waits until the routers use the relays.
func (w *world) awaitReady(relays []*process) error {
	for deadline := w.now() + 15*time.Second; w.now() < deadline; time.Sleep(50 * time.Millisecond) {
		ready := 0
		w.mu.Lock()
		for _, p := range relays {
			if p.failed == 0 {
				ready++
			}
		}
		w.mu.Unlock()
		if ready == len(relays) {
			return nil
		}
	}
	return fmt.Errorf("the relays are not ready")
}

// traffic starts short flows at a mean rate to addresses in turn.
func (w *world) traffic(every time.Duration, to ...netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers.shortTo, w.callers.nextShort, w.callers.shortEvery = to, w.now(), every
}

// lateReport: a status report of a host arrives 2.25 s late, after its sender has crashed and a
// host of another service has its address. The sidecar there was killed and has started again
// meanwhile. Requests for the first service must not run at the second.
func lateReport(w *world, trouble bool) (outcome, error) {
	f, err := w.startFleet(2, []string{"orders", "orders", "rounds"}, -1)
	if err != nil {
		return outcome{}, err
	}
	side, old := f.sidecars[0], f.hosts[0]
	w.sleepUntil(25 * time.Second)
	w.traffic(25*time.Millisecond, ordersAt)
	w.sleepUntil(30 * time.Second)
	late := old.report()
	sentAt := w.now()
	w.record("host %s sends report %d, which is delayed", old.id, late.sequence)
	old.crash()
	crashedAt := w.now()
	if trouble {
		time.Sleep(300 * time.Millisecond)
		side.kill()
		w.record("sidecar %s killed", side.name)
		time.Sleep(500 * time.Millisecond)
		if err := side.spawn(); err != nil {
			return outcome{}, err
		}
	}
	w.sleepUntil(crashedAt + addressReuse + 50*time.Millisecond)
	next, err := w.startHost("i-rounds-new", "rounds", side.addr, 1)
	if err != nil {
		return outcome{}, err
	}
	side.service = "rounds"
	if err := side.writeSettings(); err != nil {
		return outcome{}, err
	}
	w.record("settings of %s name rounds", side.name)
	if trouble {
		w.sleepUntil(sentAt + 2250*time.Millisecond)
		go func() { w.record("delayed report %d of %s: %d", late.sequence, old.id, old.deliver(late)) }()
	}
	w.sleepUntil(crashedAt + 8*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	wrong := 0
	for _, r := range next.runs {
		if r.to == ordersAt {
			wrong++
		}
	}
	return outcome{wrong > 0, fmt.Sprintf("%d requests for orders ran at a host of rounds", wrong)}, nil
}

// movedRelays: all entry VMs are lost at once, for good, and others take their place at new
// addresses. Sidecars and hosts run on.
func movedRelays(w *world, trouble bool) (outcome, error) {
	f, err := w.startFleet(3, []string{"orders", "orders", "rounds"}, -1)
	if err != nil {
		return outcome{}, err
	}
	r := w.watchRecovery()
	w.sleepUntil(6 * time.Second)
	w.traffic(40*time.Millisecond, ordersAt, roundsAt)
	w.sleepUntil(16 * time.Second)
	r.fault()
	if trouble {
		for _, p := range f.relays {
			p.kill()
			w.record("VM %s is lost for good", p.name)
		}
		time.Sleep(time.Second)
		var fresh []*process
		var seeds []string
		for i := range 3 {
			seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 11)}), w.ports.control).String())
		}
		for i := range 3 {
			p := w.newProcess(fmt.Sprintf("front-%d", i+11), "relay", fmt.Sprintf("127.1.0.%d", i+11), "akl-a", "")
			p.seeds = seeds
			if err := p.spawn(); err != nil {
				return outcome{}, err
			}
			fresh = append(fresh, p)
		}
		w.router.set(fresh...)
	}
	r.machinesAreBack()
	w.sleepUntil(r.back + 42*time.Second)
	return r.outcome()
}

// slowReports: all processes of the system are killed at once and start again. The hosts report
// approximately every heartbeat interval, a fifth later than that.
func slowReports(w *world, trouble bool) (outcome, error) {
	w.reportEvery = heartbeat * 6 / 5
	r := w.watchRecovery()
	f, err := w.startFleet(3, []string{"orders", "orders", "rounds"}, -1)
	if err != nil {
		return outcome{}, err
	}
	w.traffic(40*time.Millisecond, ordersAt, roundsAt)
	w.sleepUntil(56 * time.Second)
	r.fault()
	if trouble {
		all := append(append([]*process(nil), f.relays...), f.sidecars...)
		for _, p := range all {
			p.kill()
		}
		w.record("all %d processes are killed", len(all))
		time.Sleep(1100 * time.Millisecond)
		for _, p := range all {
			if err := p.spawn(); err != nil {
				return outcome{}, err
			}
		}
	}
	r.machinesAreBack()
	w.sleepUntil(r.back + 32*time.Second)
	return r.outcome()
}

// recovery counts the requests that are served before a fault and after recoveryS.
type recovery struct {
	w                         *world
	lost, back                time.Duration
	askedBefore, servedBefore int
	askedAfter, servedAfter   int
}

func (w *world) watchRecovery() *recovery {
	const never = time.Duration(1 << 62)
	r := &recovery{w: w, lost: never, back: never}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers.onEnd = func(c *caller) {
		served := 0
		if c.State == standin.CallAnswered && !c.Failed {
			served = 1
		}
		switch {
		case c.began < r.lost:
			r.askedBefore++
			r.servedBefore += served
		case c.began >= r.back+recoveryTime:
			r.askedAfter++
			r.servedAfter += served
		}
	}
	return r
}

func (r *recovery) fault() {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.lost = r.w.now()
}

func (r *recovery) machinesAreBack() {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.back = r.w.now()
	r.w.record("the machines are back")
}

func (r *recovery) outcome() (outcome, error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.record("before: %d asked, %d served; later than %v after the machines were back: %d asked, %d served",
		r.askedBefore, r.servedBefore, recoveryTime, r.askedAfter, r.servedAfter)
	if 4*r.servedBefore < r.askedBefore || r.askedAfter == 0 {
		return outcome{}, fmt.Errorf("too little was served before the fault")
	}
	return outcome{4*r.servedAfter < r.askedAfter, fmt.Sprintf("%d of %d requests served after recovery", r.servedAfter, r.askedAfter)}, nil
}

// lostGreeting: a relay is added, and the first datagram that it sends to one of the sidecars is
// lost. Flows that are open at that sidecar's host must not be reset.
func lostGreeting(w *world, trouble bool) (outcome, error) {
	const victim = 0
	added := netip.MustParseAddr("127.1.0.3")
	lostOne := !trouble
	sideAddr := netip.MustParseAddr("127.2.0.1")
	out, err := w.listen(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte) {})
	if err != nil {
		return outcome{}, err
	}
	if err := w.proxy(sideAddr, func(from netip.Addr, message []byte) {
		w.mu.Lock()
		lose := from == added && !lostOne
		lostOne = lostOne || lose
		w.mu.Unlock()
		if lose {
			w.record("the first datagram from %v to %v is lost (%d bytes)", from, sideAddr, len(message))
			return
		}
		out.Send(netip.AddrPortFrom(sideAddr, w.ports.peerListen), message)
	}); err != nil {
		return outcome{}, err
	}
	f, err := w.startFleet(2, []string{"orders", "orders", "rounds"}, victim)
	if err != nil {
		return outcome{}, err
	}
	watch := w.watchResets()
	w.sleepUntil(6 * time.Second)
	w.mu.Lock()
	for i := range 30 {
		think := time.Duration(1000+w.callers.random.IntN(1500)) * time.Millisecond
		w.callers.open(ordersAt, fmt.Sprintf("s%d", i), think, 5*time.Second)
	}
	w.mu.Unlock()
	w.sleepUntil(10 * time.Second)
	n := w.newProcess("front-3", "relay", added.String(), "akl-a", "")
	if err := n.spawn(); err != nil {
		return outcome{}, err
	}
	w.mu.Lock()
	w.inTouchFrom = w.now() + stable
	w.mu.Unlock()
	w.router.set(append(append([]*process(nil), f.relays...), n)...)
	w.sleepUntil(26 * time.Second)
	return watch(), nil
}

// watchResets notes resets that reach callers on flows that are open at a host that lives and
// that the host didn't send. Earlier than inTouchFrom, they are recorded but don't count.
func (w *world) watchResets() func() outcome {
	var seen []string
	w.mu.Lock()
	w.callers.onReset = func(c *caller, p standin.OpaquePacket, genuine bool) {
		if genuine {
			return // the host's own
		}
		for _, h := range w.hosts {
			if h.up && h.machine.Holds(c.Key) {
				line := fmt.Sprintf("caller of %v (%s) gets a reset, seq %d, while its flow is open at host %s", c.Key, c.Request, p.Seq, h.id)
				counts := w.now() >= w.inTouchFrom
				w.record("%s; counts: %v", line, counts)
				if counts {
					seen = append(seen, line)
				}
			}
		}
	}
	w.mu.Unlock()
	return func() outcome {
		w.mu.Lock()
		defer w.mu.Unlock()
		return outcome{len(seen) > 0, fmt.Sprintf("%d resets of open flows that the host didn't send", len(seen))}
	}
}

// lateLeave: a host leaves and starts again under the same id. The notice of its first lifetime
// arrives late, when the second one has flows.
func lateLeave(w *world, trouble bool) (outcome, error) {
	f, err := w.startFleet(2, []string{"orders", "rounds"}, -1)
	if err != nil {
		return outcome{}, err
	}
	watch := w.watchResets()
	old := f.hosts[0]
	w.sleepUntil(6 * time.Second)
	w.mu.Lock()
	old.state = "draining"
	w.mu.Unlock()
	w.sleepUntil(11 * time.Second)
	w.record("host %s sends its leave notice and exits", old.id)
	leave := call{method: http.MethodDelete, id: old.id, body: fmt.Sprintf(`{"born":%d}`, old.born)}
	if !trouble {
		w.record("leave notice: %d", old.deliver(leave))
	}
	old.crash()
	w.sleepUntil(12500 * time.Millisecond)
	again, err := w.startHost(old.id, "orders", old.addr, 1)
	if err != nil {
		return outcome{}, err
	}
	w.sleepUntil(14 * time.Second)
	w.mu.Lock()
	for i := range 2 {
		w.callers.open(ordersAt, fmt.Sprintf("long%d", i), 3300*time.Millisecond, 5*time.Second)
	}
	w.mu.Unlock()
	w.sleepUntil(16500 * time.Millisecond)
	if trouble {
		w.record("the leave notice of the first lifetime arrives: %d", again.deliver(leave))
	}
	w.sleepUntil(28 * time.Second)
	return watch(), nil
}

// youngHost: the process beside a host that has just started is killed and starts again. The
// host counts its status reports from 0.
func youngHost(w *world, trouble bool) (outcome, error) {
	f, err := w.startFleet(2, []string{"orders", "rounds"}, -1)
	if err != nil {
		return outcome{}, err
	}
	watch := w.watchResets()
	old, side := f.hosts[0], f.sidecars[0]
	w.sleepUntil(6 * time.Second)
	old.crash()
	w.sleepUntil(14 * time.Second)
	if _, err := w.startHost("i-orders-new", "orders", side.addr, 0); err != nil {
		return outcome{}, err
	}
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	for i := range 2 {
		w.callers.open(ordersAt, fmt.Sprintf("s%d", i), 7*time.Second, 5*time.Second)
	}
	w.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	if trouble {
		side.kill()
		w.record("sidecar %s killed", side.name)
		time.Sleep(200 * time.Millisecond)
		if err := side.spawn(); err != nil {
			return outcome{}, err
		}
		w.mu.Lock()
		w.inTouchFrom = w.now() + stable
		w.mu.Unlock()
	}
	w.sleepUntil(32 * time.Second)
	return watch(), nil
}
