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

// _settled is later than a relay's first seconds, in which it refuses nothing.
const _afterStartup = 10 * time.Second

var errShort = errors.New("too short")

// plainWire is a packet format of these tests: flags, seq, ack, size and, if it is
// not that of _key, the caller's port.
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

// message is what a core sent to a process.
type sentMessage struct {
	to   netip.Addr
	kind peer.Kind
	body []byte
}

// rig is a core with what it sent since the last look.
type testCore struct {
	*relay.Core
	t        *testing.T
	messages []sentMessage
	toCaller [][]byte
}

func newTestCore(t *testing.T) *testCore { return newTestCoreAt(t, _selfRelay) }

func newTestCoreAt(t *testing.T, addr netip.Addr) *testCore {
	r := &testCore{t: t}
	identity := relay.Identity{Addr: addr, Zone: "a", Incarnation: 1}
	r.Core = relay.NewCore(identity, testWire{}, r, 1000, rand.New(rand.NewPCG(1, 1)))
	return r
}

// newServingRig knows a route and two sidecars.
func newServingCore(t *testing.T) *testCore {
	r := newTestCore(t)
	r.setTable(_afterStartup, 1)
	for _, addr := range []netip.Addr{_firstSidecar, _secondSidecar} {
		r.sendReport(_afterStartup, addr, 1, peer.Ready)
	}
	r.Tick(_afterStartup)
	r.clearSent()
	return r
}

func (r *testCore) setTable(now time.Duration, version uint64) {
	r.SetTable(now, directory.New(version, 0, []directory.Route{
		{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}},
	}), "test")
}

func (r *testCore) ToCaller(_ netip.Addr, b []byte) { r.toCaller = append(r.toCaller, slices.Clone(b)) }
func (r *testCore) Decide(decision.Record)          {}
func (r *testCore) Believe(decision.Belief)         {}
func (r *testCore) Observe(decision.Span, time.Duration) {
}

func (r *testCore) ToPeer(addr netip.Addr, b []byte) {
	r.messages = append(r.messages, sentMessage{to: addr, kind: peer.Kind(b[0]), body: slices.Clone(b)})
}

func (r *testCore) clearSent() { r.messages, r.toCaller = nil, nil }

func (r *testCore) sendReport(now time.Duration, addr netip.Addr, sequence uint64, state peer.State) {
	r.sendReportFrom(now, addr, "a", sequence, state)
}

func (r *testCore) sendReportFrom(now time.Duration, addr netip.Addr, zone string, sequence uint64, state peer.State) {
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: addr, Incarnation: 1, Sequence: sequence, Service: "orders", Zone: zone, State: state, Slots: 2,
	})
	assert.NilError(r.t, err)
	r.PeerMessage(now, b)
}

func (r *testCore) sendVerdict(now time.Duration, from netip.Addr, outcome peer.Outcome, packet []byte) {
	r.PeerMessage(now, peer.Verdict{Outcome: outcome, Sidecar: from, Flow: _key, Slots: 2, Packet: packet}.Append(nil))
}

// sent returns the receivers of messages of a kind since the last look.
func (r *testCore) receivers(kind peer.Kind) []string {
	var to []string
	for _, m := range r.messages {
		if m.kind == kind {
			to = append(to, m.to.String())
		}
	}
	return to
}

func TestUnansweredOfferGoesToAnotherSidecar(t *testing.T) {
	r := newServingCore(t)
	r.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	first := r.receivers(peer.KindOffer)
	assert.Equal(t, len(first), 1)
	for now := _afterStartup; now < _afterStartup+200*time.Millisecond; now += 20 * time.Millisecond {
		r.Tick(now)
	}
	offers := r.receivers(peer.KindOffer)
	assert.Assert(t, len(offers) >= 2 && offers[1] != first[0], "%v", offers)
	assert.Equal(t, len(r.toCaller), 0, "one that did not answer may have taken it")
}

// TestOfferTimeoutExcludesRelayStall is told of the time in one step, as a process that
// was frozen or starved is.
func TestOfferTimeoutExcludesRelayStall(t *testing.T) {
	r := newServingCore(t)
	r.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	r.Tick(_afterStartup + 3*time.Second)
	assert.Equal(t, len(r.receivers(peer.KindOffer)), 1)
}

