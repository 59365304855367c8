package relay_test

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/relay"
)

var (
	_selfRelay     = netip.MustParseAddr("10.1.0.9")
	_otherRelay    = netip.MustParseAddr("10.1.0.8")
	_firstSidecar  = netip.MustParseAddr("10.1.0.1")
	_secondSidecar = netip.MustParseAddr("10.1.0.2")
	_address       = netip.MustParseAddrPort("198.18.0.1:443")
	_caller        = netip.MustParseAddrPort("100.64.0.7:40001")
	_key           = flow.Key{Caller: _caller, Address: _address}
)

// _afterStartup is a time at which a relay's startup period is over. During that period,
// a relay resets no flow for lack of a route, an upstream or a holder.
const _afterStartup = 10 * time.Second

var errShort = errors.New("too short")

// testWire is the packet format of these tests: flags, sequence number, acknowledgment
// number, size and, if the caller's port is not that of _key, the port.
type testWire struct{}

func (testWire) Decode(b []byte) (flow.Packet, error) {
	if len(b) < 10 {
		return flow.Packet{}, errShort
	}
	source := _caller
	if len(b) >= 12 {
		source = netip.AddrPortFrom(_caller.Addr(), binary.BigEndian.Uint16(b[10:]))
	}
	return flow.Packet{
		Source: source, Destination: _address, Flags: flow.Flags(b[0]),
		Seq: binary.BigEndian.Uint32(b[1:]), Ack: binary.BigEndian.Uint32(b[5:]), Size: int(b[9]),
	}, nil
}

func (testWire) AppendReset(b []byte, _ flow.Key, ack uint32) []byte {
	return append(b, encodePacket(flow.RST, ack, 0, 0)...)
}

func encodePacket(flags flow.Flags, seq, ack uint32, size byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{byte(flags)}, seq)
	return append(binary.BigEndian.AppendUint32(b, ack), size)
}

// sentMessage is a message that a core has sent to another process.
type sentMessage struct {
	to   netip.Addr
	kind peer.Kind
	body []byte
}

// testCore is a core that records what it has sent since the last call of clearSent.
type testCore struct {
	*relay.Core
	t        *testing.T
	messages []sentMessage
	toCaller [][]byte
	// decisions and beliefs are all that were logged.
	decisions []decision.Record
	beliefs   []decision.Belief
}

func newTestCore(t *testing.T) *testCore { return newTestCoreAt(t, _selfRelay) }

func newTestCoreAt(t *testing.T, addr netip.Addr) *testCore {
	c := &testCore{t: t}
	identity := relay.Identity{Addr: addr, Zone: "a", Incarnation: 1}
	c.Core = relay.NewCore(identity, testWire{}, c, 1000, rand.New(rand.NewPCG(1, 1)))
	return c
}

// newServingCore returns a core that knows a route and two sidecars.
func newServingCore(t *testing.T) *testCore {
	c := newTestCore(t)
	c.setTable(_afterStartup, 1)
	for _, addr := range []netip.Addr{_firstSidecar, _secondSidecar} {
		c.sendReport(_afterStartup, addr, 1, peer.Ready)
	}
	c.Tick(_afterStartup)
	c.clearSent()
	return c
}

func (c *testCore) setTable(now time.Duration, version uint64) {
	c.SetTable(now, directory.New(version, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
	}), "test")
}

func (c *testCore) ToCaller(_ netip.Addr, b []byte) { c.toCaller = append(c.toCaller, slices.Clone(b)) }

func (c *testCore) LogDecision(r decision.Record) { c.decisions = append(c.decisions, r) }
func (c *testCore) LogBelief(b decision.Belief)   { c.beliefs = append(c.beliefs, b) }

func (c *testCore) ObserveSpan(decision.Span, time.Duration) {}

func (c *testCore) ToPeer(addr netip.Addr, b []byte) {
	c.messages = append(c.messages, sentMessage{to: addr, kind: peer.Kind(b[0]), body: slices.Clone(b)})
}

func (c *testCore) clearSent() { c.messages, c.toCaller = nil, nil }

