package standin

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/relay"
	"dandelionhitch.example/sidecar"
)

// Delays, intervals and limits of a Simulation.
const (
	// _inZoneDelay, _crossZoneDelay and _callerDelay are one-way delays of packets and
	// messages: within a zone, between zones, and between callers and relays.
	_inZoneDelay    = 100 * time.Microsecond
	_crossZoneDelay = 900 * time.Microsecond
	_callerDelay    = time.Millisecond
	// _endpointTick is the interval between ticks of upstreams and callers, and
	// _coreTick that between ticks of relays and sidecars.
	_endpointTick  = time.Millisecond
	_coreTick      = 20 * time.Millisecond
	_probeInterval = 500 * time.Millisecond
	// _maxMissedProbes is the number of failed readiness probes in a row after which
	// routers take a relay out of rotation.
	_maxMissedProbes   = 2
	_heartbeatInterval = 770 * time.Millisecond
	// _rejectedHeartbeatRetry is when an upstream repeats a rejected heartbeat.
	_rejectedHeartbeatRetry = 100 * time.Millisecond
	_upstreamPort           = 8080
	// _datagramHeaders is the size of the IP and UDP headers of a datagram in bytes.
	_datagramHeaders = 28
)

// Simulation is a discrete-event simulation of relays, sidecars, upstreams, callers
// and routers. It has a virtual clock and runs in one goroutine, so that a run depends
// on its seed alone. It checks invariants throughout the run and records Violations.
type Simulation struct {
	// DropMessage reports whether to lose a message between two VMs or a packet from a
	// caller to a relay. It also decides about packets from a host's upstream to the
	// sidecar on the host; from and to are then both the host's address.
	DropMessage func(from, to netip.Addr) bool
	// DropReport is like DropMessage, but decides about the reports of sidecars only.
	DropReport func(from, to netip.Addr) bool
	// OnRecord is called for each decision that a core records.
	OnRecord func(vm netip.Addr, r decision.Record)
	// OnBelief is called for each belief that a core records.
	OnBelief func(vm netip.Addr, b decision.Belief)
	// WarmupLeft returns the remaining warm-up time that upstreams announce in heartbeats,
	// that is, how much longer they will be slow after their start.
	WarmupLeft func() time.Duration
	// PriorityAdmission reports whether the relay or sidecar that starts on a VM gets the setting
	// priority_admission.
	PriorityAdmission func(vm *SimulatedVM) bool
	// StoreDown prevents starting processes from reading the configuration.
	StoreDown bool
	// Calls are all calls in the order of their starts.
	Calls []*OpaqueCall
	// CrossZoneBytes is the size of all messages between processes of different zones,
	// without IP and UDP headers.
	CrossZoneBytes int
	// CrossZoneBytesByKind is the size of these messages by kind, with IP and UDP headers.
	CrossZoneBytesByKind map[peer.Kind]int
	// Runs counts the runs of each request, by its text.
	Runs map[string]int
	// HeldPackets counts the packets of open flows that sidecars delivered to upstreams later than
	// they arrived.
	HeldPackets int
	// Violations describes the invariants that were broken.
	Violations []string
	// IgnoredResets describes the resets of open flows that their callers ignored, since they
	// were outside of the window.
	IgnoredResets []string

	now          time.Duration
	events       eventHeap
	eventCount   uint64
	random       *rand.Rand
	vmByAddr     map[netip.Addr]*SimulatedVM
	vms          []*SimulatedVM
	callByFlow   map[flow.Key]*OpaqueCall
	openCalls    []*OpaqueCall
	strayPackets map[flow.Key]int
	table        directory.Table
	nextAddr     [4]byte
	evacuations  evacuationEntries
}

