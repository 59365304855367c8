package peer_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
)

var (
	_addr = netip.MustParseAddr("10.1.0.1")
	_key  = flow.Key{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Address: netip.MustParseAddrPort("198.18.0.1:443")}
)

var (
	_payload = peer.PayloadID{Version: 9, Base: 7, Sum: 0xabcdef}
	_ask     = peer.Ask{Asker: _addr, Relay: true, CurrentVersion: 7, CurrentSum: 3, Payload: _payload, Parts: []uint16{0, 5}}
	_part    = peer.Part{Holder: _addr, Payload: _payload, Size: peer.MaxPartData + 5, Index: 1, Data: []byte("parts")}
	_defer   = peer.Defer{Holder: _addr, Version: 9, RetryAfter: 30 * time.Millisecond, OtherHolders: []netip.Addr{_addr}}
)

// TestConfigurationMessagesRoundTrip checks that the messages that transfer configurations are
// unchanged by encoding and decoding. A Part that is corrupt, truncated or too large must be refused.
func TestConfigurationMessagesRoundTrip(t *testing.T) {
	a, err := peer.DecodeAsk(_ask.Append(nil))
	assert.NilError(t, err)
	assert.Assert(t, a.Asker == _addr && a.Relay && a.CurrentVersion == 7 && a.CurrentSum == 3 && a.Payload == _payload)
	assert.DeepEqual(t, a.Parts, _ask.Parts)
	d, err := peer.DecodeDefer(_defer.Append(nil))
	assert.NilError(t, err)
	assert.Assert(t, d.Holder == _addr && d.Version == 9 && d.RetryAfter == 30*time.Millisecond && len(d.OtherHolders) == 1)
	encoded := _part.Append(nil)
	p, err := peer.DecodePart(encoded)
	assert.NilError(t, err)
	assert.Assert(t, p.Holder == _addr && p.Payload == _payload && p.Size == _part.Size && p.Index == 1 && string(p.Data) == "parts")
	for at := 1; at < len(encoded); at++ {
		encoded[at] ^= 1
		_, err := peer.DecodePart(encoded)
		assert.Assert(t, err != nil, "byte %d corrupted", at)
		encoded[at] ^= 1
		_, err = peer.DecodePart(encoded[:at])
		assert.Assert(t, err != nil, "truncated to %d bytes", at)
	}
	oversized := _part
	oversized.Size = peer.MaxParts*peer.MaxPartData + 1
	_, err = peer.DecodePart(oversized.Append(nil))
	assert.ErrorContains(t, err, "too large")
}

// TestMessagesRoundTrip checks that a Carried, a Verdict, a Question and a relay report are
// unchanged by encoding and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	carried := peer.Carried{
		Kind: peer.KindOffer, Hops: 3, LastResort: true, Waited: 250 * time.Millisecond, Origin: _addr,
		Service: peer.NewServiceID("orders"), Version: 7, Packet: []byte("packet"),
	}
	decoded, err := peer.DecodeCarried(carried.Append(nil))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Packet, carried.Packet)
	decoded.Packet, carried.Packet = nil, nil
	assert.Assert(t, decoded.Origin == carried.Origin && decoded.LastResort && decoded.Hops == 3 && decoded.Waited == carried.Waited &&
		decoded.Service == carried.Service && decoded.Version == 7)

	verdict := peer.Verdict{Outcome: peer.NotHeld, Sidecar: _addr, Flow: _key, Busy: 3, Slots: 2, Version: 9, Packet: []byte("x")}
	v, err := peer.DecodeVerdict(verdict.Append(nil))
	assert.NilError(t, err)
	assert.Assert(t, v.Flow == _key && v.Sidecar == _addr && v.Outcome == peer.NotHeld && v.Busy == 3 && v.Slots == 2 && v.Version == 9)

	question := peer.Question{Origin: _addr, Flow: _key, Ack: 501}
	q, err := peer.DecodeQuestion(question.Append(nil))
	assert.NilError(t, err)
	assert.Assert(t, q == question)

	b, err := peer.AppendRelay(nil, peer.RelayReport{Relay: _addr, Incarnation: 5, Sidecars: []netip.Addr{_addr}})
	assert.NilError(t, err)
	r, err := peer.DecodeRelay(b)
	assert.NilError(t, err)
	assert.Assert(t, r.Relay == _addr && r.Incarnation == 5 && r.Sidecars[0] == _addr)
}

// TestTraffic checks that bytes are counted by kind and zone, and that data which is not a
// message of a known kind is not counted.
func TestTraffic(t *testing.T) {
	var traffic peer.Traffic
	traffic.Add(_ask.Append(nil), true)
	traffic.Add(_ask.Append(nil), false)
	traffic.Add([]byte{byte(peer.KindOffer), 1, 2}, false)
	traffic.Add([]byte{0, 1}, false)
	traffic.Add(nil, true)
	ask := peer.KindAsk - peer.KindOffer
	assert.Assert(t, traffic.Near[ask] == traffic.Far[ask] && traffic.Near[ask] > 0 && traffic.Far[0] == 3)
	assert.Equal(t, peer.KindDefer.String(), "defer")
	assert.Equal(t, peer.Kind(3).String(), "unknown")
}

// FuzzDecode passes arbitrary bytes to the decoders. A message that is accepted must survive
// another round of encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add(peer.Carried{Kind: peer.KindCarry, Origin: _addr, Packet: []byte("p")}.Append(nil))
	f.Add(peer.Verdict{Outcome: peer.Held, Sidecar: _addr, Flow: _key}.Append(nil))
	f.Add(peer.Question{Origin: _addr, Flow: _key}.Append(nil))
	f.Add([]byte{byte(peer.KindUpstream), 0xa1, 1, 2})
	f.Add(_ask.Append(nil))
	f.Add(_part.Append(nil))
	f.Add(_defer.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		if c, err := peer.DecodeCarried(b); err == nil {
			assert.DeepEqual(t, c.Append(nil), b)
		}
		if q, err := peer.DecodeQuestion(b); err == nil {
			again, err := peer.DecodeQuestion(q.Append(nil))
			assert.NilError(t, err)
			assert.Assert(t, again == q)
		}
		if a, err := peer.DecodeAsk(b); err == nil {
			assert.DeepEqual(t, a.Append(nil)[1:], b[1:])
		}
		if p, err := peer.DecodePart(b); err == nil {
			_, err = peer.DecodePart(p.Append(nil))
			assert.NilError(t, err)
		}
		if d, err := peer.DecodeDefer(b); err == nil {
			_, err = peer.DecodeDefer(d.Append(nil))
			assert.NilError(t, err)
		}
		_, _ = peer.DecodeVerdict(b)
		_, _ = peer.DecodeUpstream(b)
		_, _ = peer.DecodeRelay(b)
	})
}
