package distribution_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/peer"
)

// Parameters of the simulation.
const (
	_linkLatency = time.Millisecond
	_tick        = 20 * time.Millisecond
	// _headerSize is the size of the headers of IP and UDP in bytes.
	_headerSize = 28
	// _datagramCPUTime is the time that a whole core takes to handle one datagram.
	_datagramCPUTime = 30 * time.Microsecond
	// A simulated report of a version is _reportSize bytes long and begins with _reportKind.
	_reportKind, _reportSize = 0xff, 100
	// _reportInterval is the minimum interval between two reports of a process to all others.
	// In large fleets it is longer, so that a process gets at most _reportsPerSecond reports per
	// second.
	_reportInterval   = time.Second
	_reportsPerSecond = 50
	// _reportsOnFetch is the number of processes to which a relay reports a version that it has
	// fetched from another process.
	_reportsOnFetch = 8
	// _maxLinkDelay is the longest queueing delay of a link. Datagrams that would wait for longer
	// are dropped.
	_maxLinkDelay = 200 * time.Millisecond
	// _storedRouteSize is the size of a route in the store's format in bytes.
	_storedRouteSize = 170
	_storeLatency    = 4 * time.Millisecond
)

// simulation is a fleet of Members with simulated links, processors and time.
type simulation struct {
	now    time.Duration
	events events
	order  int
	random *rand.Rand
	nodes  []*node
	byAddr map[netip.Addr]*node
	loss   float64
	// stored is the configuration in the store.
	stored directory.Table
	// storeReads counts the reads that relays start because StoreDue tells them to.
	storeReads int
}

// node is one process and its VM.
type node struct {
	sim   *simulation
	addr  netip.Addr
	zone  int
	relay bool
	// bandwidth is that of the link in each direction, in bytes per second. cpuShare is the
	// process's share of a core, from 0 to 1.
	bandwidth, cpuShare float64
	// uplinkFree, downlinkFree and cpuFree are when each resource has finished its queued work.
	uplinkFree, downlinkFree, cpuFree time.Duration
	stopped, storeDenied              bool
	member                            *distribution.Member
	version                           uint64
	bytesSent, bytesReceived          int
	// adoptedAt holds when each version came into force.
	adoptedAt map[uint64]time.Duration
}

// event is a function that runs at a simulated time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation returns a fleet in which a third of the processes are relays, with links of
// 2.4 to 100 Mbit/s and 0.06 to 0.4 of a core. The others are sidecars with links of 1 Gbit/s.
func newSimulation(seed uint64, processes int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, seed)), byAddr: make(map[netip.Addr]*node)}
	for i := range processes {
		n := &node{
			sim: s, addr: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), zone: i % 3, relay: i%3 == 0,
			bandwidth: 125e6, cpuShare: 0.24, adoptedAt: make(map[uint64]time.Duration),
		}
		if n.relay {
			n.zone = i / 3 % 3
			n.bandwidth = [...]float64{10e6, 2.4e6, 100e6}[i/3%3] / 8
			n.cpuShare = [...]float64{0.19, 0.06, 0.4}[i/3%3]
		}
		var opts []distribution.Option
		if !n.relay {
			maxDelay := min(time.Duration(2*processes/3)*6*time.Millisecond+60*time.Millisecond, 400*time.Millisecond)
			opts = append(opts, distribution.WithAskDelay(func() (time.Duration, time.Duration) { return 60 * time.Millisecond, maxDelay }))
		}
		n.member = distribution.New(n.addr, n.relay, n, s.random, opts...)
		s.nodes = append(s.nodes, n)
		s.byAddr[n.addr] = n
	}
	for _, n := range s.nodes {
		s.schedule(time.Duration(s.random.Int64N(int64(_tick))), n.tick)
		s.schedule(time.Duration(s.random.Int64N(int64(s.reportInterval()))), n.reportAndReschedule)
	}
	return s
}

// schedule arranges for run to be called after d.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + d, order: s.order, run: run})
}

