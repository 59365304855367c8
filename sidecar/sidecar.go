// Package sidecar is the process beside an upstream that carries opaque packets
// between callers and the upstream.
//
// A sidecar sees every packet of its upstream, so it knows which flows the
// upstream holds and how many requests it works on. It is the last gate for new
// flows: whatever relays believe, none reaches an upstream that is draining, has
// gone, answers nothing, or that the configuration does not lead to. What the
// upstream should not get goes to a peer of the same service or back to the relay.
// Replies go straight to the caller.
//
//	relays, peers ──► PeerMessage ─────┐             ┌─► ToUpstream
//	upstream ──► UpstreamPacket ─► Core ─┼─► ToCaller
//	upstream ──► Heartbeat, Leave ─────┘             └─► ToPeer
//
// Core decides, without sockets or clocks. Sidecar gives it both.
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
	"dandelionhitch.example/peer"
)

// _tick is how often a core looks for what is due.
const _tickInterval = 20 * time.Millisecond

// Sidecar is a running sidecar.
type Sidecar struct {
	tomb tomb.Tomb
	*decision.Recorder
	upstream *datagram.Socket
	outbound *datagram.Socket
	peers    *datagram.Socket
	// callerPort is where callers take packets, and peerPort where processes do.
	callerPort, peerPort uint16
	// unreachable notes that the host refused a packet for the upstream.
	unreachable atomic.Bool

	mu      sync.Mutex
	core    *Core
	traffic peer.Traffic
}

// Config says where a sidecar listens.
type Config struct {
	Identity Identity
	// Outbound is where the upstream sends its packets.
	Outbound netip.AddrPort
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// PeerPort is the UDP port for messages between processes, on every VM.
	PeerPort uint16
	// PeerListen is where this process takes them.
	PeerListen netip.AddrPort
	// MaxFlows bounds the flows that are remembered.
	MaxFlows int
}

// New opens a sidecar's sockets and starts its loops.
func New(config Config, wire Wire, recorder *decision.Recorder) (*Sidecar, error) {
	s := &Sidecar{Recorder: recorder, callerPort: config.CallerPort, peerPort: config.PeerPort}
	self := config.Identity
	s.core = NewCore(self, wire, s, config.MaxFlows, rand.New(rand.NewPCG(self.Incarnation, self.Incarnation)))
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.peers, err = datagram.Listen(config.PeerListen, s.handlePeerMessage, datagram.WithRecovered(s.logPanic)); err != nil {
		return nil, trace.Wrap(err, "start sidecar")
	}
	if s.outbound, err = datagram.Listen(config.Outbound, s.handleOutboundPacket, datagram.WithRecovered(s.logPanic)); err != nil {
		s.peers.Close()
		return nil, trace.Wrap(err, "start sidecar")
	}
	s.upstream, err = datagram.Dial(self.Addr, self.Upstream, func([]byte) {}, datagram.WithRefused(s.noteRefused))
	if err != nil {
		s.peers.Close()
		s.outbound.Close()
		return nil, trace.Wrap(err, "start sidecar")
	}
	s.tomb.Go(s.loop)
	return s, nil
}

// Introduce names relays to the sidecar.
func (s *Sidecar) Introduce(relays []netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Introduce(s.Now(), relays)
}

// Heartbeat takes the upstream's heartbeat.
func (s *Sidecar) Heartbeat(h Heartbeat) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Heartbeat(s.Now(), h)
}

// Leave takes the upstream's word that it ends.
func (s *Sidecar) Leave(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Leave(s.Now(), id)
}

// Stop ends new flows to the upstream, and goes on carrying what it has.
func (s *Sidecar) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Stop(s.Now())
}

// Drained reports whether nothing is lost if a sidecar that was stopped ends.
func (s *Sidecar) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Drained()
}

// Malformed notes a call that could not be read.
func (s *Sidecar) Malformed(id string, err error) {
	s.Believe(decision.Belief{Subject: "heartbeat", Name: id, To: "ignored", Reason: err.Error()})
}

// Alone reports whether no relay has been heard.
func (s *Sidecar) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Alone()
}

// Stats are figures of a sidecar for its metrics.
type Stats struct {
	Counts
	Flows, Busy, Relays, Peers int
	Unsent                     uint64
	Version                    uint64
	// Behind is how long a higher version than the one in force has been known.
	Behind time.Duration
	// Configurations counts what passed between processes of configurations.
	Configurations distribution.Counts
	// Traffic counts what was sent to other processes.
	Traffic peer.Traffic
}

// Stats returns the figures of now.
func (s *Sidecar) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	relays, peers := s.core.Known()
	_, behind := s.core.Behind(s.Now())
	return Stats{
		Behind: behind, Configurations: s.core.Distributed(), Traffic: s.traffic,
		Counts: s.core.Counts(), Flows: s.core.Flows(), Busy: s.core.Busy(), Relays: relays, Peers: peers,
		Unsent: s.upstream.Unsent() + s.outbound.Unsent() + s.peers.Unsent(), Version: s.core.Table().Version(),
	}
}

// Close closes the sockets and waits for the loops.
func (s *Sidecar) Close() error {
	s.tomb.Kill(nil)
	return trace.NewAggregate(s.upstream.Close(), s.outbound.Close(), s.peers.Close(), s.tomb.Wait())
}

// ToCaller sends a packet to a caller. It implements Outbox.
func (s *Sidecar) ToCaller(caller netip.Addr, packet []byte) {
	s.outbound.Send(netip.AddrPortFrom(caller, s.callerPort), packet)
}

// ToPeer sends a message to a process. It implements Outbox.
func (s *Sidecar) ToPeer(addr netip.Addr, message []byte) {
	s.traffic.Add(message, s.core.InZone(addr))
	s.peers.Send(netip.AddrPortFrom(addr, s.peerPort), message)
}

// ToUpstream gives a packet to the upstream. It implements Outbox.
func (s *Sidecar) ToUpstream(packet []byte) { s.upstream.Write(packet) }

func (s *Sidecar) handlePeerMessage(message []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.PeerMessage(s.Now(), message)
}

func (s *Sidecar) handleOutboundPacket(packet []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.UpstreamPacket(s.Now(), packet)
}

// refused is called by the upstream's socket, from its loop or from a write that
// the core asked for, so it must not take the lock: the loop notes it.
func (s *Sidecar) noteRefused() { s.unreachable.Store(true) }

// recovered logs a datagram that the core could not handle.
func (s *Sidecar) logPanic(cause any) {
	s.Believe(decision.NewPanic(cause))
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
	now := s.Now()
	if s.unreachable.Swap(false) {
		s.core.Unreachable(now)
	}
	s.core.Tick(now)
}
