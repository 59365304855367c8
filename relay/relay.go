// Package relay implements the relay: the process on an entry VM that forwards opaque
// packets of callers to the sidecars beside upstreams.
//
// Routers may send any packet to any relay, and may move a flow to another relay at any
// time, so a relay's table of flows is only a cache. A relay offers a new flow to the
// upstream that package placement chooses, and the sidecar beside the upstream accepts
// or refuses it. The sidecar that accepted a flow is its holder. For a packet of a flow
// that is not in its cache, a relay asks the sidecars which of them holds the flow, and
// sends the packet to the holder. So a relay can lose its state without breaking any
// flow. Replies do not pass through relays.
//
//	routers ───────────► CallerPacket ─┐        ┌─► ToPeer ────► sidecars, relays
//	sidecars, relays ──► PeerMessage ──┼─► Core ┤
//	store ─────────────► SetTable ─────┘        └─► ToCaller ──► callers (resets only)
//
// Core is the logic, without sockets or clocks. Relay runs a Core with both.
package relay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/distribution"
	"dandelionhitch.example/evacuation"
	"dandelionhitch.example/peer"
)

// _tickInterval is the time between two calls of Core.Tick.
const _tickInterval = 20 * time.Millisecond

// Relay is a running relay.
type Relay struct {
	tomb tomb.Tomb
	*decision.Recorder
	ingress *datagram.Socket
	peers   *datagram.Socket
	// callerPort is the UDP port at which callers receive packets, and peerPort is the
	// UDP port at which other processes receive messages.
	callerPort, peerPort uint16

	// mu protects the fields below.
	mu   sync.Mutex
	core *Core
	// lastPacket is when the last caller's packet was received.
	lastPacket time.Duration
	traffic    peer.Traffic
}

// Config configures a Relay.
type Config struct {
	Identity Identity
	// Ingress is the address at which the relay receives callers' packets from routers.
	// The relay sends packets to callers at their own IP addresses and this port number.
	Ingress netip.AddrPort
	// PeerPort is the UDP port for messages between processes, on every VM.
	PeerPort uint16
	// PeerListen is the address at which this process receives messages of other
	// processes.
	PeerListen netip.AddrPort
	// MaxFlows bounds the flows in the cache.
	MaxFlows int
	// PriorityAdmission is as in WithPriorityAdmission.
	PriorityAdmission bool
	// LinkMbps is as in WithLink.
	LinkMbps float64
}

// New opens the sockets of a relay and starts it. Close must be called to stop it.
func New(config Config, wire Wire, recorder *decision.Recorder) (*Relay, error) {
	r := &Relay{Recorder: recorder, callerPort: config.Ingress.Port(), peerPort: config.PeerPort}
	random := rand.New(rand.NewPCG(config.Identity.Incarnation, config.Identity.Incarnation))
	r.core = NewCore(config.Identity, wire, r, config.MaxFlows, random, WithPriorityAdmission(config.PriorityAdmission),
		WithLink(config.LinkMbps))
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if r.peers, err = datagram.Listen(config.PeerListen, r.handlePeerMessage, datagram.WithPanicHandler(r.logPanic)); err != nil {
		return nil, trace.Wrap(err, "start relay")
	}
	if r.ingress, err = datagram.Listen(config.Ingress, r.handleIngressPacket, datagram.WithPanicHandler(r.logPanic)); err != nil {
		r.peers.Close()
		return nil, trace.Wrap(err, "start relay")
	}
	r.tomb.Go(r.loop)
	return r, nil
}

// SetTable puts a configuration from the store in force if its version is higher than
// the current one. It returns whether it did.
func (r *Relay) SetTable(table directory.Table, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.SetTable(r.Now(), table, source)
}

// SetEvacuations puts the evacuated zones that were read from the store in force, unless
// those in force are newer.
func (r *Relay) SetEvacuations(set evacuation.Set, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetEvacuations(r.Now(), set, source)
}

// UntilRead returns how long to wait before this relay reads the configuration from the
// store; zero means that a read is due.
func (r *Relay) UntilRead() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.UntilRead(r.Now())
}

// ReadStarted must be called when a read of the configuration from the store begins.
func (r *Relay) ReadStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ReadStarted(r.Now())
}