func TestRepeatedOpeningGoesToSameSidecar(t *testing.T) {
	r := newServingCore(t)
	for i := range uint32(3) {
		r.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, i, 0))
	}
	offers := r.receivers(peer.KindOffer)
	assert.Equal(t, len(offers), 3)
	assert.Assert(t, offers[0] == offers[1] && offers[1] == offers[2], "%v", offers)
}

// TestResetWhenAllSidecarsRefuse refuses at once when all that may take a flow have refused it.
func TestResetWhenAllSidecarsRefuse(t *testing.T) {
	r := newServingCore(t)
	syn := encodePacket(flow.SYN, 10, 0, 0)
	r.CallerPacket(_afterStartup, syn)
	for range 4 {
		offers := r.receivers(peer.KindOffer)
		r.clearSent()
		if len(offers) == 0 {
			break
		}
		r.sendVerdict(_afterStartup, netip.MustParseAddr(offers[0]), peer.Refused, syn)
	}
	assert.Equal(t, len(r.toCaller), 1)
}

// TestNoResetWhenOffersUnanswered loses the answers of all sidecars: each may have given
// the flow to its upstream, so the caller must not be told that nobody has.
func TestNoResetWhenOffersUnanswered(t *testing.T) {
	r := newServingCore(t)
	r.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	for now := _afterStartup; now < _afterStartup+3*time.Second; now += 20 * time.Millisecond {
		r.Tick(now)
	}
	assert.Assert(t, len(r.receivers(peer.KindOffer)) >= 2)
	assert.Equal(t, len(r.toCaller), 0)
}

// TestOverloadedMakesNextOfferLastResort offers a flow as late at once when a sidecar says
// that neither it nor a peer can take it in time, and refuses it when that is in vain.
func TestOverloadedMakesNextOfferLastResort(t *testing.T) {
	r := newServingCore(t)
	syn := encodePacket(flow.SYN, 10, 0, 0)
	r.CallerPacket(_afterStartup, syn)
	first := r.receivers(peer.KindOffer)
	r.clearSent()
	r.sendVerdict(_afterStartup, netip.MustParseAddr(first[0]), peer.Overloaded, syn)
	assert.Equal(t, len(r.receivers(peer.KindOffer)), 1)
	offered, err := peer.DecodeCarried(r.messages[len(r.messages)-1].body)
	assert.NilError(t, err)
	assert.Assert(t, offered.Last)
	for range 4 {
		offers := r.receivers(peer.KindOffer)
		r.clearSent()
		if len(offers) == 0 {
			break
		}
		r.sendVerdict(_afterStartup, netip.MustParseAddr(offers[0]), peer.Overloaded, syn)
	}
	assert.Equal(t, len(r.receivers(peer.KindOffer)), 0)
}

// TestEndedFlowIsNotOfferedAgain hears that a sidecar has refused the caller: the opening
// packet must not be offered again.
func TestEndedFlowIsNotOfferedAgain(t *testing.T) {
	r := newServingCore(t)
	r.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	r.sendVerdict(_afterStartup, netip.MustParseAddr(r.receivers(peer.KindOffer)[0]), peer.Ended, nil)
	r.clearSent()
	for now := _afterStartup; now < _afterStartup+time.Second; now += 20 * time.Millisecond {
		r.Tick(now)
	}
	assert.Equal(t, len(r.receivers(peer.KindOffer)), 0)
}

func TestSearchFindsHolder(t *testing.T) {
	r := newServingCore(t)
	data := encodePacket(flow.ACK, 11, 501, 9)
	r.CallerPacket(_afterStartup, data)
	r.CallerPacket(_afterStartup, data)
	assert.Equal(t, len(r.receivers(peer.KindQuestion)), 2, "two sidecars, one question each")
	assert.Equal(t, len(r.receivers(peer.KindCarry)), 0)
	r.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
	r.sendVerdict(_afterStartup, _secondSidecar, peer.Held, nil)
	assert.DeepEqual(t, r.receivers(peer.KindCarry), []string{_secondSidecar.String(), _secondSidecar.String()})
	r.CallerPacket(_afterStartup, data)
	assert.Equal(t, len(r.receivers(peer.KindCarry)), 3)
	assert.Equal(t, len(r.receivers(peer.KindQuestion)), 2)
}

