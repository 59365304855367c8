package sidecar

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/admission"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// Timeouts, intervals and limits of a sidecar.
const (
	// _consentTimeout is the time within which an upstream must answer an opening packet. A
	// running upstream answers in well under a millisecond.
	_consentTimeout = 150 * time.Millisecond
	// _handshakeTimeout is the time from the delivery of an opening packet within which the
	// caller must send its request, if the upstream has consented: several times the round
	// trip to a caller. After that the flow no longer counts as a request in progress, so
	// that a caller that has disappeared does not occupy a slot.
	_handshakeTimeout = 60 * time.Millisecond
	// _maxHops bounds how often an opening packet is passed on before a sidecar accepts
	// it. _maxTransfers is the bound for an opening packet that was queued at a sidecar.
	_maxHops = 3
	// _bounceBackoff is how long the upstream gets no new flow after it has bounced an
	// opening packet, that is, has returned the packet because it does not accept it:
	// about the run time of a short request.
	_bounceBackoff = 20 * time.Millisecond
	// _missedHeartbeats is the silence, in heartbeat intervals, after which a ready
	// upstream becomes suspect. _deadHeartbeats is the silence, in the same unit, after
	// which a suspect upstream is presumed dead.
	_missedHeartbeats = 3.5
	_deadHeartbeats   = 2.2
	// _minSuspicion is how long an upstream stays suspect even if it sends heartbeats.
	// Otherwise, an upstream that sends heartbeats but answers no opening packets would be
	// offered a flow after each heartbeat.
	_minSuspicion = 500 * time.Millisecond
	// _minPeerInterval and _maxPeerInterval are the shortest and the longest interval
	// between two load reports to peers, and _minRelayInterval is the shortest interval
	// between two reports to relays. _maxReportsPerSecond bounds the rate at which one
	// process sends reports to its peers and, separately, the rate of its reports to
	// relays. A report takes 95 bytes with its packet headers.
	_minPeerInterval     = 40 * time.Millisecond
	_minRelayInterval    = 150 * time.Millisecond
	_maxPeerInterval     = 600 * time.Millisecond
	_maxReportsPerSecond = 80
	// _maxNeighbours bounds the number of peers to which a sidecar reports its load, and
	// which in turn can pass flows to it. Among that many peers, a free slot is rarely
	// missed.
	_maxNeighbours = 16
	// _minTimelyTicks is the number of consecutive ticks, each within _maxTickGap of the
	// previous tick, after which the upstream's silence counts. Otherwise, a sidecar that
	// was itself stalled would make its upstream suspect.
	_minTimelyTicks = 2
	_maxTickGap     = 60 * time.Millisecond
	// _staleOfferGap is the time without a tick after which offers in the socket may be
	// older than callers wait for a flow to open. For _resumePeriod after such a gap, the
	// upstream gets no new flow: what this process knows is as old as the gap is long.
	_staleOfferGap = 1400 * time.Millisecond
	_resumePeriod  = 40 * time.Millisecond
	// _repeatPeriod is how long callers repeat a packet that is lost, at intervals that grow
	// to 1.6 s.
	_repeatPeriod = 5 * time.Second
	// _maxSlots bounds the slots that an upstream may report. Messages have 16 bits for
	// them.
	_maxSlots = 1 << 15
	// _fetchTime is the time that the first relay with a new configuration needs to send
	// the configuration to one sidecar, with 0.06 of a CPU core. Relays need a new
	// configuration first, since they choose the upstreams of new flows. Sidecars
	// therefore wait before they fetch it, for a random time between _minAskDelay and a
	// limit that grows with the fleet up to _maxAskDelay.
	_fetchTime   = 6 * time.Millisecond
	_minAskDelay = 60 * time.Millisecond
	_maxAskDelay = 400 * time.Millisecond
)

// Wire is the callers' packet format, as far as the core needs it.
type Wire interface {
	// Decode decodes a packet's header.
	Decode(packet []byte) (flow.Packet, error)
	// Restore clears in place the mark that an upstream sets on a packet that it bounces.
	Restore(packet []byte)
	// AppendReset appends to b a reset packet for the flow's caller, with ack, the caller's
	// last acknowledgement number, as its sequence number.
	AppendReset(b []byte, key flow.Key, ack uint32) []byte
}