func (c *testCore) sendReport(now time.Duration, addr netip.Addr, sequence uint64, state peer.State) {
	c.sendReportFrom(now, addr, "a", sequence, state)
}

func (c *testCore) sendReportFrom(now time.Duration, addr netip.Addr, zone string, sequence uint64, state peer.State) {
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: addr, Incarnation: 1, Sequence: sequence, Service: "orders", Zone: zone, State: state, Slots: 2,
	})
	assert.NilError(c.t, err)
	c.PeerMessage(now, b)
}

func (c *testCore) sendVerdict(now time.Duration, from netip.Addr, outcome peer.Outcome, packet []byte) {
	c.PeerMessage(now, peer.Verdict{Outcome: outcome, Sidecar: from, Flow: _key, Slots: 2, Packet: packet}.Append(nil))
}

// receivers returns the receivers of the recorded messages of a kind, in order.
func (c *testCore) receivers(kind peer.Kind) []string {
	var to []string
	for _, m := range c.messages {
		if m.kind == kind {
			to = append(to, m.to.String())
		}
	}
	return to
}

func TestUnansweredOfferGoesToAnotherSidecar(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	first := c.receivers(peer.KindOffer)
	assert.Equal(t, len(first), 1)
	for now := _afterStartup; now < _afterStartup+200*time.Millisecond; now += 20 * time.Millisecond {
		c.Tick(now)
	}
	offers := c.receivers(peer.KindOffer)
	assert.Assert(t, len(offers) >= 2 && offers[1] != first[0], "%v", offers)
	assert.Equal(t, len(c.toCaller), 0, "the sidecar that did not answer may have accepted the flow")
}

// TestOfferTimeoutExcludesRelayStall advances the time by 3 s in one step, as for a
// process that was suspended or got no CPU time. The answer to the offer may be in the
// relay's socket, so the offer must not time out.
func TestOfferTimeoutExcludesRelayStall(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.Tick(_afterStartup + 3*time.Second)
	assert.Equal(t, len(c.receivers(peer.KindOffer)), 1)
}

func TestRepeatedOpeningGoesToSameSidecar(t *testing.T) {
	c := newServingCore(t)
	for i := range uint32(3) {
		c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, i, 0))
	}
	offers := c.receivers(peer.KindOffer)
	assert.Equal(t, len(offers), 3)
	assert.Assert(t, offers[0] == offers[1] && offers[1] == offers[2], "%v", offers)
}

// TestResetWhenAllSidecarsRefuse checks that the relay resets a flow at once when all
// sidecars have refused it.
func TestResetWhenAllSidecarsRefuse(t *testing.T) {
	c := newServingCore(t)
	syn := encodePacket(flow.SYN, 10, 0, 0)
	c.CallerPacket(_afterStartup, syn)
	for range 4 {
		offers := c.receivers(peer.KindOffer)
		c.clearSent()
		if len(offers) == 0 {
			break
		}
		c.sendVerdict(_afterStartup, netip.MustParseAddr(offers[0]), peer.Refused, syn)
	}
	assert.Equal(t, len(c.toCaller), 1)
}

// TestNoResetWhenOffersUnanswered loses the answers of all sidecars. Each may have given
// the flow to its upstream, so the caller must not get a reset.
func TestNoResetWhenOffersUnanswered(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	for now := _afterStartup; now < _afterStartup+3*time.Second; now += 20 * time.Millisecond {
		c.Tick(now)
	}
	assert.Assert(t, len(c.receivers(peer.KindOffer)) >= 2)
	assert.Equal(t, len(c.toCaller), 0)
}