// run processes the events up to the given time.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// readStore simulates a read of the configuration from the store, if the store allows it.
func (n *node) readStore() {
	if n.stopped || n.storeDenied {
		return
	}
	table := n.sim.stored
	n.downlinkFree = max(n.downlinkFree, n.sim.now) + time.Duration(float64(table.Len()*_storedRouteSize)/n.bandwidth*float64(time.Second))
	n.sim.schedule(n.downlinkFree-n.sim.now+_storeLatency, func() {
		n.accept(table)
	})
}

// accept takes a configuration from the store and reports its version to other processes.
func (n *node) accept(table directory.Table) {
	if n.member.Accept(n.sim.now, table, "store") {
		n.recordVersion()
		n.reportToAll()
	}
}

// reportInterval returns the time between two reports of a process.
func (s *simulation) reportInterval() time.Duration {
	return max(_reportInterval, time.Duration(len(s.nodes))*time.Second/_reportsPerSecond)
}

func (n *node) tick() {
	if n.stopped {
		return
	}
	n.member.Tick(n.sim.now)
	if n.relay && n.member.StoreDue(n.sim.now, len(n.sim.nodes)/3) {
		n.sim.storeReads++
		n.readStore()
	}
	n.sim.schedule(_tick, n.tick)
}

// recordVersion records when the version in force was adopted.
func (n *node) recordVersion() {
	version := n.member.Table().Version()
	if version != n.version {
		n.version = version
		n.adoptedAt[version] = n.sim.now
	}
}

// reportToAll reports the version in force: a relay to all processes, a sidecar to relays.
func (n *node) reportToAll() {
	for _, other := range n.sim.nodes {
		if other != n && (n.relay || other.relay) {
			n.sendReport(other)
		}
	}
}

func (n *node) sendReport(other *node) {
	message := make([]byte, _reportSize)
	message[0] = _reportKind
	binary.BigEndian.PutUint64(message[1:], n.version)
	n.ToPeer(other.addr, message)
}

func (n *node) reportAndReschedule() {
	if n.stopped {
		return
	}
	if n.version > 0 {
		n.reportToAll()
	}
	n.sim.schedule(n.sim.reportInterval(), n.reportAndReschedule)
}

// useCPU queues one datagram for the processor and returns when it will have been handled.
func (n *node) useCPU() time.Duration {
	n.cpuFree = max(n.cpuFree, n.sim.now) + time.Duration(float64(_datagramCPUTime)/n.cpuShare)
	return n.cpuFree
}

// ToPeer implements distribution.Outbox.
func (n *node) ToPeer(addr netip.Addr, message []byte) {
	s, to := n.sim, n.sim.byAddr[addr]
	size := float64(len(message) + _headerSize)
	handedOver := n.useCPU()
	n.uplinkFree = max(n.uplinkFree, handedOver) + time.Duration(size/n.bandwidth*float64(time.Second))
	n.bytesSent += len(message) + _headerSize
	if n.stopped || to == nil || n.uplinkFree-handedOver > _maxLinkDelay || s.random.Float64() < s.loss {
		return
	}
	message = append([]byte(nil), message...)
	s.schedule(n.uplinkFree-s.now+_linkLatency, func() {
		if to.downlinkFree-s.now > _maxLinkDelay {
			return
		}
		to.downlinkFree = max(to.downlinkFree, s.now) + time.Duration(size/to.bandwidth*float64(time.Second))
		s.schedule(to.downlinkFree-s.now, func() { s.schedule(to.useCPU()-s.now, func() { to.receive(n, message) }) })
	})
}

func (n *node) receive(from *node, message []byte) {
	if n.stopped {
		return
	}
	n.bytesReceived += len(message) + _headerSize
	if message[0] == _reportKind {
		n.member.NoteVersion(n.sim.now, binary.BigEndian.Uint64(message[1:]), from.addr, from.zone == n.zone)
		return
	}
	if n.member.HandleMessage(n.sim.now, message) {
		n.recordVersion()
		for range _reportsOnFetch {
			if n.relay {
				n.sendReport(n.sim.nodes[n.sim.random.IntN(len(n.sim.nodes))])
			}
		}
	}
}

// LogBelief implements distribution.Outbox.
func (n *node) LogBelief(decision.Belief) {}