// Outbox sends the core's packets and messages, and records its decisions and durations.
// Implementations must not retain packets or messages after the call returns.
type Outbox interface {
	ToCaller(caller netip.Addr, packet []byte)
	ToPeer(addr netip.Addr, message []byte)
	ToUpstream(packet []byte)
	LogDecision(record decision.Record)
	LogBelief(belief decision.Belief)
	ObserveSpan(span decision.Span, took time.Duration)
}

// Identity describes the process that a core belongs to and its upstream.
type Identity struct {
	Addr netip.Addr
	Zone string
	// Incarnation distinguishes successive processes at the same address.
	Incarnation uint64
	// Service is the service of the upstream on this host, and Upstream is the address at
	// which the upstream receives packets.
	Service  string
	Upstream netip.AddrPort
	// Heartbeat is the interval at which the upstream sends heartbeats.
	Heartbeat time.Duration
	// AddressReuse is the least time from the end of an upstream until another one, possibly
	// of another service, may have its address. Zero means 2 s. A time below 1.5 heartbeat
	// intervals counts as these, or heartbeats could not confirm the upstream.
	AddressReuse time.Duration
}

// Core is the state machine of a sidecar. It has no sockets, clocks or goroutines, and
// is not safe for concurrent use. Times are monotonic and count from the start of the
// process.
type Core struct {
	self      Identity
	serviceID peer.ServiceID
	wire      Wire
	out       Outbox
	random    *rand.Rand
	table     directory.Table
	view      *fleet.View
	flows     *flow.Cache[flowState]
	upstream  upstream
	// pastLives are the upstream's lives that have ended, the last one last, and claim is the
	// claim of another life to be the present one.
	pastLives []pastLife
	claim     claim
	counts    Counts
	// buffer, candidates and eligible are reused between calls. collectPeers fills
	// candidates and eligible: candidates[i] describes eligible[i] for package placement.
	buffer     []byte
	candidates []placement.Candidate
	eligible   []*fleet.Upstream

	// now is the time of the current call.
	now time.Duration
	// admission decides about the requests that the upstream gets. It holds those in progress
	// or expected, and the opening packets that wait. A request is expected for
	// _handshakeTimeout after the delivery of the opening packet.
	admission *admission.Controller[flowState]
	// room is what was last found about capacity by priority.
	room roomState
	// heldBytes is the size of all packets in flowState.held.
	heldBytes int
	// runTimes and earlyShares are reused between calls for values from peers' reports.
	runTimes    []time.Duration
	earlyShares []float64
	// awaitingRequest holds the flows whose opening packet was delivered to the upstream
	// and whose caller has not sent a request yet, in the order of delivery.
	awaitingRequest []*flowState
	// stopping is set once the process has been told to stop.
	stopping bool
	// sequence is the sequence number of the last report.
	sequence uint64
	// fleetSize is the number of sidecars, from the last relay report.
	fleetSize int
	// lastTick is the time of the last tick, and timelyTicks counts the consecutive ticks
	// that each came within _maxTickGap of the previous tick.
	lastTick    time.Duration
	timelyTicks int
	// longestIdle is the longest idle timeout of the configurations that were in force.
	longestIdle time.Duration
	// resumedAt is the time of the last tick that came more than _staleOfferGap after the
	// previous tick.
	resumedAt   time.Duration
	lastReports reportTimes
	// configs exchanges configuration versions with other processes.
	configs *distribution.Member
	// evacuations are the zones whose upstreams get no new flows.
	evacuations evacuation.State
	gate        coldGate
	identity    identity
	// zones are the costs of passing a flow on to a peer in each zone.
	zones placement.Zones
	// usual is the run time with which that of the upstream is compared.
	usual usualRunTime
	// priorityAdmission is set by WithPriorityAdmission.
	priorityAdmission bool
	// routesDiffer is set if requests are admitted by priority under the active configuration:
	// the routes of the service differ in priority.
	routesDiffer bool
}

// Option configures a Core.
type Option func(*Core)

// WithColdBound bounds the requests that the upstream gets while it is cold.
func WithColdBound(bound ColdBound) Option { return func(c *Core) { c.gate.bound = bound } }

// WithPriorityAdmission makes the sidecar admit requests by priority if the routes of its service
// differ in priority.
func WithPriorityAdmission(enabled bool) Option {
	return func(c *Core) { c.priorityAdmission = enabled }
}

