package relay

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// Timeouts and limits of a relay.
const (
	// _minOfferTimeout and _maxOfferTimeout bound the time that a sidecar gets to
	// answer an offer. The lower bound covers one round trip between zones and several
	// scheduling delays of a slow process; callers repeat their opening packet after
	// 200 ms at the earliest. The upper bound is reached when this relay is so busy
	// that answers wait in its own socket.
	_minOfferTimeout = 70 * time.Millisecond
	_maxOfferTimeout = 400 * time.Millisecond
	// _stallThreshold is the time between two ticks above which the process counts as
	// having been stalled.
	_stallThreshold = 60 * time.Millisecond
	// _staleOpeningGap is the time without a tick after which opening packets in the socket
	// may belong to flows that were opened through other relays meanwhile: callers repeat
	// them after that time. For _resumePeriod after such a gap, packets may be that old.
	_staleOpeningGap = 200 * time.Millisecond
	_resumePeriod    = 40 * time.Millisecond
	// _maxOfferAttempts is the maximum number of upstreams to which an opening packet is
	// offered before the relay starts over with last-resort offers (see
	// offer.lastResort).
	_maxOfferAttempts = 4
	// _parkTimeout is how long an opening packet is parked in a relay that has just
	// started and does not know yet where to send it. Callers repeat their opening
	// packet for 1.4 s.
	_parkTimeout = 1200 * time.Millisecond
	// _maxParked bounds the parked opening packets, of some 100 bytes each.
	_maxParked = 4096
	// _questionTimeout is how long a question for the holder of a flow stays open. After
	// that, the next packet of the flow opens a new question.
	_questionTimeout = 400 * time.Millisecond
	// _ownZoneStepTimeout is how long a step of a search waits for sidecars in this relay's
	// zone: several times the network latency within a zone. _allZonesStepTimeout is the same
	// for all zones, with time for an upstream to return a packet.
	_ownZoneStepTimeout  = 15 * time.Millisecond
	_allZonesStepTimeout = 60 * time.Millisecond
	// _denialLifetime is how long the next search for a flow relies on denials of the last
	// one: longer than callers wait before they repeat a packet.
	_denialLifetime = 2 * time.Second
	// _maxQuestions bounds the open questions. Each question buffers the packets that the
	// caller has in flight, usually a single one.
	_maxQuestions = 2048
	// _maxBufferedPackets bounds the packets of one flow that are buffered until its
	// holder is found. It covers what a caller has in flight.
	_maxBufferedPackets = 16
	// _searchBytesPerSecond and _searchBurstBytes are the rate and the burst of the token
	// bucket for searches, that is, for questions and for packets tried at unsure
	// sidecars (see search.go). The rate is a sixth of the capacity of the smallest links.
	// Without this limit, searches would fill the links after the loss of all
	// processes, when many flows have no holder and many sidecars are unsure.
	_searchBytesPerSecond = 200_000
	_searchBurstBytes     = 400_000
	// _questionBytes is the size of one question, and about that of its answer, on a link.
	// Links carry both directions independently.
	_questionBytes = 60
	// _packetOverheadBytes is what headers add to the size of a forwarded packet.
	_packetOverheadBytes = 60
	// _startupPeriod is the time after a relay's start during which the relay may not
	// know all running processes yet. During this time, it resets no flow for lack of a
	// route, an upstream or a holder, since there may be one that it does not know.
	_startupPeriod = 4 * time.Second
	// Resets for lack of a holder begin earlier, _minSearchStartup after the start, if each
	// sidecar that another relay has named has reported, and no further sidecar has appeared
	// for _discoveryQuietPeriod. Callers on flows that ended in a power loss would else
	// repeat their packets until their time is over.
	_minSearchStartup     = 500 * time.Millisecond
	_discoveryQuietPeriod = 300 * time.Millisecond
	// _callerOpenTimeout is how long callers repeat the opening packet of a flow. A
	// flow that was first offered longer ago is no longer being opened.
	_callerOpenTimeout = 1400 * time.Millisecond
	// _initialReportInterval is the interval at which sidecars are expected to report
	// until the size of the fleet is known.
	_initialReportInterval = time.Second
	// One of every _namesEveryReports rounds of periodic reports names other processes. A
	// new process is sent names at once.
	_namesEveryReports = 8
	// _maxNames is the maximum number of relays, and also of sidecars, that a periodic
	// report names. They are drawn at random, so that in time all are named.
	_maxNames = 32
	// _namesToNewProcess is how many sidecars all relays together name to a process that
	// has just started, and _minNamesToNewProcess how many each relay names at least. The
	// minimum is small, some tens of bytes, because every relay sends that many names.
	_namesToNewProcess    = 1000
	_minNamesToNewProcess = 4
	// _fetchFanout is how many processes a relay sends a report to when it has got a
	// configuration from another process. More than one makes the number of processes
	// with the configuration grow exponentially. A relay that reads the configuration
	// from the store reports to all processes.
	_fetchFanout = 8
)