// SimulatedVM is a VM of a Simulation. It runs either a relay, or a sidecar and an
// upstream; the latter kind is called a host.
type SimulatedVM struct {
	Addr netip.Addr
	Zone string
	// Relay is nil on a host. Sidecar and Upstream are nil on the VM of a relay.
	Relay    *relay.Core
	Sidecar  *sidecar.Core
	Upstream *OpaqueUpstream
	// Service is the service of the host's upstream. The sidecar goes on with the service that
	// the host had when the sidecar was started.
	Service string
	// ColdUntil is the time until which the host's upstream is cold, besides the time that
	// Simulation.WarmupLeft returns.
	ColdUntil time.Duration
	// Sent and Received count the messages to and from other VMs' processes.
	Sent, Received Traffic

	sim *Simulation
	// processUp reports whether the relay or sidecar runs, and upstreamUp whether the
	// upstream does.
	processUp, upstreamUp bool
	draining              bool
	frozen                bool
	// deferred are the deliveries of messages that arrived while the VM was frozen.
	deferred                   []func()
	processStart               time.Duration
	sidecarService             string
	upstreamStarts, heartbeats uint64
	// acknowledged is set once a heartbeat of the upstream's incarnation was acknowledged, and
	// rejectedSince is when the first was rejected.
	acknowledged      bool
	rejectedSince     time.Duration
	missedProbes      int
	configureUpstream func(*OpaqueUpstream)
	order             PacketOrder
	thawedAt          time.Duration
}

// Traffic counts messages and their bytes, without IP and UDP headers.
type Traffic struct{ Messages, Bytes int }

func (t *Traffic) add(message []byte) {
	t.Messages++
	t.Bytes += len(message)
}

// NewSimulation returns a simulation without VMs and calls.
func NewSimulation(seed uint64) *Simulation {
	s := &Simulation{
		DropMessage: func(_, _ netip.Addr) bool { return false },
		DropReport:  func(_, _ netip.Addr) bool { return false },
		OnRecord:    func(netip.Addr, decision.Record) {},
		OnBelief:    func(netip.Addr, decision.Belief) {},
		WarmupLeft:  func() time.Duration { return 0 },

		PriorityAdmission: func(*SimulatedVM) bool { return false },

		Runs: make(map[string]int),

		CrossZoneBytesByKind: make(map[peer.Kind]int),
		random:               rand.New(rand.NewPCG(seed, seed)),
		vmByAddr:             make(map[netip.Addr]*SimulatedVM),
		callByFlow:           make(map[flow.Key]*OpaqueCall),
		strayPackets:         make(map[flow.Key]int),
		nextAddr:             [4]byte{10, 1, 0, 1},
	}
	s.schedule(0, s.tickEndpoints)
	s.schedule(0, s.tickCores)
	s.schedule(0, s.probeRelays)
	return s
}

// Now returns the virtual time since the start of the simulation.
func (s *Simulation) Now() time.Duration { return s.now }

// Random returns the simulation's source of random numbers. All random choices of a
// run must come from it, so that the run is repeatable.
func (s *Simulation) Random() *rand.Rand { return s.random }

// AddRelay adds a VM in a zone and starts its relay.
func (s *Simulation) AddRelay(zone string) *SimulatedVM {
	vm := s.addVM(zone)
	vm.StartRelay()
	return vm
}

// AddHost adds a host in a zone and starts its sidecar and an upstream of the service.
// configure, if not nil, is called at each start of the upstream to set its fields.
func (s *Simulation) AddHost(zone, service string, configure func(*OpaqueUpstream)) *SimulatedVM {
	vm := s.addVM(zone)
	vm.Service, vm.configureUpstream = service, configure
	vm.StartSidecar()
	vm.StartUpstream()
	return vm
}

// SetTable distributes a configuration to all running processes, and to those that
// start later.
func (s *Simulation) SetTable(table directory.Table) {
	s.table = table
	for _, vm := range s.vms {
		vm.SetTable(table)
	}
}

// At schedules f to run at a virtual time.
func (s *Simulation) At(at time.Duration, f func()) { s.schedule(at, f) }

// Run runs all events up to and including a time.
func (s *Simulation) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simulationEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// Call starts a call to an address. The caller is in the zone, and its IP address is
// not used by other calls.
func (s *Simulation) Call(zone string, address netip.AddrPort, timeout time.Duration) *OpaqueCall {
	n := len(s.Calls)
	return s.CallFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), zone, address, timeout)
}