// prioritized reports whether requests are admitted by priority.
func (c *Core) prioritized() bool { return c.routesDiffer }

// reportTimes holds the times of the last reports to peers and to relays, and the loads
// that they contained.
type reportTimes struct {
	peersAt, relaysAt     time.Duration
	peersLoad, relaysLoad int
	// peersNoRoom and relaysNoRoom are the values of NoRoomFrom in these reports.
	peersNoRoom, relaysNoRoom uint8
}

// flowState is what the sidecar knows of a flow of the upstream.
type flowState struct {
	key flow.Key
	// work is the opening of the flow or its present request. Its class was set from the
	// configuration version classified.
	work       admission.Work[flowState]
	classified uint64
	// packet is the opening packet, kept until the caller acknowledges the consent.
	packet []byte
	hops   uint8
	// version is the version of the configuration under which the flow's service was chosen.
	version uint64
	// openingSeq is the sequence number of the caller's opening packet, consentSeq that of
	// the upstream's consent, and latestSeq the highest that the upstream has sent.
	openingSeq, consentSeq, latestSeq uint32
	// replyEnd is the end of the data that the upstream has sent; valid if replyStarted is set.
	replyEnd     uint32
	replyStarted bool
	consented    bool
	// established is set once the flow is known to be open at the upstream: the caller has
	// acknowledged the consent, or the upstream has sent more than its consent.
	established bool
	// ended is set once the upstream has closed or reset the flow. dead is set once the
	// upstream no longer has the flow; the caller's packets are then answered with a reset.
	ended, dead bool
	// ofPastLife is set if the flow was open at a life of the upstream that has been replaced
	// since, and the upstream has not answered on the flow.
	ofPastLife bool
	// awaitsRequest is set while the flow counts as one of Core.awaitingRequest.
	awaitsRequest bool
	// probing is set while it is unknown whether the upstream holds the flow. The sidecar
	// has passed a packet of the flow to the upstream, whose answer will tell.
	probing bool
	// origin is the relay that last forwarded a packet of the flow.
	origin netip.Addr
	// deliveredAt is when the opening packet was delivered to the upstream or, as long as
	// the packet is queued, when the sidecar accepted it.
	deliveredAt time.Duration
	// opened is set once the opening packet was delivered to the upstream by this process.
	opened bool
	// answered is set once the upstream has sent data.
	answered bool
	// firstRequestAt and lastRequestAt are when the caller's first and latest packets with
	// data arrived.
	firstRequestAt, lastRequestAt time.Duration
	// requestEnd is the sequence number that follows the caller's data of the latest request.
	requestEnd uint32
	// held are packets of a request that is held back, in the order of their arrival.
	held []heldPacket
	// carriedAt is when the caller's last packet was delivered to the upstream, and
	// callerAck is the acknowledgement number of that packet.
	carriedAt time.Duration
	callerAck uint32
	// livenessCheckAt is when a packet of the flow was sent to an upstream that is presumed
	// dead, to check whether it answers.
	livenessCheckAt time.Duration
}

// Counts are a sidecar's counters since its start.
type Counts struct {
	// Accepted, PassedOn, Refused and Bounced count opening packets: accepted for the
	// upstream, passed on to a peer, refused, and bounced by the upstream. Waited counts
	// accepted packets that had to wait for capacity.
	Accepted, PassedOn, Refused, Bounced, Waited uint64
	// Carried counts packets sent to the upstream on flows that it holds, and Replies
	// counts packets sent to callers.
	Carried, Replies uint64
	// NotHeld counts answers that the upstream does not hold a flow, Resets counts resets
	// that the sidecar sent to callers, and Dropped counts dropped packets.
	NotHeld, Resets, Dropped uint64
	// Stray counts packets of the upstream that belonged to an earlier flow between the
	// same caller address and service address.
	Stray uint64
	// Evacuated counts opening packets that the upstream did not get because its zone is
	// evacuated.
	Evacuated uint64
	// IgnoredHeartbeats counts heartbeats and leave notices that were rejected: they may have
	// arrived late, are not from the upstream on this host, or could not be decoded.
	IgnoredHeartbeats uint64
	// OtherUpstreamHeartbeats counts those of them that name another service or address.
	OtherUpstreamHeartbeats uint64
	// UnconfirmedOpenings counts opening packets that the upstream did not get since its
	// address may have passed to another upstream.
	UnconfirmedOpenings uint64
	// IdentityRevocations counts how often an upstream of another service has shown that it
	// has the address of the own one.
	IdentityRevocations uint64
	// Displaced counts waiting opening packets that were refused because more important ones
	// arrived, and Held counts requests on open flows that were held back.
	Displaced, Held uint64
	// UpstreamRefusals counts requests whose answers show that the upstream has refused them.
	UpstreamRefusals uint64
	// RefusedByPriority counts refused opening packets, and ServedByPriority the requests
	// that the upstream has answered otherwise than by a refusal, by priority. Priorities
	// above the last index count there.
	RefusedByPriority, ServedByPriority [admission.Priorities]uint64
	// Malformed counts packets and messages that could not be decoded.
	Malformed uint64
}

