// Package sidecar implements the process that runs beside an upstream and forwards
// opaque packets between callers and that upstream.
//
// All packets of the upstream pass through its sidecar, so the sidecar knows which
// flows the upstream holds and how many requests are in progress there. It makes the
// final decision on new flows: regardless of what relays assume, it delivers no flow to
// an upstream that is draining, has ended, does not respond, or is not a target of the
// flow's route. It redirects such a flow to a peer (a sidecar of the same service), or
// returns it to the relay. Replies go directly to the caller.
//
// A flow begins with the caller's opening packet (SYN). A relay offers the flow by
// sending this packet to a sidecar, which answers the relay with a verdict: whether it
// accepts the flow. If it does, it delivers the packet to the upstream. The upstream
// answers with its consent (SYN|ACK), and the caller then acknowledges the consent and
// sends its request.
//
//	relays, peers ──► PeerMessage ──────┐        ┌─► ToUpstream
//	upstream ───────► UpstreamPacket ───┼─► Core ┼─► ToCaller
//	upstream ───────► Heartbeat, Leave ─┘        └─► ToPeer
//
// Core is the state machine, without sockets or clocks. Sidecar connects it to both.
package sidecar

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/peer"
)

// _tickInterval is the interval between calls of Core.Tick.
const _tickInterval = 20 * time.Millisecond

// Sidecar is a running sidecar: a Core with its sockets and clock.
type Sidecar struct {
	tomb tomb.Tomb
	*decision.Recorder
	upstream *datagram.Socket
	outbound *datagram.Socket
	peers    *datagram.Socket
	// callerPort is the port at which callers receive packets. peerPort is the port at
	// which relays and sidecars receive messages.
	callerPort, peerPort uint16
	// unreachable is set when the host has refused a packet to the upstream, and cleared by
	// the next tick.
	unreachable atomic.Bool

	mu      sync.Mutex
	core    *Core
	clock   *clock
	traffic peer.Traffic
}

// Config holds the identity, the addresses and the limits of a sidecar.
type Config struct {
	Identity Identity
	// Outbound is the address to which the upstream sends its packets.
	Outbound netip.AddrPort
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// PeerPort is the UDP port for messages between relays and sidecars. It is the same
	// on every VM.
	PeerPort uint16
	// PeerListen is the address at which this process receives messages of relays and
	// other sidecars.
	PeerListen netip.AddrPort
	// MaxFlows is the maximum number of flows in the flow table.
	MaxFlows int
	// Cold bounds the requests that the upstream gets while it is cold.
	Cold ColdBound
	// PriorityAdmission is as in WithPriorityAdmission.
	PriorityAdmission bool
}

// New opens the sidecar's sockets and starts its goroutines. It returns an error if a
// socket cannot be opened.
func New(config Config, wire Wire, recorder *decision.Recorder) (*Sidecar, error) {
	s := &Sidecar{
		Recorder: recorder, callerPort: config.CallerPort, peerPort: config.PeerPort, clock: newClock(readClocks(), readBootTime),
	}
	self := config.Identity
	s.core = NewCore(self, wire, s, config.MaxFlows, rand.New(rand.NewPCG(self.Incarnation, self.Incarnation)), WithColdBound(config.Cold),
		WithPriorityAdmission(config.PriorityAdmission))
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.peers, err = datagram.Listen(config.PeerListen, s.handlePeerMessage, datagram.WithPanicHandler(s.logPanic)); err != nil {
		return nil, trace.Wrap(err, "start sidecar")
	}
	if s.outbound, err = datagram.Listen(config.Outbound, s.handleOutboundPacket, datagram.WithPanicHandler(s.logPanic)); err != nil {
		s.peers.Close()
		return nil, trace.Wrap(err, "start sidecar")
	}
	s.upstream, err = datagram.Dial(self.Addr, self.Upstream, func([]byte) {}, datagram.WithRefusedHandler(s.noteRefused))
	if err != nil {
		s.peers.Close()
		s.outbound.Close()
		return nil, trace.Wrap(err, "start sidecar")
	}
	s.core.Tick(s.clock.now())
	s.tomb.Go(s.loop)
	return s, nil
}

// AddRelays adds relays to those that the sidecar reports to.
func (s *Sidecar) AddRelays(relays []netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AddRelays(s.clock.now(), relays)
}

// Heartbeat handles a heartbeat of the upstream. See Core.Heartbeat for the errors.
func (s *Sidecar) Heartbeat(h Heartbeat) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Heartbeat(s.clock.now(), h)
}

