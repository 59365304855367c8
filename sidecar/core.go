package sidecar

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// Waits and bounds of a sidecar.
const (
	// _consentTimeout is how long an upstream may take to answer an opening packet;
	// it does so in well under a millisecond when it runs.
	_consentTimeout = 150 * time.Millisecond
	// _handshakeTimeout is how long a caller may take to send its request before
	// the flow no longer counts as a request in progress: several times the way to
	// a caller and back. A caller that has gone must not hold a slot.
	_handshakeTimeout = 60 * time.Millisecond
	// _maxHops bounds how often an opening packet is passed on.
	_maxHops = 3
	// _bounceHold is how long no new flow is taken after the upstream gave one
	// back: about the run time of a short request.
	_bounceBackoff = 20 * time.Millisecond
	// _missedHeartbeats is how many heartbeats an upstream may miss before it is
	// suspect, and _deadHeartbeats before a silent one counts as dead.
	_missedHeartbeats = 3.5
	_deadHeartbeats   = 2.2
	// _suspicionHold is how long a suspicion outlasts heartbeats, so that an upstream
	// that beats but takes no flows is not offered one at each beat.
	_minSuspicion = 500 * time.Millisecond
	// _peerInterval is the least time between two reports of load to peers,
	// _relayInterval that to relays, and _beatInterval the longest time between two
	// reports to peers. _sentPerSecond bounds the reports that one process sends to
	// its peers, and to relays: 80 of 95 bytes with their headers.
	_minPeerInterval     = 40 * time.Millisecond
	_minRelayInterval    = 150 * time.Millisecond
	_maxPeerInterval     = 600 * time.Millisecond
	_maxReportsPerSecond = 80
	// _neighbours bounds the peers that a sidecar tells of its load, and passes flows
	// on to: a free slot among so many is hardly ever missed.
	_maxNeighbours = 16
	// _suspectTicks is how many ticks in a row must have come within _maxTick before
	// silence counts, so that a sidecar that stood still blames nobody.
	_minTimelyTicks = 2
	_maxTickGap     = 60 * time.Millisecond
	// _maxSlots bounds the slots that an upstream may claim; they travel in 16 bits.
	_maxSlots = 1 << 15
	// _fetchTime is what the first relay that has a configuration takes to give it to one
	// sidecar, with 0.06 of a core. Relays decide where flows go, so sidecars leave it
	// time for the other relays, between _minHeadStart and _maxHeadStart.
	_fetchTime    = 6 * time.Millisecond
	_minHeadStart = 60 * time.Millisecond
	_maxHeadStart = 400 * time.Millisecond
)

// Wire is what the core needs of the callers' packet format.
type Wire interface {
	// Decode reads a packet's header.
	Decode(packet []byte) (flow.Packet, error)
	// Restore clears in place what an upstream marks on a packet that it gives back.
	Restore(packet []byte)
	// AppendReset appends to b a reset of the flow for the caller whose packet
	// acknowledged ack.
	AppendReset(b []byte, key flow.Key, ack uint32) []byte
}

// Outbox takes what the core wants to be sent and logged. Packets must be used
// before the call returns.
type Outbox interface {
	ToCaller(caller netip.Addr, packet []byte)
	ToPeer(addr netip.Addr, message []byte)
	ToUpstream(packet []byte)
	Decide(record decision.Record)
	Believe(belief decision.Belief)
	Observe(span decision.Span, took time.Duration)
}

// Identity says which process a core is part of.
type Identity struct {
	Addr netip.Addr
	Zone string
	// Incarnation differs between two runs at one address.
	Incarnation uint64
	// Service is the service of the upstream on this host, and Upstream where it
	// takes packets.
	Service  string
	Upstream netip.AddrPort
	// Heartbeat is how often the upstream reports.
	Heartbeat time.Duration
}