// Wire decodes and encodes packets in the callers' format.
type Wire interface {
	// Decode reads a packet's header.
	Decode(packet []byte) (flow.Packet, error)
	// AppendReset appends to b a reset of the flow for the caller. ack is the
	// acknowledgment number of the caller's packet.
	AppendReset(b []byte, key flow.Key, ack uint32) []byte
}

// Outbox sends the core's packets and messages, and records its decisions and durations.
// Implementations must not retain packets and messages after the call returns.
type Outbox interface {
	ToCaller(caller netip.Addr, packet []byte)
	ToPeer(addr netip.Addr, message []byte)
	LogDecision(record decision.Record)
	LogBelief(belief decision.Belief)
	ObserveSpan(span decision.Span, took time.Duration)
}

// Identity identifies the relay process that a core is part of.
type Identity struct {
	Addr netip.Addr
	Zone string
	// Incarnation is different for each run of a process at one address.
	Incarnation uint64
}

// Core is the logic of a relay: a state machine without sockets, clocks or
// goroutines. It is not safe for concurrent use. Times are monotonic and count from
// the start of the process.
type Core struct {
	self   Identity
	wire   Wire
	out    Outbox
	random *rand.Rand
	table  directory.Table
	view   *fleet.View
	flows  *flow.Cache[flowState]
	offers map[flow.Key]*offer
	counts Counts
	// buffer, candidates and eligible are reused to avoid allocations.
	buffer     []byte
	candidates []placement.Candidate
	eligible   []*fleet.Upstream

	leaving                bool
	sequence, reportRounds uint64
	nextReport             time.Duration
	// parked are the opening packets that arrived before the relay knew where to send
	// them, in the order in which they were parked.
	parked       []parked
	searchBudget searchBudget
	// questions are the open questions, the oldest first.
	questions []openQuestion
	// returning are the callers that are expected to retry after a refusal.
	returning returningCallers
	// offerRTT estimates how long sidecars take to answer offers.
	offerRTT rttEstimator
	// lastTick is the time of the last tick, and resumedAt that of the last tick that came
	// more than _staleOpeningGap after the previous tick.
	lastTick, resumedAt time.Duration
	// storeReads decides when this relay reads the configuration from the store.
	storeReads readSchedule
	// storeEpoch is one more than the highest known epoch of the store, or zero.
	storeEpoch uint32
	// configs exchanges configurations with other processes.
	configs *distribution.Member
	// lastNewSidecar is when a sidecar last reported for the first time.
	lastNewSidecar time.Duration
	// evacuations are the zones whose upstreams get no new flows.
	evacuations evacuation.State
	// zones are the costs of choosing an upstream in each zone.
	zones placement.Zones
	// priorityAdmission is set by WithPriorityAdmission.
	priorityAdmission bool
	link              linkBudget
	throttles         throttles
}

// Option configures a Core.
type Option func(*Core)

// WithPriorityAdmission makes the relay take priorities into account when it refuses and places
// new flows of services whose routes differ in priority.
func WithPriorityAdmission(enabled bool) Option {
	return func(c *Core) { c.priorityAdmission = enabled }
}