// TestOverloadedMakesNextOfferLastResort lets a sidecar answer that neither it nor any
// of its peers can take a flow in time. The relay must make its next offer a last resort
// without trying the peers, and make no more offers once these are refused too.
func TestOverloadedMakesNextOfferLastResort(t *testing.T) {
	c := newServingCore(t)
	syn := encodePacket(flow.SYN, 10, 0, 0)
	c.CallerPacket(_afterStartup, syn)
	first := c.receivers(peer.KindOffer)
	c.clearSent()
	c.sendVerdict(_afterStartup, netip.MustParseAddr(first[0]), peer.Overloaded, syn)
	assert.Equal(t, len(c.receivers(peer.KindOffer)), 1)
	offered, err := peer.DecodeCarried(c.messages[len(c.messages)-1].body)
	assert.NilError(t, err)
	assert.Assert(t, offered.LastResort)
	for range 4 {
		offers := c.receivers(peer.KindOffer)
		c.clearSent()
		if len(offers) == 0 {
			break
		}
		c.sendVerdict(_afterStartup, netip.MustParseAddr(offers[0]), peer.Overloaded, syn)
	}
	assert.Equal(t, len(c.receivers(peer.KindOffer)), 0)
}

// TestEndedFlowIsNotOfferedAgain lets a sidecar report that it has reset a flow to the
// caller. The relay must not offer the opening packet again.
func TestEndedFlowIsNotOfferedAgain(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.sendVerdict(_afterStartup, netip.MustParseAddr(c.receivers(peer.KindOffer)[0]), peer.Ended, nil)
	c.clearSent()
	for now := _afterStartup; now < _afterStartup+time.Second; now += 20 * time.Millisecond {
		c.Tick(now)
	}
	assert.Equal(t, len(c.receivers(peer.KindOffer)), 0)
}

func TestSearchFindsHolder(t *testing.T) {
	c := newServingCore(t)
	data := encodePacket(flow.ACK, 11, 501, 9)
	c.CallerPacket(_afterStartup, data)
	c.CallerPacket(_afterStartup, data)
	assert.Equal(t, len(c.receivers(peer.KindQuestion)), 2, "two sidecars, one question each")
	assert.Equal(t, len(c.receivers(peer.KindCarry)), 0)
	c.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
	c.sendVerdict(_afterStartup, _secondSidecar, peer.Held, nil)
	assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_secondSidecar.String(), _secondSidecar.String()})
	c.CallerPacket(_afterStartup, data)
	assert.Equal(t, len(c.receivers(peer.KindCarry)), 3)
	assert.Equal(t, len(c.receivers(peer.KindQuestion)), 2)
}

func TestFlowWithoutHolderIsReset(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.ACK, 11, 501, 9))
	c.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
	assert.Equal(t, len(c.toCaller), 0, "one sidecar has not answered yet")
	c.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
	assert.Equal(t, len(c.toCaller), 1)
	p, err := testWire{}.Decode(c.toCaller[0])
	assert.NilError(t, err)
	assert.Equal(t, p.Seq, uint32(501))
}

// TestUnsureSidecarGetsPacket searches for the holder of a flow among a sidecar that
// denies the flow and one that is unsure, because it was started after its upstream and
// may not know all flows. The relay must send the packet to the unsure sidecar, and later
// packets too once that sidecar has answered that it holds the flow.
func TestUnsureSidecarGetsPacket(t *testing.T) {
	c := newServingCore(t)
	data := encodePacket(flow.ACK, 11, 501, 9)
	c.CallerPacket(_afterStartup, data)
	c.sendVerdict(_afterStartup, _firstSidecar, peer.Unsure, nil)
	c.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
	assert.DeepEqual(t, c.receivers(peer.KindTry), []string{_firstSidecar.String()})
	assert.Equal(t, len(c.toCaller), 0)
	c.sendVerdict(_afterStartup, _firstSidecar, peer.Held, nil)
	c.CallerPacket(_afterStartup, data)
	assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_firstSidecar.String()})
}