// ReadPending must be called when the store takes long to answer a read.
func (r *Relay) ReadPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ReadPending(r.Now())
}

// ReadFailed must be called when a read of the configuration from the store failed.
func (r *Relay) ReadFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ReadFailed(r.Now())
}

// LastStoreReadAge returns how long ago any relay last read the configuration from the
// store, and whether that is known.
func (r *Relay) LastStoreReadAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastRead := r.core.LastStoreRead()
	return r.Now() - lastRead, lastRead > 0
}

// StoreEpoch returns the highest epoch of the store that this relay knows, from its own
// reads or from reports. The epoch begins when the store is restored from a copy.
func (r *Relay) StoreEpoch() uint16 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.StoreEpoch()
}

// ReadSucceeded must be called when the configuration has been read from the store in the
// given epoch.
func (r *Relay) ReadSucceeded(epoch uint16) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ReadSucceeded(r.Now(), epoch)
}

// AddRelays adds relays that this relay should report to.
func (r *Relay) AddRelays(relays []netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.AddRelays(r.Now(), relays)
}

// Leave makes the relay not ready and reports that to all processes. The relay goes on
// forwarding packets.
func (r *Relay) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Leave(r.Now())
}

// Ready reports whether routers should send packets to this relay.
func (r *Relay) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Ready(r.Now())
}

// Idle returns the time since the last packet of a caller was received.
func (r *Relay) Idle() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Now() - r.lastPacket
}

// HasReported reports whether a report of the relay at addr has been received.
func (r *Relay) HasReported(addr netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.HasReported(addr)
}

// Isolated reports whether no report of another relay has been received.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Isolated()
}

// Stats are the values of a relay's metrics.
type Stats struct {
	Counts
	// Flows, Relays and Sidecars are the numbers of flows in the cache and of other
	// relays and sidecars that are known.
	Flows, Relays, Sidecars int
	// Unsent counts the datagrams that the sockets could not send.
	Unsent uint64
	// Version is the version of the configuration in force.
	Version uint64
	// Behind is for how long a higher configuration version than the one in force has
	// been known.
	Behind time.Duration
	// Configurations counts the configurations exchanged with other processes.
	Configurations distribution.Counts
	// Traffic counts the messages sent to other processes.
	Traffic peer.Traffic
	// Evacuations are the evacuated zones, as far as this relay knows.
	Evacuations evacuation.State
}

// Stats returns the current values of the relay's metrics.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	relays, sidecars := r.core.Known()
	_, behind := r.core.Behind(r.Now())
	return Stats{
		Evacuations: r.core.Evacuations(), Behind: behind, Configurations: r.core.ConfigurationCounts(), Traffic: r.traffic,
		Counts: r.core.Counts(), Flows: r.core.Flows(), Relays: relays, Sidecars: sidecars,
		Unsent: r.peers.Unsent() + r.ingress.Unsent(), Version: r.core.Table().Version(),
	}
}

// Close closes the sockets and waits until the relay's goroutines have ended.
func (r *Relay) Close() error {
	r.tomb.Kill(nil)
	return trace.NewAggregate(r.ingress.Close(), r.peers.Close(), r.tomb.Wait())
}

// ToCaller sends a packet to a caller. It implements Outbox.
func (r *Relay) ToCaller(caller netip.Addr, packet []byte) {
	r.ingress.Send(netip.AddrPortFrom(caller, r.callerPort), packet)
}

// ToPeer sends a message to another relay or a sidecar. It implements Outbox.
func (r *Relay) ToPeer(addr netip.Addr, message []byte) {
	r.traffic.Add(message, r.core.InZone(addr))
	r.peers.Send(netip.AddrPortFrom(addr, r.peerPort), message)
}

func (r *Relay) handleIngressPacket(packet []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.lastPacket = now
	r.core.CallerPacket(now, packet)
}

func (r *Relay) handlePeerMessage(message []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.PeerMessage(r.Now(), message)
}

// logPanic logs the cause of a panic in the handling of a datagram.
func (r *Relay) logPanic(cause any) {
	r.LogBelief(decision.NewPanic(cause))
}

func (r *Relay) loop() error {
	ticker := time.NewTicker(_tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			r.core.Tick(r.Now())
			r.mu.Unlock()
		case <-r.tomb.Dying():
			return nil
		}
	}
}