// NewCore returns a core without configuration, flows, or known relays and peers.
func NewCore(self Identity, wire Wire, out Outbox, maxFlows int, random *rand.Rand, opts ...Option) *Core {
	if self.AddressReuse <= 0 {
		self.AddressReuse = _defaultAddressReuse
	}
	self.AddressReuse = max(self.AddressReuse, time.Duration(_minProofHeartbeats*float64(self.Heartbeat)))
	c := &Core{
		self:      self,
		serviceID: peer.NewServiceID(self.Service),
		wire:      wire,
		out:       out,
		random:    random,
		view:      fleet.New(_maxPeerInterval),
		zones:     placement.NewZones(self.Zone),
	}
	c.admission = admission.New[flowState](c.limits)
	c.flows = flow.NewCache(maxFlows, c.onEvict)
	c.configs = distribution.New(self.Addr, false, out, random, distribution.WithAskDelay(c.askDelay))
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Counts returns the counters.
func (c *Core) Counts() Counts { return c.counts }

// Table returns the active configuration.
func (c *Core) Table() directory.Table { return c.table }

// Flows returns the number of flows in the flow table.
func (c *Core) Flows() int { return c.flows.Len() }

// Busy returns the number of flows whose request is in progress or expected.
func (c *Core) Busy() int { return c.admission.Busy() }

// Waiting returns the number of opening packets that wait for capacity at the upstream.
func (c *Core) Waiting() int { return len(c.admission.Waiting()) }

// HeldNow returns the number of requests on open flows that are held back.
func (c *Core) HeldNow() int { return len(c.admission.Held()) }

// Capacity returns the learned number of requests that the upstream works on and queues, or
// zero if it is not known.
func (c *Core) Capacity() int { return c.admission.Capacity() }

// Known returns the numbers of relays and sidecars that this sidecar knows.
func (c *Core) Known() (relays, sidecars int) { return c.view.RelayCount(), c.view.SidecarCount() }

// askDelay returns the bounds of the random time for which this sidecar waits before it
// fetches a new configuration, so that relays can fetch it first.
func (c *Core) askDelay() (least, most time.Duration) {
	return _minAskDelay, min(_minAskDelay+time.Duration(c.fleetSize)*_fetchTime, _maxAskDelay)
}

// Behind returns the highest configuration version that another process has announced,
// and how long a version above the active one has been known. Both are zero if no
// process has announced such a version.
func (c *Core) Behind(now time.Duration) (version uint64, knownFor time.Duration) {
	return c.configs.Behind(now)
}

// ConfigurationCounts returns the counters of configuration messages exchanged with other
// processes.
func (c *Core) ConfigurationCounts() distribution.Counts { return c.configs.Counts() }

// InZone reports whether the process at addr is known to be in this sidecar's zone.
func (c *Core) InZone(addr netip.Addr) bool { return c.view.InZone(addr, c.self.Zone) }

// Isolated reports whether the sidecar has received no report from any relay.
func (c *Core) Isolated() bool { return c.view.Isolated() }

// SetTable activates a configuration if its version is higher than the active one. It
// returns whether the configuration was activated.
func (c *Core) SetTable(now time.Duration, table directory.Table, source string) bool {
	if !c.configs.Accept(now, table, source) {
		return false
	}
	c.adoptConfiguration()
	return true
}

// adoptConfiguration logs and activates the latest configuration in c.configs.
func (c *Core) adoptConfiguration() {
	table := c.configs.Table()
	c.out.LogBelief(decision.NewSettings(c.table.Version(), table.Version(), c.configs.Source()))
	c.table = table
	c.routesDiffer = c.priorityAdmission && table.Prioritized(c.self.Service)
	c.longestIdle = max(c.longestIdle, table.IdleTimeout())
	for _, w := range slices.Clone(c.admission.Waiting()) {
		if f := w.Flow; f.version <= table.Version() && !table.Allows(f.key.Address, c.self.Service) {
			c.redirectOpening(c.now, f.key, f, _reasonRouteChanged)
		}
	}
}

// noteVersion notes that the process at addr has a configuration of the given version. If
// that version is higher than the active one, this sidecar will fetch the configuration.
func (c *Core) noteVersion(now time.Duration, version uint64, addr netip.Addr) {
	if version > c.table.Version() {
		c.configs.NoteVersion(now, version, addr, c.view.InZone(addr, c.self.Zone))
	}
}

// AddRelays adds relays to the known ones and sends a report to each new one.
func (c *Core) AddRelays(now time.Duration, relays []netip.Addr) {
	for _, addr := range relays {
		if c.view.AddRelay(now, addr) {
			c.reportTo(addr)
		}
	}
}

// Stop makes the sidecar accept no new flows and redirects the waiting opening packets.
// The sidecar continues to forward packets of the flows that the upstream holds.
func (c *Core) Stop(now time.Duration) {
	c.now = now
	c.stopping = true
	c.reportToAll(now)
	c.redirectWaiting(_reasonStopping)
	c.releaseAllHeld()
}

// Drained reports whether a stopped sidecar can exit without losing requests: no
// request is in progress or waiting, or the upstream is absent, suspect or gone.
func (c *Core) Drained() bool {
	switch c.upstream.state {
	case peer.Ready, peer.Draining:
		return c.Busy() == 0 && c.Waiting() == 0 && c.HeldNow() == 0
	default:
		return true
	}
}

// Tick does all periodic work. It is called about every 20 ms.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	c.refuseTooLate()
	c.releaseHeld(now + _tickInterval)
	c.endOverdue()
	c.updateRoom()
	if now-c.lastTick > _staleOfferGap {
		c.resumedAt = now
	}
	if now-c.lastTick > _maxTickGap {
		c.timelyTicks = 0
	} else {
		c.timelyTicks++
	}
	c.lastTick = now
	c.identity.noteTick(now)
	c.checkConfirmation(now)
	c.startTrialIfDue()
	if c.gate.cold(now) {
		c.admitWaiting()
	}
	c.checkAwaitingRequest(now)
	c.checkHeartbeats(now)
	c.updateEvacuations(now, c.evacuations.At(now), evacuation.SourceExpired)
	c.reportIfDue(now)
	for _, addr := range c.view.UnconfirmedRelays(now) {
		c.reportTo(addr)
	}
	c.flows.RotateIfDue(now, c.sentSince(), c.table.IdleTimeout())
	c.configs.Tick(now)
	c.view.Tick(now)
}