// flowState is what a relay knows of a flow. It is a cache: a relay that loses it
// searches for the holder again.
type flowState struct {
	// holder is the sidecar that is presumed to hold the flow; invalid if unknown.
	holder netip.Addr
	// openingSeq is the sequence number of the opening packet that was offered, and choice is
	// where it was offered.
	openingSeq uint32
	choice     choice
	arrival    arrival
	// firstOffered is when the opening packet was first offered; zero if it was not.
	firstOffered time.Duration
	// deliveredAt is when a sidecar answered that it has delivered the opening packet to its
	// upstream without a wait; zero if it has not or the caller has sent a packet since.
	deliveredAt time.Duration
	// sentBytes is what the caller has sent on the flow, and reservedBytes what is left of the
	// capacity of the link that was reserved for it. See link.go.
	sentBytes, reservedBytes int
	// question is the open search for the holder; nil if there is none.
	question *question
	// searchFailedAt is when the last search timed out, and deniedBy are the sidecars that
	// denied the flow in it. They are zero if that search has found the holder.
	searchFailedAt time.Duration
	deniedBy       []netip.Addr
}

// offer is an opening packet that no sidecar has answered yet.
type offer struct {
	packet  []byte
	choice  choice
	arrival arrival
	// stale is set if the packet may have waited in the socket while the flow was opened.
	stale bool
	// firstCopy is set if no copy of the packet can have reached an upstream when the relay
	// got it.
	firstCopy bool
	// priority is that of the flow's route. prioritized is set if it decides who gets capacity.
	priority    int
	prioritized bool
	// freshFor is the time after the flow's arrival in which an Overloaded verdict counts
	// for other flows as well.
	freshFor time.Duration
	// throttle counts the openings of the flow's service and priority; nil if they are not
	// counted.
	throttle *throttle
	// overloaded is set once a sidecar has answered that its upstream and peers are overloaded.
	overloaded bool
	// room is the capacity of the eligible upstreams at the last choice.
	room room
	// refusedZones has a bit for each zone to which the packet was offered and whose upstreams
	// were overloaded. The bit's number is the zone's index in Core.zones.
	refusedZones uint16
	// reason is why the packet was placed anew; empty if it was not.
	reason string
	// lastSent is when the packet was last offered.
	lastSent time.Duration
	// lastResort is sent as peer.Carried.LastResort: sidecars then accept the packet even if
	// its answer will miss the route's target, as long as the caller still waits.
	lastResort bool
	// evacuated is set if an upstream was left out because its zone is evacuated.
	evacuated bool
	// tried are the sidecars that the packet was offered to, the latest last.
	tried []netip.Addr
	// unanswered are the sidecars in tried that did not answer in time. Each may have
	// given the packet to its upstream.
	unanswered []netip.Addr
}

// parked is an opening packet that waits until the relay knows a route and an upstream
// for it.
type parked struct {
	key     flow.Key
	arrival arrival
	packet  []byte
}

// question is an open search for the holder of a flow: the sidecar whose upstream has
// the flow. Sidecars are asked with messages of peer.KindQuestion.
type question struct {
	started time.Duration
	// scope is the present scope, and stepAt is when the present step began.
	scope  searchScope
	stepAt time.Duration
	// ack is the acknowledgement number of the first packet.
	ack uint32
	// asked are the sidecars that were asked, in order. answers has an entry for each of
	// them, which is zero until the sidecar has answered, and again while the sidecar is
	// tried. unanswered counts these zeros. answers also has the sidecars whose denial is
	// known from before.
	asked      []netip.Addr
	answers    map[netip.Addr]peer.Outcome
	unanswered int
	// unsure are the sidecars that are unsure and were not tried yet, and tried are those
	// to which the first buffered packet was sent.
	unsure, tried []netip.Addr
	// packets are the caller's packets that are buffered until the holder is found. A
	// reset of the flow uses the acknowledgment number of the last one.
	packets [][]byte
}