// TestSearchTrafficIsBounded sends a relay many packets of a flow whose sidecars are all
// unsure, as in a recorded run of a large fleet after the loss of all processes. What the
// relay sends for its searches must stay within the search budget.
func TestSearchTrafficIsBounded(t *testing.T) {
	c := newServingCore(t)
	for i := range byte(50) {
		c.sendReport(_afterStartup, netip.AddrFrom4([4]byte{10, 2, 0, i}), 1, peer.Ready)
	}
	c.clearSent()
	size := 0
	for i := range 1000 {
		// All packets are of one flow. Every sidecar answers in each round.
		now := _afterStartup + time.Duration(i)*time.Millisecond
		c.CallerPacket(now, encodePacket(flow.ACK, 11, 501, 9))
		for j := range byte(50) {
			c.sendVerdict(now, netip.AddrFrom4([4]byte{10, 2, 0, j}), peer.Unsure, nil)
		}
		c.sendVerdict(now, _firstSidecar, peer.Unsure, nil)
		c.sendVerdict(now, _secondSidecar, peer.Unsure, nil)
	}
	for _, m := range c.messages {
		size += len(m.body)
	}
	assert.Assert(t, size < 400_000, "%d bytes in a second", size)
}

func TestSearchAfterHolderReturnsPacket(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.sendVerdict(_afterStartup, _firstSidecar, peer.Accepted, nil)
	c.clearSent()
	data := encodePacket(flow.ACK, 11, 501, 9)
	c.CallerPacket(_afterStartup, data)
	assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_firstSidecar.String()})
	c.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, data)
	assert.DeepEqual(t, c.receivers(peer.KindQuestion), []string{_secondSidecar.String()})
	c.sendVerdict(_afterStartup, _secondSidecar, peer.Held, nil)
	assert.DeepEqual(t, c.receivers(peer.KindCarry), []string{_firstSidecar.String(), _secondSidecar.String()})
}

// TestOpeningIsParkedDuringStartup sends opening packets to a relay that knows neither a
// route nor an upstream. It must offer the flow, once, when it knows both.
func TestOpeningIsParkedDuringStartup(t *testing.T) {
	c := newTestCore(t)
	c.CallerPacket(0, encodePacket(flow.SYN, 10, 0, 0))
	c.CallerPacket(200*time.Millisecond, encodePacket(flow.SYN, 10, 1, 0))
	assert.Equal(t, len(c.toCaller), 0)
	c.setTable(250*time.Millisecond, 1)
	c.sendReport(300*time.Millisecond, _firstSidecar, 1, peer.Ready)
	assert.DeepEqual(t, c.receivers(peer.KindOffer), []string{_firstSidecar.String()})
	for _, m := range c.messages {
		if m.kind == peer.KindOffer {
			carried, err := peer.DecodeCarried(m.body)
			assert.NilError(t, err)
			assert.Equal(t, carried.Waited, 300*time.Millisecond)
		}
	}
}

// TestNewRelayReportsToNamedSidecars adds a relay to a fleet. In a recorded run, a new
// relay knew no upstream of one service for seconds and refused the flows to that
// service, since the sidecars did not know the relay. So the other relays name sidecars
// to a new relay, and the new relay must report to these sidecars.
func TestNewRelayReportsToNamedSidecars(t *testing.T) {
	old := newServingCore(t)
	b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: 1})
	assert.NilError(t, err)
	old.PeerMessage(_afterStartup, b)
	var answer []byte
	for _, m := range old.messages {
		if m.kind == peer.KindRelay && m.to == _otherRelay {
			answer = m.body
		}
	}
	added := newTestCoreAt(t, _otherRelay)
	added.setTable(0, 1)
	assert.Assert(t, !added.Ready(0), "the relay knows no upstream")
	added.PeerMessage(0, answer)
	reported := added.receivers(peer.KindRelay)
	assert.Assert(t, slices.Contains(reported, _firstSidecar.String()) &&
		slices.Contains(reported, _secondSidecar.String()), "%v", reported)
	added.sendReport(time.Millisecond, _firstSidecar, 1, peer.Ready)
	assert.Assert(t, added.Ready(time.Millisecond))
}