func TestFlowWithoutHolderIsReset(t *testing.T) {
	r := newServingCore(t)
	r.CallerPacket(_afterStartup, encodePacket(flow.ACK, 11, 501, 9))
	r.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, nil)
	assert.Equal(t, len(r.toCaller), 0, "one sidecar is silent")
	r.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
	assert.Equal(t, len(r.toCaller), 1)
	p, err := testWire{}.Decode(r.toCaller[0])
	assert.NilError(t, err)
	assert.Equal(t, p.Seq, uint32(501))
}

// TestUnsureSidecarGetsPacket asks a sidecar that runs for less time than its upstream.
func TestUnsureSidecarGetsPacket(t *testing.T) {
	r := newServingCore(t)
	data := encodePacket(flow.ACK, 11, 501, 9)
	r.CallerPacket(_afterStartup, data)
	r.sendVerdict(_afterStartup, _firstSidecar, peer.Unsure, nil)
	r.sendVerdict(_afterStartup, _secondSidecar, peer.NotHeld, nil)
	assert.DeepEqual(t, r.receivers(peer.KindTry), []string{_firstSidecar.String()})
	assert.Equal(t, len(r.toCaller), 0)
	r.sendVerdict(_afterStartup, _firstSidecar, peer.Held, nil)
	r.CallerPacket(_afterStartup, data)
	assert.DeepEqual(t, r.receivers(peer.KindCarry), []string{_firstSidecar.String()})
}

// TestSearchTrafficIsBounded floods a relay with packets of flows that nobody knows,
// as after a loss of all processes on grown kowhai-rounds trouble-1.
func TestSearchTrafficIsBounded(t *testing.T) {
	r := newServingCore(t)
	for i := range byte(50) {
		r.sendReport(_afterStartup, netip.AddrFrom4([4]byte{10, 2, 0, i}), 1, peer.Ready)
	}
	r.clearSent()
	size := 0
	for i := range 1000 {
		// The wire of these tests carries one flow only, so its question ends each time.
		now := _afterStartup + time.Duration(i)*time.Millisecond
		r.CallerPacket(now, encodePacket(flow.ACK, 11, 501, 9))
		for j := range byte(50) {
			r.sendVerdict(now, netip.AddrFrom4([4]byte{10, 2, 0, j}), peer.Unsure, nil)
		}
		r.sendVerdict(now, _firstSidecar, peer.Unsure, nil)
		r.sendVerdict(now, _secondSidecar, peer.Unsure, nil)
	}
	for _, m := range r.messages {
		size += len(m.body)
	}
	assert.Assert(t, size < 400_000, "%d bytes in a second", size)
}

func TestSearchAfterHolderReturnsPacket(t *testing.T) {
	r := newServingCore(t)
	r.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	r.sendVerdict(_afterStartup, _firstSidecar, peer.Accepted, nil)
	r.clearSent()
	data := encodePacket(flow.ACK, 11, 501, 9)
	r.CallerPacket(_afterStartup, data)
	assert.DeepEqual(t, r.receivers(peer.KindCarry), []string{_firstSidecar.String()})
	r.sendVerdict(_afterStartup, _firstSidecar, peer.NotHeld, data)
	assert.DeepEqual(t, r.receivers(peer.KindQuestion), []string{_secondSidecar.String()})
	r.sendVerdict(_afterStartup, _secondSidecar, peer.Held, nil)
	assert.DeepEqual(t, r.receivers(peer.KindCarry), []string{_firstSidecar.String(), _secondSidecar.String()})
}

// TestOpeningIsParkedDuringStartup gets opening packets before it knows anything.
func TestOpeningIsParkedDuringStartup(t *testing.T) {
	r := newTestCore(t)
	r.CallerPacket(0, encodePacket(flow.SYN, 10, 0, 0))
	r.CallerPacket(200*time.Millisecond, encodePacket(flow.SYN, 10, 1, 0))
	assert.Equal(t, len(r.toCaller), 0)
	r.setTable(250*time.Millisecond, 1)
	r.sendReport(300*time.Millisecond, _firstSidecar, 1, peer.Ready)
	assert.DeepEqual(t, r.receivers(peer.KindOffer), []string{_firstSidecar.String()})
	for _, m := range r.messages {
		if m.kind == peer.KindOffer {
			carried, err := peer.DecodeCarried(m.body)
			assert.NilError(t, err)
			assert.Equal(t, carried.Waited, 300*time.Millisecond)
		}
	}
}