// Counts are a relay's counters since its start.
type Counts struct {
	// Packets counts packets from callers, and Openings those that open a flow.
	Packets, Openings uint64
	// Offers counts offers to sidecars, Unanswered those that timed out, and Crossings those to
	// sidecars of another zone.
	Offers, Unanswered, Crossings uint64
	// Carried counts packets sent to the known holder of their flow, Asked rounds of
	// questions for a holder, and Tried packets sent to unsure sidecars.
	Carried, Asked, Tried uint64
	// SearchesFound, SearchesDenied and SearchesUnfinished count searches by their end: a
	// sidecar held the flow, all denied it, or some did not answer in time.
	SearchesFound, SearchesDenied, SearchesUnfinished uint64
	// Resets counts resets sent to callers, and Dropped packets that were discarded.
	Resets, Dropped uint64
	// NoRoom counts resets because no upstream has capacity for the flow's priority, which
	// Resets includes, and Probes offers made although no upstream has capacity.
	NoRoom, Probes uint64
	// Throttled counts those of NoRoom that were reset since most openings of their priority
	// are refused.
	Throttled uint64
	// LinkFull counts resets because the flow's data would not fit through the relay's link,
	// which Resets includes.
	LinkFull uint64
	// Evacuated counts new flows for which upstreams of evacuated zones were left out.
	Evacuated uint64
	// Malformed counts packets and messages that could not be decoded.
	Malformed uint64
}