// Core decides what a sidecar does. It is a state machine without sockets,
// clocks or goroutines, and not safe for concurrent use. Times are monotonic,
// from the start of the process.
type Core struct {
	self          Identity
	id            peer.ServiceID
	wire          Wire
	out           Outbox
	random        *rand.Rand
	table         directory.Table
	view          *fleet.View
	flows         *flow.Cache[flowState]
	upstream      upstream
	counts        Counts
	buffer        []byte
	candidates    []placement.Candidate
	eligiblePeers []*fleet.Upstream

	// now is the time of the present call.
	now time.Duration
	// busy counts the flows with a request in progress, or about to be.
	busy int
	// waiting are opening packets that wait for the upstream to have room.
	waiting []*flowState
	timings timings
	// runTimes and quicks are scratch space for what peers tell.
	runTimes    []time.Duration
	earlyShares []float64
	// opening are flows whose opening packet the upstream was given and whose
	// request has not come, in the order of the giving.
	awaitingRequest []*flowState
	// stopping says that the process has been told to stop.
	stopping    bool
	sequence    uint64
	fleetSize   int
	lastTick    time.Duration
	timelyTicks int
	lastReports reportTimes
	// versions brings configurations from other processes and to them.
	configs *distribution.Member
}

// reported is what was last told to peers and relays, and when.
type reportTimes struct {
	lastPeers, lastRelays time.Duration
	peersLoad, relaysLoad int
}

// held is a flow of the upstream.
type flowState struct {
	key flow.Key
	// waits says that the opening packet has not been given to the upstream yet.
	// Until inTime it goes before those that are late already, and at giveUp it is
	// refused.
	queued                   bool
	priority                 int
	targetStart, latestStart time.Duration
	// came is when a relay got the opening packet first.
	arrived time.Duration
	// packet is the opening packet while the upstream has not consented.
	packet []byte
	hops   uint8
	// last says that the relay has tried others.
	last bool
	// opening and consent are the sequence numbers of the caller's opening packet
	// and of the upstream's consent, and latest that of the upstream's last packet.
	openingSeq, consentSeq, latestSeq uint32
	consented                         bool
	// open says that the caller has answered the consent.
	established bool
	// working says that the upstream has a request of the flow to answer.
	inProgress bool
	// ended says that the upstream has nothing more to send; dead, that it no
	// longer knows the flow.
	ended, dead bool
	// watched says that the flow is among those that open.
	awaitsRequest bool
	// probing says that nothing is known but that a packet was tried on the
	// upstream.
	probing bool
	// origin is the relay that last carried a packet of the flow.
	origin netip.Addr
	// given is when the opening packet was given to the upstream.
	deliveredAt time.Duration
	// answered says that the upstream has sent data.
	answered bool
	// asked is when the caller's first data came, and requested when it last went on.
	firstRequestAt, lastRequestAt time.Duration
	// carried is when the last packet of the caller was given to the upstream, and
	// callerAck what it acknowledged.
	carriedAt time.Duration
	callerAck uint32
	// doubted is when the upstream, which has been silent for long, got a packet of the
	// flow to show whether it lives.
	livenessCheckAt time.Duration
}

// Counts are a sidecar's counters since its start.
type Counts struct {
	// Accepted, PassedOn, Refused and Bounced count opening packets: taken for the
	// upstream, given to a peer, to nobody, and given back by the upstream. Waited
	// are those of Accepted that had to wait.
	Accepted, PassedOn, Refused, Bounced, Waited uint64
	// Carried packets went to the upstream, Replies to callers.
	Carried, Replies uint64
	// NotHeld counts denials, Resets resets to callers, Dropped dropped packets.
	NotHeld, Resets, Dropped uint64
	// Stray packets of the upstream were of an earlier flow with the same ends.
	Stray uint64
	// Malformed packets or messages could not be read.
	Malformed uint64
}

// NewCore returns a core that knows nothing yet.
func NewCore(self Identity, wire Wire, out Outbox, maxFlows int, random *rand.Rand) *Core {
	c := &Core{
		self:    self,
		id:      peer.NewServiceID(self.Service),
		wire:    wire,
		out:     out,
		random:  random,
		view:    fleet.New(_maxPeerInterval),
		timings: newTimings(),
	}
	c.flows = flow.NewCache(maxFlows, c.onEvict)
	c.configs = distribution.New(self.Addr, false, out, random, distribution.WithHeadStart(c.headStart))
	return c
}

// Counts returns the counters.
func (c *Core) Counts() Counts { return c.counts }

// Table returns the configuration in force.
func (c *Core) Table() directory.Table { return c.table }