// lastAdoption returns when the last running process adopted the version or a later one, and
// how many running processes have not done so.
func (s *simulation) lastAdoption(version uint64) (at time.Duration, missing int) {
	for _, n := range s.nodes {
		first := time.Duration(-1)
		for v, when := range n.adoptedAt {
			if v >= version && (first < 0 || when < first) {
				first = when
			}
		}
		switch {
		case n.stopped:
		case first < 0:
			missing++
		default:
			at = max(at, first)
		}
	}
	return at, missing
}

// table returns a configuration with the given number of routes, to two services.
func table(version uint64, routes int) directory.Table {
	list := make([]directory.Route, 0, routes)
	for i := range routes {
		list = append(list, directory.Route{
			Address: address(i), TargetLatency: 150 * time.Millisecond, Timeout: 2500 * time.Millisecond,
			Shares: []directory.Share{{Service: [...]string{"orders", "photos"}[i%2], Weight: 1}},
		})
	}
	return tableOf(version, list)
}

func tableOf(version uint64, routes []directory.Route) directory.Table {
	return directory.New(version, 15*time.Second, routes)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), uint16(1024+i*7919%60_000))
}

// linkBound returns a lower bound of the time in which a payload can get from one process to
// all others: that process sends it once, each link receives it once, and all links together
// send it as often as there are processes.
func (s *simulation) linkBound(from *node, bytes int) time.Duration {
	size, total, slowest := float64(bytes), 0.0, from.bandwidth
	for _, n := range s.nodes {
		total += n.bandwidth
		slowest = min(slowest, n.bandwidth)
	}
	return time.Duration(max(size/from.bandwidth, size/slowest, size*float64(len(s.nodes))/total) * float64(time.Second))
}

// simulateFullTransfers simulates an earlier protocol, for comparison in the log: a process
// fetches the whole table in the store's format from a random holder and discards what it
// got if the transfer takes longer than 0.8 s. A holder divides its bandwidth equally among
// the processes that it serves. The function returns when the last process was done, and how
// many processes were not done by the end.
func (s *simulation) simulateFullTransfers(holders, bytes int, until time.Duration) (last time.Duration, missing int) {
	const step, timeout = time.Millisecond, 800 * time.Millisecond
	type fetch struct {
		from, to  *node
		remaining float64
		deadline  time.Duration
	}
	var fetches []*fetch
	done := make(map[*node]bool)
	nextAttempt := make(map[*node]time.Duration)
	for _, n := range s.nodes {
		jitter := 60 * time.Millisecond
		if !n.relay {
			jitter = min(max(time.Duration(2*len(s.nodes)/3)*6*time.Millisecond, jitter), 400*time.Millisecond)
		}
		nextAttempt[n] = time.Duration(s.random.Int64N(int64(jitter)))
		if n.relay && holders > 0 {
			done[n], holders = true, holders-1
		}
	}
	for now := time.Duration(0); now < until && len(done) < len(s.nodes); now += step {
		var holderNodes []*node
		for _, n := range s.nodes {
			if done[n] && n.relay {
				holderNodes = append(holderNodes, n)
			}
		}
		for _, n := range s.nodes {
			if !done[n] && now >= nextAttempt[n] {
				nextAttempt[n] = until
				fetches = append(fetches, &fetch{from: holderNodes[s.random.IntN(len(holderNodes))], to: n, remaining: float64(bytes), deadline: now + timeout})
			}
		}
		transfersFrom := make(map[*node]int)
		for _, f := range fetches {
			transfersFrom[f.from]++
		}
		unfinished := fetches[:0]
		for _, f := range fetches {
			// Handling one packet takes as much processor time as handling one datagram.
			rate := min(f.from.bandwidth, peer.MaxPartData*f.from.cpuShare/_datagramCPUTime.Seconds()) / float64(transfersFrom[f.from])
			f.remaining -= min(rate, f.to.bandwidth) * step.Seconds()
			switch {
			case f.remaining <= 0:
				done[f.to], last = true, now
			case now >= f.deadline:
				nextAttempt[f.to] = now + time.Duration(s.random.Int64N(int64(120*time.Millisecond)))
			default:
				unfinished = append(unfinished, f)
			}
		}
		fetches = unfinished
	}
	return last, len(s.nodes) - len(done)
}