// NewCore returns a core without a configuration or known processes. It remembers at
// most maxFlows flows.
func NewCore(self Identity, wire Wire, out Outbox, maxFlows int, random *rand.Rand, opts ...Option) *Core {
	c := &Core{
		self:   self,
		wire:   wire,
		out:    out,
		random: random,
		view:   fleet.New(_initialReportInterval),
		flows:  flow.NewCache[flowState](maxFlows, nil),
		offers: make(map[flow.Key]*offer),
		zones:  placement.NewZones(self.Zone),

		throttles:    make(throttles),
		returning:    newReturningCallers(),
		searchBudget: searchBudget{bytes: _searchBurstBytes},
	}
	c.configs = distribution.New(self.Addr, true, out, random)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Counts returns the current values of the counters.
func (c *Core) Counts() Counts { return c.counts }

// Table returns the configuration in force.
func (c *Core) Table() directory.Table { return c.table }

// Flows returns the number of flows in the relay's cache.
func (c *Core) Flows() int { return c.flows.Len() }

// Known returns how many other relays and how many sidecars the relay knows.
func (c *Core) Known() (relays, sidecars int) { return c.view.RelayCount(), c.view.SidecarCount() }

// Ready reports whether routers should send packets to this relay: it was not
// asked to leave, has a configuration, and knows a sidecar of each service. Once the
// startup period is over, a sidecar of any service is enough.
func (c *Core) Ready(now time.Duration) bool {
	if c.leaving || c.table.Version() == 0 || c.view.SidecarCount() == 0 {
		return false
	}
	if now >= _startupPeriod {
		return true
	}
	for _, name := range c.table.ServiceNames() {
		if len(c.view.Service(name)) == 0 {
			return false
		}
	}
	return true
}

// Behind returns the highest configuration version that any process has reported, and
// for how long a version above the one in force has been known. Both are zero if no
// process has reported such a version.
func (c *Core) Behind(now time.Duration) (version uint64, knownFor time.Duration) {
	return c.configs.Behind(now)
}

// ConfigurationCounts returns the counters of the configurations exchanged with other
// processes.
func (c *Core) ConfigurationCounts() distribution.Counts { return c.configs.Counts() }

// SetTable puts a configuration from the store in force if its version is higher than the
// current one. It returns whether the configuration was put in force; if so, the next
// tick reports to all processes.
func (c *Core) SetTable(now time.Duration, table directory.Table, source string) bool {
	if !c.configs.Accept(now, table, source) {
		return false
	}
	c.adoptConfiguration(now)
	c.nextReport = now
	return true
}

// adoptConfiguration takes over the newer configuration that c.configs has accepted.
func (c *Core) adoptConfiguration(now time.Duration) {
	table := c.configs.Table()
	c.out.LogBelief(decision.NewSettings(c.table.Version(), table.Version(), c.configs.Source()))
	c.table = table
	c.storeReads.configured = true
	c.offerParked(now)
}

// handleConfiguration handles a message of the exchange of configurations.
func (c *Core) handleConfiguration(now time.Duration, message []byte) {
	if !c.configs.HandleMessage(now, message) {
		return
	}
	c.adoptConfiguration(now)
	for _, addr := range c.view.RandomProcesses(_fetchFanout, c.random) {
		c.reportTo(now, addr, "", 0)
	}
}

// noteVersion records the configuration version that the process at addr has in force.
func (c *Core) noteVersion(now time.Duration, version uint64, addr netip.Addr) {
	if version > c.table.Version() {
		c.configs.NoteVersion(now, version, addr, c.view.InZone(addr, c.self.Zone))
	}
}

// UntilRead returns how long this relay should wait before it reads the configuration
// from the store; zero means that a read is due.
func (c *Core) UntilRead(now time.Duration) time.Duration {
	// While the store fails, even a relay that lacks the newest configuration waits for
	// its next scheduled read.
	if !c.storeReads.degraded() && c.configs.StoreDue(now, c.view.RelayCount()+1) {
		return 0
	}
	return c.storeReads.untilDue(now)
}

// ReadStarted records that this relay begins to read the configuration from the
// store. If attempts were failing or slow a short time ago, it reports to the other
// relays, which then wait.
func (c *Core) ReadStarted(now time.Duration) {
	if c.storeReads.shouldReportStart(now) {
		c.ReadPending(now)
	}
}

// ReadPending records that the store has not yet answered this relay's read, and
// reports to the other relays, which then wait.
func (c *Core) ReadPending(now time.Duration) {
	c.storeReads.noteAttempt(now, c.view.RelayCount()+1, c.random)
	c.reportToRelays(now)
}

// ReadFailed records that this relay could not read the configuration from the store,
// and reports to the other relays.
func (c *Core) ReadFailed(now time.Duration) {
	c.storeReads.noteFailure(now)
	c.ReadPending(now)
}

// ReadSucceeded records that this relay has read the configuration from the store in the
// given epoch, and reports to the other relays.
func (c *Core) ReadSucceeded(now time.Duration, epoch uint16) {
	c.storeEpoch = max(c.storeEpoch, uint32(epoch)+1)
	c.storeReads.failures = 0
	c.storeReads.noteRead(now, c.view.RelayCount()+1, c.random)
	c.reportToRelays(now)
}

// StoreEpoch returns the highest epoch of the store that this relay knows, from its own
// reads or from reports. The epoch begins when the store is restored from a copy.
func (c *Core) StoreEpoch() uint16 { return uint16(max(c.storeEpoch, 1) - 1) }

// LastStoreRead returns when any relay last read the configuration from the store, as
// far as this relay knows; zero if none has.
func (c *Core) LastStoreRead() time.Duration { return c.storeReads.lastRead }

func (c *Core) reportToRelays(now time.Duration) {
	for _, r := range c.view.Relays() {
		c.reportTo(now, r.Addr, "", 0)
	}
}

// Leave records that the process was asked to stop, and reports to all processes.
func (c *Core) Leave(now time.Duration) {
	c.leaving = true
	c.reportToAll(now)
}

// AddRelays adds relays from the registry, the seeds or another relay's report, and
// reports to each that it did not know yet.
func (c *Core) AddRelays(now time.Duration, relays []netip.Addr) {
	for _, addr := range relays {
		if addr != c.self.Addr && c.view.AddRelay(now, addr) {
			c.reportTo(now, addr, "", c.namesToNewProcess())
		}
	}
}

// HasReported reports whether a report of the relay at addr has been received.
func (c *Core) HasReported(addr netip.Addr) bool {
	r := c.view.Relay(addr)
	return r != nil && r.LastReportAt > 0
}

// InZone reports whether the process at addr is known to be in this relay's zone.
func (c *Core) InZone(addr netip.Addr) bool { return c.view.InZone(addr, c.self.Zone) }

// Isolated reports whether no report of another relay has been received.
func (c *Core) Isolated() bool { return c.view.Isolated() }

// Tick handles timeouts and sends reports that are due. It must be called about every
// 20 ms.
func (c *Core) Tick(now time.Duration) {
	if now-c.lastTick > _stallThreshold {
		// Answers that arrived during the stall may not have been read yet.
		c.offerRTT.noteStall(now)
	}
	if c.lastTick > 0 && now-c.lastTick > _staleOpeningGap {
		c.resumedAt = now
	}
	c.lastTick = now
	for _, key := range c.overdueOffers(now) {
		c.offerTimedOut(now, key, c.offers[key])
	}
	c.expireParked(now)
	c.checkQuestions(now)
	c.updateEvacuations(now, c.evacuations.At(now), evacuation.SourceExpired)
	if now >= c.nextReport {
		c.reportToAll(now)
	}
	for _, addr := range c.view.UnconfirmedRelays(now) {
		c.reportTo(now, addr, "", c.namesToNewProcess())
	}
	c.flows.RotateIfDue(now, now, c.table.IdleTimeout())
	c.returning.expire(now)
	c.configs.Tick(now)
	c.view.Tick(now)
}

// overdueOffers returns the flows whose offer was not answered in time, in a
// deterministic order.
func (c *Core) overdueOffers(now time.Duration) []flow.Key {
	var keys []flow.Key
	timeout := c.offerRTT.timeout()
	for key, o := range c.offers {
		if now-max(o.lastSent, c.offerRTT.resumedAt) > timeout {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b flow.Key) int { return cmp.Compare(a.Hash(), b.Hash()) })
	return keys
}

// reportToAll sends a report to all known processes and schedules the next one, at an
// interval that grows with the size of the fleet.
func (c *Core) reportToAll(now time.Duration) {
	count := c.view.RelayCount() + c.view.SidecarCount()
	c.nextReport = now + peer.RelayInterval(count)
	interval, _ := peer.UpstreamInterval(c.view.SidecarCount())
	c.view.SetInterval(interval)
	names := 0
	if c.reportRounds%_namesEveryReports == 0 {
		names = _maxNames
	}
	c.reportRounds++
	for _, r := range c.view.Relays() {
		c.reportTo(now, r.Addr, "", names)
	}
	for _, u := range c.view.Sidecars() {
		c.reportTo(now, u.Sidecar, u.Service, names)
	}
}

// namesToNewProcess returns how many sidecars this relay names to a process that has just
// started: _namesToNewProcess divided by the number of relays, but at least
// _minNamesToNewProcess.
func (c *Core) namesToNewProcess() int {
	return max(_namesToNewProcess/(c.view.RelayCount()+1), _minNamesToNewProcess)
}

// reportTo sends a report to the process at addr. The report names at most nameLimit
// sidecars of the given service, or of all services if service is empty, and at most
// min(nameLimit, _maxNames) other relays.
func (c *Core) reportTo(now time.Duration, addr netip.Addr, service string, nameLimit int) {
	c.sequence++
	r := peer.RelayReport{
		Relay: c.self.Addr, Incarnation: c.self.Incarnation, Sequence: c.sequence,
		Leaving: c.leaving, Version: c.table.Version(), SidecarCount: uint32(c.view.SidecarCount()),
		ReadAge: c.storeReads.readAge(now), AttemptAge: c.storeReads.attemptAge(now),
		StoreEpoch: c.storeEpoch,
	}.WithEvacuations(c.evacuations.Set())
	if nameLimit > 0 {
		c.addNames(&r, service, nameLimit)
	}
	message, err := peer.AppendRelay(c.buffer[:0], r)
	if err != nil {
		c.out.LogBelief(decision.Belief{Subject: "report", Name: addr.String(), Reason: err.Error()})
		return
	}
	c.buffer = message
	c.out.ToPeer(addr, message)
}

// addNames adds relays and sidecars to a report, so that its receiver can report to them.
// The sidecars are those of the given service, or of all services if service is empty.
func (c *Core) addNames(r *peer.RelayReport, service string, limit int) {
	r.Zone = c.self.Zone
	r.Relays = c.randomWindow(c.view.ConfirmedRelays(), min(limit, _maxNames))
	sidecars := c.view.Service(service)
	if service == "" {
		sidecars = c.view.Sidecars()
	}
	var addrs []netip.Addr
	for _, u := range sidecars {
		addrs = append(addrs, u.Sidecar)
	}
	r.Sidecars = c.randomWindow(addrs, limit)
}

// randomWindow returns up to limit consecutive elements of list, starting at a random
// index and wrapping around at its end.
func (c *Core) randomWindow(list []netip.Addr, limit int) []netip.Addr {
	if len(list) <= limit {
		return list
	}
	first := c.random.IntN(len(list))
	out := make([]netip.Addr, limit)
	for i := range out {
		out[i] = list[(first+i)%len(list)]
	}
	return out
}