func TestParkedOpeningExpires(t *testing.T) {
	c := newTestCore(t)
	c.CallerPacket(0, encodePacket(flow.SYN, 10, 0, 0))
	c.Tick(2 * time.Second)
	c.setTable(2*time.Second, 1)
	c.sendReport(2*time.Second, _firstSidecar, 1, peer.Ready)
	assert.Equal(t, len(c.receivers(peer.KindOffer)), 0, "the caller has given up")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := newTestCore(t)
	c.setTable(0, 7)
	c.setTable(0, 3)
	assert.Equal(t, c.Table().Version(), uint64(7))
	b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: 1, Version: 9})
	assert.NilError(t, err)
	c.PeerMessage(time.Second, b)
	version, knownFor := c.Behind(3 * time.Second)
	assert.Equal(t, version, uint64(9))
	assert.Equal(t, knownFor, 2*time.Second)
	asks := c.receivers(peer.KindAsk)
	assert.Equal(t, len(asks), 1, "the relay asks the process that reported version 9")
	c.setTable(time.Second, 9)
	version, _ = c.Behind(3 * time.Second)
	assert.Equal(t, version, uint64(0))
}

// TestReportedReadDelaysOwnRead sends a relay the reports of another relay that has read
// the configuration from the store. After a recent read, the relay must wait. After an
// old one, it must read at once.
func TestReportedReadDelaysOwnRead(t *testing.T) {
	c := newTestCore(t)
	assert.Equal(t, c.UntilRead(time.Second), time.Duration(0), "no read is known yet")
	reportRead := func(now time.Duration, sequence uint64, age uint32) {
		b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: sequence, ReadAge: age, StoreEpoch: 1})
		assert.NilError(t, err)
		c.PeerMessage(now, b)
	}
	reportRead(2*time.Second, 1, 100)
	due := c.UntilRead(2 * time.Second)
	assert.Assert(t, due > 800*time.Millisecond && due < 1500*time.Millisecond, "due in %v", due)
	assert.Equal(t, c.UntilRead(4*time.Second), time.Duration(0), "the other relay has stopped reading")
	reportRead(4*time.Second, 2, 2000)
	assert.Equal(t, c.UntilRead(4*time.Second), time.Duration(0), "an old read changes nothing")
}

// TestReadOfEarlierBuildDoesNotDelayOwnRead guards against a fleet in which only relays of
// an earlier build read the store, which ignore what is older by its revision alone.
func TestReadOfEarlierBuildDoesNotDelayOwnRead(t *testing.T) {
	c := newTestCore(t)
	b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: 1, ReadAge: 100})
	assert.NilError(t, err)
	c.PeerMessage(2*time.Second, b)
	assert.Equal(t, c.UntilRead(2*time.Second), time.Duration(0))
}

// TestReportsCarryStoreEpoch sends a relay a report of a higher epoch. Its own reports must
// carry the epoch on.
func TestReportsCarryStoreEpoch(t *testing.T) {
	c := newTestCore(t)
	c.ReadSucceeded(time.Second, 0)
	b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: 1, StoreEpoch: 4})
	assert.NilError(t, err)
	c.PeerMessage(2*time.Second, b)
	assert.Equal(t, c.StoreEpoch(), uint16(3))
	c.Tick(10 * time.Second)
	report, err := peer.DecodeRelay(c.messages[len(c.messages)-1].body)
	assert.NilError(t, err)
	assert.Equal(t, report.StoreEpoch, uint32(4))
}

func TestMalformedInputIsCounted(t *testing.T) {
	c := newServingCore(t)
	for _, b := range [][]byte{nil, {0}, {byte(peer.KindVerdict), 99}, {byte(peer.KindUpstream), 0xff}, {byte(peer.KindRelay), 0xa1}} {
		c.PeerMessage(_afterStartup, b)
	}
	c.CallerPacket(_afterStartup, []byte{1, 2})
	assert.Equal(t, c.Counts().Malformed, uint64(6))
}

// BenchmarkCarry measures the forwarding of packets of known flows, which must not
// allocate.
func BenchmarkCarry(b *testing.B) {
	out := &discardOutbox{}
	c := relay.NewCore(relay.Identity{Addr: _selfRelay, Zone: "a", Incarnation: 1}, testWire{}, out, 1000, rand.New(rand.NewPCG(1, 1)))
	c.PeerMessage(0, peer.Verdict{Outcome: peer.Accepted, Sidecar: _firstSidecar, Flow: _key, Slots: 2}.Append(nil))
	packet := encodeLongPacket(1200)
	b.ReportAllocs()
	for b.Loop() {
		c.CallerPacket(0, packet)
	}
	assert.Equal(b, c.Counts().Carried, c.Counts().Packets)
}