// CallFrom is like Call, but sets the IP address of the caller, which may be used by
// several calls.
func (s *Simulation) CallFrom(from netip.Addr, zone string, address netip.AddrPort, timeout time.Duration) *OpaqueCall {
	n := len(s.Calls)
	caller := netip.AddrPortFrom(from, uint16(1024+n%60_000))
	c := &OpaqueCall{Key: flow.Key{Caller: caller, Address: address}, Request: fmt.Sprintf("r%d", n), Timeout: timeout}
	c.Send = func(packet []byte) { s.route(zone, c.Key, packet) }
	s.Calls = append(s.Calls, c)
	s.callByFlow[c.Key] = c
	s.openCalls = append(s.openCalls, c)
	c.Start(s.now, s.random.Uint32())
	return c
}

func (s *Simulation) addVM(zone string) *SimulatedVM {
	vm := &SimulatedVM{Addr: netip.AddrFrom4(s.nextAddr), Zone: zone, sim: s}
	if s.nextAddr[3]++; s.nextAddr[3] == 0 {
		s.nextAddr[2]++
	}
	s.vmByAddr[vm.Addr] = vm
	s.vms = append(s.vms, vm)
	return vm
}

func (s *Simulation) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// tickEndpoints ticks upstreams and callers.
func (s *Simulation) tickEndpoints() {
	for _, vm := range s.vms {
		if vm.upstreamUp && !vm.frozen {
			vm.Upstream.Tick(s.now)
		}
	}
	kept := s.openCalls[:0]
	for _, c := range s.openCalls {
		c.Tick(s.now)
		if !c.Done() {
			kept = append(kept, c)
		}
	}
	s.openCalls = kept
	s.schedule(s.now+_endpointTick, s.tickEndpoints)
}

// tickCores ticks relays and sidecars.
func (s *Simulation) tickCores() {
	for _, vm := range s.vms {
		switch {
		case !vm.processUp || vm.frozen:
		case vm.Relay != nil:
			vm.Relay.Tick(vm.clock())
		default:
			vm.Sidecar.Tick(vm.clock())
		}
	}
	s.schedule(s.now+_coreTick, s.tickCores)
}

// probeRelays probes the readiness of relays, as routers do.
func (s *Simulation) probeRelays() {
	for _, vm := range s.vms {
		if vm.Relay == nil {
			continue
		}
		if vm.processUp && !vm.frozen && vm.Relay.Ready(vm.clock()) {
			vm.missedProbes = 0
		} else {
			vm.missedProbes++
		}
	}
	s.schedule(s.now+_probeInterval, s.probeRelays)
}

// route sends a caller's packet to the relay that routers of the zone choose.
func (s *Simulation) route(zone string, key flow.Key, packet []byte) {
	var relays []*SimulatedVM
	for _, vm := range s.vms {
		if vm.Relay != nil {
			relays = append(relays, vm)
		}
	}
	if vm := Route(relays, zone, key); vm != nil {
		s.deliver(key.Caller.Addr(), vm, _callerDelay, func() { vm.Relay.CallerPacket(vm.clock(), packet) })
	}
}

// InZone implements Relay.
func (vm *SimulatedVM) InZone(zone string) bool { return vm.Zone == zone }

// InRotation implements Relay.
func (vm *SimulatedVM) InRotation() bool { return vm.missedProbes < _maxMissedProbes }

// deliver runs f, which hands a message to a VM's process, after a delay. The message
// is lost if DropMessage says so, or if the process is not running on arrival. If the
// VM is frozen on arrival, the message is deferred until Thaw.
func (s *Simulation) deliver(from netip.Addr, to *SimulatedVM, delay time.Duration, f func()) {
	if s.DropMessage(from, to.Addr) {
		return
	}
	s.schedule(s.now+delay, func() {
		switch {
		case !to.processUp:
		case to.frozen:
			to.deferred = append(to.deferred, f)
		default:
			f()
		}
	})
}