// Flows returns the number of flows that the sidecar remembers.
func (c *Core) Flows() int { return c.flows.Len() }

// Busy returns the number of requests in progress at the upstream.
func (c *Core) Busy() int { return c.busy }

// Waiting returns the number of opening packets that wait for the upstream.
func (c *Core) Waiting() int { return len(c.waiting) }

// Known returns the numbers of relays and peers that the sidecar knows.
func (c *Core) Known() (relays, sidecars int) { return c.view.RelayCount(), c.view.SidecarCount() }

// headStart returns how long this sidecar leaves the holders of a new configuration to
// relays, at least and at most.
func (c *Core) headStart() (least, most time.Duration) {
	return _minHeadStart, min(_minHeadStart+time.Duration(c.fleetSize)*_fetchTime, _maxHeadStart)
}

// Behind returns the highest version that a process has named and how long it has been
// known, if it is higher than the one in force.
func (c *Core) Behind(now time.Duration) (version uint64, lasts time.Duration) {
	return c.configs.Behind(now)
}

// Distributed returns the counters of configurations between processes.
func (c *Core) Distributed() distribution.Counts { return c.configs.Counts() }

// InZone reports whether a process is known to be in this one's zone.
func (c *Core) InZone(addr netip.Addr) bool { return c.view.InZone(addr, c.self.Zone) }

// Alone reports whether no relay has been heard.
func (c *Core) Alone() bool { return c.view.Alone() }

// SetTable puts a configuration in force if its version is higher. It reports
// whether it did.
func (c *Core) SetTable(now time.Duration, table directory.Table, source string) bool {
	if !c.configs.Accept(now, table, source) {
		return false
	}
	c.applyTable()
	return true
}

// inForce notes that a higher version is in force.
func (c *Core) applyTable() {
	table := c.configs.Table()
	c.out.Believe(decision.NewSettings(c.table.Version(), table.Version(), c.configs.Source()))
	c.table = table
}

// heardVersion notes the version that a process has in force.
func (c *Core) noteVersion(now time.Duration, version uint64, addr netip.Addr) {
	if version > c.table.Version() {
		c.configs.Heard(now, version, addr, c.view.InZone(addr, c.self.Zone))
	}
}

// Introduce notes relays that the process has been told of and reports to them.
func (c *Core) Introduce(now time.Duration, relays []netip.Addr) {
	for _, addr := range relays {
		if c.view.AddRelay(now, addr) {
			c.reportTo(addr)
		}
	}
}

// Stop notes that the process was told to stop: the upstream gets no new flows, and
// what waits goes to peers. What the upstream has goes on being carried.
func (c *Core) Stop(now time.Duration) {
	c.now = now
	c.stopping = true
	c.reportAll(now)
	c.redirectWaiting(_reasonStopping)
}

// Drained reports whether nothing is lost if a process that was told to stop ends:
// no request is in progress, or the upstream is not there to answer.
func (c *Core) Drained() bool {
	switch c.upstream.state {
	case peer.Ready, peer.Draining:
		return c.busy == 0 && len(c.waiting) == 0
	default:
		return true
	}
}

// Tick does what is due. It is called about every 20 ms.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	c.refuseTooLate()
	if now-c.lastTick > _maxTickGap {
		c.timelyTicks = 0
	} else {
		c.timelyTicks++
	}
	c.lastTick = now
	c.startTrialIfDue()
	c.checkAwaitingRequest(now)
	c.checkHeartbeats(now)
	c.reportIfDue(now)
	for _, addr := range c.view.Unheard(now) {
		c.reportTo(addr)
	}
	c.flows.Age(now, c.table.IdleTimeout())
	c.configs.Tick(now)
	c.view.Tick(now)
}

// setWorking keeps the count of requests in progress.
func (c *Core) setInProgress(f *flowState, working bool) {
	if f.inProgress == working {
		return
	}
	f.inProgress = working
	if working {
		c.busy++
		return
	}
	c.busy--
	c.admitWaiting()
}

func (c *Core) onEvict(_ flow.Key, f *flowState) {
	c.dequeue(f)
	f.awaitsRequest = false
	c.setInProgress(f, false)
}