// endRequest ends the request of a flow, or the expectation of one. If there was one, it
// delivers waiting opening packets and held packets.
func (c *Core) endRequest(f *flowState) {
	if c.admission.End(c.now, &f.work) {
		c.admitWaiting()
		c.releaseHeld(c.now)
	}
}

// closeFlow notes that a flow is no longer open at the upstream: its request has ended, and it
// will send no more.
func (c *Core) closeFlow(f *flowState) {
	c.admission.CloseFlow(&f.work)
	c.endRequest(f)
}

// endOverdue ends requests whose callers no longer wait. Their answers were lost.
func (c *Core) endOverdue() {
	for w := c.admission.Overdue(c.now); w != nil; w = c.admission.Overdue(c.now) {
		c.endRequest(w.Flow)
	}
}

// newFlowState returns the state of a flow of which nothing is known.
func newFlowState(key flow.Key) *flowState {
	f := &flowState{key: key}
	f.work.Flow = f
	return f
}

// onEvict is called when a flow is evicted from the flow table. It removes the flow from
// the queue and from the count of requests in progress, and delivers its held packets.
func (c *Core) onEvict(_ flow.Key, f *flowState) {
	c.dequeue(f)
	f.awaitsRequest = false
	c.deliverHeld(f)
	c.closeFlow(f)
}