// deliverToCaller delivers a packet to a caller and checks the invariants that callers
// rely on.
func (s *Simulation) deliverToCaller(from netip.Addr, packet []byte) {
	packet = append([]byte(nil), packet...)
	s.schedule(s.now+_callerDelay, func() {
		p, genuine := DecodeOpaque(packet)
		c := s.callByFlow[p.ToCaller()]
		if c == nil {
			s.addViolation("%v got a packet that belongs to none of its flows", p.Destination)
			return
		}
		before := c.State
		c.HandlePacket(s.now, packet)
		if p.Flags.Has(flow.RST) && (before == CallOpen || before == CallIdle) && !genuine {
			holder := s.holder(c.Key)
			switch {
			case holder == nil:
			case c.State == CallReset:
				s.addViolation("open flow %v was reset by %v while %v holds it", c.Key, from, holder.Addr)
			default:
				s.IgnoredResets = append(s.IgnoredResets, fmt.Sprintf("%v: open flow %v by %v while %v holds it", s.now, c.Key, from, holder.Addr))
			}
		}
		if c.Corrupted {
			s.addViolation("flow %v got a packet that was forged or modified in transit", c.Key)
		}
	})
}

// holder returns the host whose running upstream holds a flow, or nil.
func (s *Simulation) holder(key flow.Key) *SimulatedVM {
	for _, vm := range s.vms {
		if vm.upstreamUp && vm.Upstream.Holds(key) {
			return vm
		}
	}
	return nil
}

func (s *Simulation) schedule(at time.Duration, f func()) {
	s.eventCount++
	heap.Push(&s.events, simulationEvent{at: at, order: s.eventCount, run: f})
}

// simulationEvent is a function to run at a time. Events of the same time run in the
// order in which they were scheduled.
type simulationEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []simulationEvent

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(simulationEvent)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock returns the time since the VM's process started.
func (vm *SimulatedVM) clock() time.Duration { return vm.sim.now - vm.processStart }

func (vm *SimulatedVM) incarnation() uint64 {
	return uint64(vm.sim.now) + vm.sim.random.Uint64()>>8 | 1
}

// StartRelay starts the VM's relay. It knows the addresses of the other relays, and
// the configuration unless the store is down.
func (vm *SimulatedVM) StartRelay() {
	s := vm.sim
	vm.processUp, vm.processStart, vm.missedProbes = true, s.now, _maxMissedProbes
	identity := relay.Identity{Addr: vm.Addr, Zone: vm.Zone, Incarnation: vm.incarnation()}
	vm.Relay = relay.NewCore(identity, platform.PacketWire{}, simOutbox{vm}, 1<<16, s.random,
		relay.WithPriorityAdmission(s.PriorityAdmission(vm)))
	vm.addRelays(vm.Relay.AddRelays)
	vm.loadTable()
	vm.readEvacuations()
}

// StartSidecar starts the VM's sidecar. It knows the addresses of the relays, and the
// configuration unless the store is down.
func (vm *SimulatedVM) StartSidecar() {
	s := vm.sim
	vm.processUp, vm.processStart, vm.sidecarService = true, s.now, vm.Service
	vm.Sidecar = sidecar.NewCore(sidecar.Identity{
		Addr: vm.Addr, Zone: vm.Zone, Incarnation: vm.incarnation(), Service: vm.Service,
		Upstream: netip.AddrPortFrom(vm.Addr, _upstreamPort), Heartbeat: _heartbeatInterval,
	}, platform.PacketWire{}, simOutbox{vm}, 1<<16, s.random, sidecar.WithPriorityAdmission(s.PriorityAdmission(vm)))
	vm.order = make(PacketOrder)
	vm.addRelays(vm.Sidecar.AddRelays)
	vm.loadTable()
}

func (vm *SimulatedVM) addRelays(add func(time.Duration, []netip.Addr)) {
	var relays []netip.Addr
	for _, other := range vm.sim.vms {
		if other.Relay != nil && other != vm {
			relays = append(relays, other.Addr)
		}
	}
	add(0, relays)
}

// loadTable passes the configuration in the store to a process that is starting.
func (vm *SimulatedVM) loadTable() {
	if !vm.sim.StoreDown {
		vm.SetTable(vm.sim.table)
	}
}

// SetTable passes a configuration to the VM's process, if it is running.
func (vm *SimulatedVM) SetTable(table directory.Table) {
	switch {
	case !vm.processUp || table.Version() == 0:
	case vm.Relay != nil:
		vm.Relay.SetTable(vm.clock(), table, "simulation")
	default:
		vm.Sidecar.SetTable(vm.clock(), table, "simulation")
	}
}