// TestNewRelayReportsToNamedSidecars is what kowhai-rounds scale-2 found: a relay that
// was added knew no upstream of one service for seconds and refused its flows,
// since nobody had told the sidecars of it.
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
	assert.Assert(t, !added.Ready(0), "no upstream is known")
	added.PeerMessage(0, answer)
	told := added.receivers(peer.KindRelay)
	assert.Assert(t, slices.Contains(told, _firstSidecar.String()) && slices.Contains(told, _secondSidecar.String()), "%v", told)
	added.sendReport(time.Millisecond, _firstSidecar, 1, peer.Ready)
	assert.Assert(t, added.Ready(time.Millisecond))
}

func TestParkedOpeningExpires(t *testing.T) {
	r := newTestCore(t)
	r.CallerPacket(0, encodePacket(flow.SYN, 10, 0, 0))
	r.Tick(2 * time.Second)
	r.setTable(2*time.Second, 1)
	r.sendReport(2*time.Second, _firstSidecar, 1, peer.Ready)
	assert.Equal(t, len(r.receivers(peer.KindOffer)), 0, "the caller has given up")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	r := newTestCore(t)
	r.setTable(0, 7)
	r.setTable(0, 3)
	assert.Equal(t, r.Table().Version(), uint64(7))
	b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: 1, Version: 9})
	assert.NilError(t, err)
	r.PeerMessage(time.Second, b)
	wanted, lasts := r.Behind(3 * time.Second)
	assert.Equal(t, wanted, uint64(9))
	assert.Equal(t, lasts, 2*time.Second)
	asks := r.receivers(peer.KindAsk)
	assert.Equal(t, len(asks), 1, "the process that named it is asked")
	r.setTable(time.Second, 9)
	wanted, _ = r.Behind(3 * time.Second)
	assert.Equal(t, wanted, uint64(0))
}

// TestReportedReadDelaysOwnRead lets relays hear that another one has read the store.
func TestReportedReadDelaysOwnRead(t *testing.T) {
	r := newTestCore(t)
	assert.Equal(t, r.CheckDue(time.Second), time.Duration(0), "nobody has read yet")
	hear := func(now time.Duration, sequence uint64, age uint32) {
		b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _otherRelay, Incarnation: 1, Sequence: sequence, CheckedAge: age})
		assert.NilError(t, err)
		r.PeerMessage(now, b)
	}
	hear(2*time.Second, 1, 100)
	due := r.CheckDue(2 * time.Second)
	assert.Assert(t, due > 800*time.Millisecond && due < 1500*time.Millisecond, "due in %v", due)
	assert.Equal(t, r.CheckDue(4*time.Second), time.Duration(0), "the other one has stopped")
	hear(4*time.Second, 2, 2000)
	assert.Equal(t, r.CheckDue(4*time.Second), time.Duration(0), "an old read changes nothing")
}

func TestMalformedInputIsCounted(t *testing.T) {
	r := newServingCore(t)
	for _, b := range [][]byte{nil, {0}, {byte(peer.KindVerdict), 99}, {byte(peer.KindUpstream), 0xff}, {byte(peer.KindRelay), 0xa1}} {
		r.PeerMessage(_afterStartup, b)
	}
	r.CallerPacket(_afterStartup, []byte{1, 2})
	assert.Equal(t, r.Counts().Malformed, uint64(6))
}

// BenchmarkCarry carries packets of known flows, which must not allocate.
func BenchmarkCarry(b *testing.B) {
	r := &discardOutbox{}
	c := relay.NewCore(relay.Identity{Addr: _selfRelay, Zone: "a", Incarnation: 1}, testWire{}, r, 1000, rand.New(rand.NewPCG(1, 1)))
	c.PeerMessage(0, peer.Verdict{Outcome: peer.Accepted, Sidecar: _firstSidecar, Flow: _key, Slots: 2}.Append(nil))
	packet := append(encodePacket(flow.ACK, 11, 501, 200), make([]byte, 1190)...)
	b.ReportAllocs()
	for b.Loop() {
		c.CallerPacket(0, packet)
	}
}

// sink drops what a core sends.
type discardOutbox struct{}

func (*discardOutbox) ToCaller(netip.Addr, []byte)          {}
func (*discardOutbox) ToPeer(netip.Addr, []byte)            {}
func (*discardOutbox) Decide(decision.Record)               {}
func (*discardOutbox) Believe(decision.Belief)              {}
func (*discardOutbox) Observe(decision.Span, time.Duration) {}