// Leave handles the upstream's notice that it ends. See Core.Leave for the errors.
func (s *Sidecar) Leave(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Leave(s.clock.now(), id)
}

// Stop makes the sidecar accept no new flows. It continues to forward packets of the flows
// that the upstream holds.
func (s *Sidecar) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Stop(s.clock.now())
}

// Drained reports whether a stopped sidecar can exit without losing requests.
func (s *Sidecar) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Drained()
}

// LogMalformed logs and counts a heartbeat call that could not be decoded.
func (s *Sidecar) LogMalformed(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.noteIgnored(Heartbeat{ID: id}, err.Error())
}

// Isolated reports whether the sidecar has received no report from any relay.
func (s *Sidecar) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Isolated()
}

// Stats are the values that a sidecar exports as metrics.
type Stats struct {
	Counts
	Flows, Busy, Relays, Peers int
	// HeldNow and Capacity are as in Core.HeldNow and Core.Capacity.
	HeldNow, Capacity int
	// SlowdownPercent is as in Core.SlowdownPercent.
	SlowdownPercent int
	Unsent          uint64
	Version         uint64
	// Behind is how long a configuration version higher than the active one has been known.
	Behind time.Duration
	// Configurations counts the configuration messages exchanged with other processes.
	Configurations distribution.Counts
	// Traffic counts the messages sent to other processes.
	Traffic peer.Traffic
	// Evacuations are the evacuated zones, as far as this sidecar knows.
	Evacuations evacuation.State
}

// Stats returns the current values.
func (s *Sidecar) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	relays, peers := s.core.Known()
	now := s.clock.now()
	_, behind := s.core.Behind(now)
	return Stats{
		Evacuations: s.core.Evacuations(), Behind: behind, Configurations: s.core.ConfigurationCounts(), Traffic: s.traffic,
		Counts: s.core.Counts(), Flows: s.core.Flows(), Busy: s.core.Busy(), SlowdownPercent: s.core.SlowdownPercent(now), HeldNow: s.core.HeldNow(), Capacity: s.core.Capacity(), Relays: relays, Peers: peers,
		Unsent: s.upstream.Unsent() + s.outbound.Unsent() + s.peers.Unsent(), Version: s.core.Table().Version(),
	}
}

// Close closes the sockets and waits for the goroutines.
func (s *Sidecar) Close() error {
	s.tomb.Kill(nil)
	return trace.NewAggregate(s.upstream.Close(), s.outbound.Close(), s.peers.Close(), s.tomb.Wait())
}

// ToCaller sends a packet to a caller. It implements Outbox.
func (s *Sidecar) ToCaller(caller netip.Addr, packet []byte) {
	s.outbound.Send(netip.AddrPortFrom(caller, s.callerPort), packet)
}

// ToPeer sends a message to a relay or sidecar. It implements Outbox.
func (s *Sidecar) ToPeer(addr netip.Addr, message []byte) {
	s.traffic.Add(message, s.core.InZone(addr))
	s.peers.Send(netip.AddrPortFrom(addr, s.peerPort), message)
}

// ToUpstream sends a packet to the upstream. It implements Outbox.
func (s *Sidecar) ToUpstream(packet []byte) { s.upstream.Write(packet) }

func (s *Sidecar) handlePeerMessage(message []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.PeerMessage(s.clock.now(), message)
}

func (s *Sidecar) handleOutboundPacket(packet []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.UpstreamPacket(s.clock.now(), packet)
}

// noteRefused notes that the host has refused a packet to the upstream. The upstream's
// socket calls it from its receive loop or from a write made by the core, which holds
// s.mu. It must therefore not take that lock, and leaves the handling to tick.
func (s *Sidecar) noteRefused() { s.unreachable.Store(true) }

// logPanic logs a panic of the core while it handled a datagram.
func (s *Sidecar) logPanic(cause any) {
	s.LogBelief(decision.NewPanic(cause))
}

func (s *Sidecar) loop() error {
	ticker := time.NewTicker(_tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick()
		case <-s.tomb.Dying():
			return nil
		}
	}
}

func (s *Sidecar) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.update()
	s.logSuspension()
	now := s.clock.now()
	if s.unreachable.Swap(false) {
		s.core.Unreachable(now)
	}
	s.core.Tick(now)
}

// logSuspension logs for how long the VM was suspended.
func (s *Sidecar) logSuspension() {
	if took := s.clock.takeSuspension(); took > 0 {
		s.LogBelief(decision.Belief{Subject: "vm", To: "suspended", Reason: "boot_time", Age: took})
	}
}