// StartUpstream starts a new incarnation of the host's upstream.
func (vm *SimulatedVM) StartUpstream() {
	s := vm.sim
	vm.upstreamStarts++
	vm.heartbeats, vm.upstreamUp, vm.draining = 0, true, false
	vm.acknowledged, vm.rejectedSince = false, 0
	u := NewOpaqueUpstream(s.random)
	u.Name = fmt.Sprintf("%v#%d", vm.Addr, vm.upstreamStarts)
	u.Slots, u.Queue = 4, 16
	u.RunTime = func(string) time.Duration { return 20 * time.Millisecond }
	u.Send = vm.sendFromUpstream
	u.OnRun = func(_ flow.Key, request string) { s.Runs[request]++ }
	u.OnCorrupted = func() { s.addViolation("upstream %s got a packet that was forged or modified in transit", u.Name) }
	u.OnStray = func(key flow.Key) {
		if holder := s.holder(key); holder != nil && holder != vm {
			s.strayPackets[key]++
		}
	}
	service := vm.Service
	var cold coldCount
	u.OnOpening = func(key flow.Key) {
		s.checkEvacuation(vm)
		vm.checkColdRate(&cold)
		if !s.table.Allows(key.Address, service) {
			s.addViolation("flow %v was opened at %s of service %s, to which no route of its address leads", key, u.Name, service)
		}
	}
	if vm.configureUpstream != nil {
		vm.configureUpstream(u)
	}
	vm.Upstream = u
	start := vm.upstreamStarts
	s.schedule(s.now, func() { vm.sendHeartbeat(start) })
}

// ReplaceUpstream starts an upstream of another service at the host's address, as a platform
// does that has given the address out again. The sidecar keeps its service until StartSidecar.
func (vm *SimulatedVM) ReplaceUpstream(service string, configure func(*OpaqueUpstream)) {
	vm.Service, vm.configureUpstream = service, configure
	vm.StartUpstream()
}

// sendFromUpstream delivers a packet of the upstream to the host's sidecar.
func (vm *SimulatedVM) sendFromUpstream(packet []byte) {
	if vm.upstreamUp {
		vm.sim.deliver(vm.Addr, vm, 0, func() { vm.Sidecar.UpstreamPacket(vm.clock(), packet) })
	}
}

// sendHeartbeat sends a heartbeat of the upstream and schedules the next one, unless
// the upstream has ended or was started again since. A rejected heartbeat is repeated soon.
// It is a violation if one is rejected, except while a new incarnation takes the place of an
// earlier one, for up to a heartbeat interval, and at a sidecar of another service.
func (vm *SimulatedVM) sendHeartbeat(start uint64) {
	if vm.upstreamStarts != start || !vm.upstreamUp {
		return
	}
	next := _heartbeatInterval
	defer func() { vm.sim.schedule(vm.sim.now+next, func() { vm.sendHeartbeat(start) }) }()
	if vm.frozen || !vm.processUp {
		return
	}
	vm.heartbeats++
	err := vm.Sidecar.Heartbeat(vm.clock(), sidecar.Heartbeat{
		ID: vm.Upstream.Name, Service: vm.Service, Addr: netip.AddrPortFrom(vm.Addr, _upstreamPort), Slots: vm.Upstream.Slots,
		Draining: vm.draining, WarmupLeft: vm.warmupLeft(), Born: start, Sequence: vm.heartbeats,
	})
	switch {
	case err == nil:
		vm.acknowledged = true
		return
	case vm.rejectedSince == 0:
		vm.rejectedSince = vm.sim.now
	}
	next = _rejectedHeartbeatRetry
	if vm.sidecarService != vm.Service {
		vm.rejectedSince = 0
		return
	}
	if start == 1 || vm.acknowledged || vm.sim.now-vm.rejectedSince > _heartbeatInterval {
		vm.sim.addViolation("heartbeat refused: %v", err)
	}
}