// encodeLongPacket returns a packet of the flow _key with size bytes.
func encodeLongPacket(size int) []byte {
	packet := binary.BigEndian.AppendUint16(encodePacket(flow.ACK, 11, 501, 200), _caller.Port())
	return append(packet, make([]byte, size-len(packet))...)
}

// discardOutbox discards everything that a core sends.
type discardOutbox struct{}

func (*discardOutbox) ToCaller(netip.Addr, []byte)              {}
func (*discardOutbox) ToPeer(netip.Addr, []byte)                {}
func (*discardOutbox) LogDecision(decision.Record)              {}
func (*discardOutbox) LogBelief(decision.Belief)                {}
func (*discardOutbox) ObserveSpan(decision.Span, time.Duration) {}

// TestRefusalIsSharedWithinZone refuses a caller's flow at one relay. Another relay of the
// zone, to which routers may send the retry, must take it for one; relays of other zones
// are not told.
func TestRefusalIsSharedWithinZone(t *testing.T) {
	c := newServingCore(t)
	near, far := netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")
	for addr, zone := range map[netip.Addr]string{near: "a", far: "b"} {
		report, err := peer.AppendRelay(nil, peer.RelayReport{Relay: addr, Incarnation: 1, Sequence: 1, Zone: zone})
		assert.NilError(t, err)
		c.PeerMessage(_afterStartup, report)
	}
	c.clearSent()
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 7, 0, 0))
	c.sendVerdict(_afterStartup+30*time.Millisecond, _firstSidecar, peer.Ended, nil)
	assert.DeepEqual(t, c.receivers(peer.KindRefusal), []string{near.String()})
	for _, m := range c.messages {
		if m.kind == peer.KindRefusal {
			r, err := peer.DecodeRefusal(m.body)
			assert.NilError(t, err)
			assert.Equal(t, r, peer.Refusal{Caller: _caller.Addr(), Waited: 30 * time.Millisecond})
			other := newServingCore(t)
			other.PeerMessage(_afterStartup, m.body)
			other.CallerPacket(_afterStartup, encodePacket(flow.SYN, 9, 0, 0))
			offers := other.offersWaited(t)
			assert.DeepEqual(t, offers, []time.Duration{30 * time.Millisecond})
		}
	}
}

// offersWaited returns how long the callers of the offers that were sent have waited.
func (c *testCore) offersWaited(t *testing.T) []time.Duration {
	var waited []time.Duration
	for _, m := range c.messages {
		if m.kind == peer.KindOffer {
			carried, err := peer.DecodeCarried(m.body)
			assert.NilError(t, err)
			waited = append(waited, carried.Waited)
		}
	}
	return waited
}

// TestStaleOpeningsAreNotReset guards against resets of flows that were opened through
// another relay while copies of their opening packets waited in this relay's socket.
func TestStaleOpeningsAreNotReset(t *testing.T) {
	for name, test := range map[string]struct {
		stall  time.Duration
		ticked bool // the relay ticks before it reads the packet
		resets int
	}{
		"read before the first tick": {stall: 2 * time.Second},
		"read after the first tick":  {stall: 2 * time.Second, ticked: true},
		"timely":                     {stall: 20 * time.Millisecond, ticked: true, resets: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t)
			c.setTable(_afterStartup, 1)
			c.sendReport(_afterStartup, _firstSidecar, 1, peer.Ready)
			c.runUntil(_afterStartup, _afterStartup+100*time.Millisecond)
			now := _afterStartup + 80*time.Millisecond + test.stall
			if test.ticked {
				c.Tick(now)
			}
			c.CallerPacket(now, encodePacket(flow.SYN, 10, 0, 0))
			c.refuseTwice(now, _firstSidecar)
			assert.Equal(t, len(c.toCaller), test.resets)
		})
	}
}