// Drain makes the upstream announce that it drains, and end after the given time. It is a
// violation if a flow is opened at the upstream after the announcement.
func (vm *SimulatedVM) Drain(after time.Duration) {
	vm.draining = true
	vm.sendHeartbeat(vm.upstreamStarts)
	start, announced := vm.upstreamStarts, vm.sim.now
	opening := vm.Upstream.OnOpening
	vm.Upstream.OnOpening = func(key flow.Key) {
		if vm.sim.now > announced {
			vm.sim.addViolation("flow %v was opened at %s after the upstream announced that it drains", key, vm.Upstream.Name)
		}
		opening(key)
	}
	vm.sim.schedule(announced+after, func() {
		if vm.upstreamStarts != start || !vm.upstreamUp {
			return
		}
		if vm.processUp {
			if err := vm.Sidecar.Leave(vm.clock(), vm.Upstream.Name); err != nil {
				vm.sim.addViolation("leave refused: %v", err)
			}
		}
		vm.upstreamUp = false
	})
}

// KillUpstream ends the upstream without notice.
func (vm *SimulatedVM) KillUpstream() { vm.upstreamUp = false }

// KillProcess ends the relay or sidecar without notice.
func (vm *SimulatedVM) KillProcess() { vm.processUp = false }

// Freeze pauses the VM until Thaw.
func (vm *SimulatedVM) Freeze() { vm.frozen = true }

// Thaw resumes the VM and delivers the messages that arrived while it was frozen.
func (vm *SimulatedVM) Thaw() {
	vm.frozen, vm.thawedAt = false, vm.sim.now
	deferred := vm.deferred
	vm.deferred = nil
	for _, f := range deferred {
		if vm.processUp {
			f()
		}
	}
}

// StrayPackets returns the number of packets that reached an upstream while a different
// upstream held their flow.
func (s *Simulation) StrayPackets() int {
	total := 0
	for _, n := range s.strayPackets {
		total += n
	}
	return total
}

// Outcomes counts the calls in each state.
func (s *Simulation) Outcomes() map[CallState]int {
	counts := make(map[CallState]int)
	for _, c := range s.Calls {
		counts[c.State]++
	}
	return counts
}

// simOutbox delivers what a VM's core sends.
type simOutbox struct{ vm *SimulatedVM }

// ToCaller implements the cores' Outbox.
func (o simOutbox) ToCaller(_ netip.Addr, packet []byte) { o.vm.sim.deliverToCaller(o.vm.Addr, packet) }

// ToPeer implements the cores' Outbox.
func (o simOutbox) ToPeer(addr netip.Addr, message []byte) {
	to, ok := o.vm.sim.vmByAddr[addr]
	if !ok || peer.Kind(message[0]) == peer.KindUpstream && o.vm.sim.DropReport(o.vm.Addr, addr) {
		return
	}
	message = append([]byte(nil), message...)
	o.vm.Sent.add(message)
	delay := _inZoneDelay
	if to.Zone != o.vm.Zone {
		delay = _crossZoneDelay
		o.vm.sim.CrossZoneBytes += len(message)
		o.vm.sim.CrossZoneBytesByKind[peer.Kind(message[0])] += len(message) + _datagramHeaders
	}
	o.vm.sim.deliver(o.vm.Addr, to, delay, func() {
		to.Received.add(message)
		if to.Relay != nil {
			to.Relay.PeerMessage(to.clock(), message)
		} else {
			to.order.Arrive(o.vm.sim.now, message)
			to.Sidecar.PeerMessage(to.clock(), message)
		}
	})
}

// ToUpstream implements sidecar.Outbox.
func (o simOutbox) ToUpstream(packet []byte) {
	packet = append([]byte(nil), packet...)
	vm := o.vm
	vm.checkOrder(packet)
	vm.sim.schedule(vm.sim.now, func() {
		if vm.upstreamUp {
			vm.Upstream.HandlePacket(vm.sim.now, packet)
		}
	})
}

// LogDecision implements the cores' Outbox.
func (o simOutbox) LogDecision(r decision.Record) { o.vm.sim.OnRecord(o.vm.Addr, r) }

// LogBelief implements the cores' Outbox.
func (o simOutbox) LogBelief(b decision.Belief) { o.vm.sim.OnBelief(o.vm.Addr, b) }

// ObserveSpan implements the cores' Outbox.
func (o simOutbox) ObserveSpan(decision.Span, time.Duration) {}

// String returns the VM's address, zone and service.
func (vm *SimulatedVM) String() string {
	return strings.TrimSpace(fmt.Sprintf("%v %s %s", vm.Addr, vm.Zone, vm.Service))
}
