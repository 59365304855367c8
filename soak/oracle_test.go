package soak

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// harness is a run without relays and sidecars. It carries packets directly between
// callers and upstreams, and tests inject faults into them.
type harness struct {
	*run
	t             *testing.T
	hostByService map[string]*vm
	// toUpstream and toCaller are the packets in flight.
	toUpstream, toCaller [][]byte
}

func newHarness(t *testing.T) *harness {
	inner, err := newRun(Config{Dir: t.TempDir(), Seed: 1, Relays: 0, Hosts: 3, CallsPerSecond: 1})
	assert.NilError(t, err)
	t.Cleanup(inner.close)
	h := &harness{run: inner, t: t, hostByService: make(map[string]*vm)}
	assert.NilError(t, h.writeConfiguration(_orders))
	for i := range 3 {
		v, err := h.newVM(i)
		assert.NilError(t, err)
		h.vms = append(h.vms, v)
		v.startUpstream()
		v.upstream.RunTime = func(string) time.Duration { return 0 }
		v.upstream.Send = func(packet []byte) { h.toCaller = append(h.toCaller, packet) }
		h.hostByService[v.service] = v
	}
	return h
}

// startCallTo starts a call to the address. Its packets go to toUpstream.
func (h *harness) startCallTo(address byte) *call {
	c := h.newCall(address)
	c.Send = func(packet []byte) { h.toUpstream = append(h.toUpstream, packet) }
	h.begin(c)
	return c
}

// deliverUntil delivers packets in flight between callers and the upstream of v, until
// the call has reached the state or after 100 rounds.
func (h *harness) deliverUntil(v *vm, c *call, state standin.CallState) {
	for range 100 {
		if c.State >= state {
			return
		}
		for len(h.toUpstream) > 0 {
			packet := h.toUpstream[0]
			h.toUpstream = h.toUpstream[1:]
			v.receivePacket(packet)
		}
		if v.upstream != nil {
			v.upstream.Tick(h.now())
		}
		for len(h.toCaller) > 0 {
			packet := h.toCaller[0]
			h.toCaller = h.toCaller[1:]
			h.receiveReply(packet)
			if c.State >= state {
				break
			}
		}
	}
}

// breaches returns the number of breaches of a promise, and fails the test if a different
// promise was broken.
func (h *harness) breaches(name string) int {
	h.t.Helper()
	report := h.report()
	count := 0
	for _, p := range report.Promises {
		if p.Name == name {
			count = len(p.Breaches)
			continue
		}
		assert.Assert(h.t, len(p.Breaches) == 0, "%s: %v", p.Name, p.Breaches)
	}
	return count
}

// TestReportWithoutBreaches delivers all packets of a call unchanged. The report must say
// that all promises were held.
func TestReportWithoutBreaches(t *testing.T) {
	h := newHarness(t)
	c := h.startCallTo(_ordersAddress)
	h.deliverUntil(h.hostByService[_orders], c, standin.CallAnswered)
	assert.Equal(t, c.State, standin.CallAnswered)
	assert.Equal(t, h.breaches(_noReset), 0)
	var b strings.Builder
	h.report().Print(&b)
	assert.Assert(t, !h.report().Broken() && strings.Contains(b.String(), "held"), b.String())
}

// TestResetOfHeldFlowIsBreach sends a caller two resets while the upstream still holds
// its flow. Both must count as breaches, also the first, which the caller ignores because
// it is outside of the window.
func TestResetOfHeldFlowIsBreach(t *testing.T) {
	h := newHarness(t)
	c := h.startCallTo(_ordersAddress)
	h.deliverUntil(h.hostByService[_orders], c, standin.CallOpen)
	packets := h.toUpstream
	h.toUpstream = nil
	for _, packet := range packets {
		h.hostByService[_orders].receivePacket(packet)
	}
	h.receiveReply(platform.PacketWire{}.AppendReset(nil, c.Key, 1))
	assert.Equal(t, c.State, standin.CallOpen, "a reset outside of the window must not end the call")
	p, _ := standin.DecodeOpaque(packets[0])
	h.receiveReply(platform.PacketWire{}.AppendReset(nil, c.Key, p.Ack))
	assert.Equal(t, h.breaches(_noReset), 2, "each reset must count, also the one that the caller ignores")
}

// TestResetAfterUpstreamCrashIsAllowed resets an open flow after its upstream has crashed.
// No upstream holds the flow any more, so the reset must not count as a breach.
func TestResetAfterUpstreamCrashIsAllowed(t *testing.T) {
	h := newHarness(t)
	c := h.startCallTo(_ordersAddress)
	h.deliverUntil(h.hostByService[_orders], c, standin.CallOpen)
	p, _ := standin.DecodeOpaque(h.toUpstream[0])
	h.hostByService[_orders].upstream = nil
	h.receiveReply(platform.PacketWire{}.AppendReset(nil, c.Key, p.Ack))
	assert.Equal(t, c.State, standin.CallReset)
	assert.Equal(t, h.breaches(_noReset), 0)
}

func TestFlowAtWrongServiceIsBreach(t *testing.T) {
	h := newHarness(t)
	c := h.startCallTo(_ordersAddress)
	h.deliverUntil(h.hostByService[_photos], c, standin.CallAnswered)
	assert.Equal(t, h.breaches(_rightService), 1)
}

func TestAlteredPacketIsBreach(t *testing.T) {
	h := newHarness(t)
	c := h.startCallTo(_ordersAddress)
	h.deliverUntil(h.hostByService[_orders], c, standin.CallOpen)
	h.toUpstream[len(h.toUpstream)-1][36] ^= 1 // the first byte of data
	h.deliverUntil(h.hostByService[_orders], c, standin.CallAnswered)
	assert.Equal(t, h.breaches(_unaltered), 1)
}

// TestNewFlowAfterDrainIsBreach opens a flow at an upstream 1 s after the sidecar has
// acknowledged the upstream's drain. This must count as one breach.
func TestNewFlowAfterDrainIsBreach(t *testing.T) {
	h := newHarness(t)
	h.startTime = h.startTime.Add(-time.Minute)
	c := h.startCallTo(_ordersAddress)
	h.hostByService[_orders].drainAcked = h.now() - time.Second
	h.deliverUntil(h.hostByService[_orders], c, standin.CallAnswered)
	assert.Equal(t, h.breaches(_noFlowAfterDrain), 1)
}

// TestSecondExecutionIsBreach makes an upstream run the request of a call twice. This must
// count as one breach.
func TestSecondExecutionIsBreach(t *testing.T) {
	h := newHarness(t)
	c := h.startCallTo(_ordersAddress)
	h.deliverUntil(h.hostByService[_orders], c, standin.CallOpen)
	request := h.toUpstream[len(h.toUpstream)-1]
	h.deliverUntil(h.hostByService[_orders], c, standin.CallAnswered)
	// Sends the same request on a second flow to the same upstream.
	v := h.hostByService[_orders]
	p, _ := standin.DecodeOpaque(request)
	p.Source = netip.AddrPortFrom(p.Source.Addr(), 60_000)
	opening := standin.OpaquePacket{Packet: flow.Packet{Source: p.Source, Destination: p.Destination, Flags: flow.SYN, Seq: p.Seq - 1}}
	v.receivePacket(opening.Encode())
	synAck, _ := standin.DecodeOpaque(h.toCaller[len(h.toCaller)-1])
	p.Ack = synAck.Seq + 1
	v.receivePacket(p.Encode())
	assert.Equal(t, h.breaches(_atMostOnce), 1)
}

// TestOutdatedRouteIsBreach changes the expected service of an address after an upstream of
// the previous service has answered a call. This must count as one breach.
func TestOutdatedRouteIsBreach(t *testing.T) {
	h := newHarness(t)
	h.config.FaultDuration = -time.Hour // every call starts after the faults
	c := h.startCallTo(_switchedAddress)
	h.deliverUntil(h.hostByService[_orders], c, standin.CallAnswered)
	h.calls = []*call{c}
	assert.Equal(t, h.breaches(_lastConfig), 0)
	h.switchedService = _photos
	assert.Equal(t, h.breaches(_lastConfig), 1)
}

// lossyStore loses the answer to the first write, which does not take effect.
type lossyStore struct {
	platform.Store
	lost bool
}

// Put implements platform.Store.
func (s *lossyStore) Put(ctx context.Context, key string, value json.RawMessage, expected platform.Version) (platform.Version, error) {
	if !s.lost {
		s.lost = true
		return 0, &platform.AmbiguousError{Op: "put", Key: key, Err: context.DeadlineExceeded}
	}
	return s.Store.Put(ctx, key, value, expected)
}

// TestAmbiguousWriteIsResolved loses the answer to a write that has no effect. The run
// must not take the stored configuration for the one that it wrote.
func TestAmbiguousWriteIsResolved(t *testing.T) {
	h := newHarness(t)
	h.objects = &lossyStore{Store: h.objects}
	assert.NilError(t, h.writeConfiguration(_photos))
	object, err := h.client.Get(t.Context(), platform.ConfigurationKey)
	assert.NilError(t, err)
	table, _, err := platform.DecodeConfiguration(object.Value)
	assert.NilError(t, err)
	assert.Assert(t, table.Allows(h.serviceAddress(_switchedAddress), _photos), "the stored configuration routes to %s", _orders)
	assert.Equal(t, h.objectVersion, object.Version)
}

// TestRefusedUrgentRequestsAreBreach records requests of an overload. It must be a breach that all
// urgent requests of a second were refused while others were accepted, and none otherwise.
func TestRefusedUrgentRequestsAreBreach(t *testing.T) {
	refused, answered := endedRequest{urgent: true, refused: true}, endedRequest{urgent: true, answered: true}
	other, otherRefused := endedRequest{answered: true}, endedRequest{refused: true}
	for _, tt := range []struct {
		name     string
		others   []endedRequest
		breached bool
	}{
		{"others accepted", []endedRequest{other}, true},
		{"others refused", []endedRequest{otherRefused}, false},
		{"one urgent request answered", []endedRequest{other, answered}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.overloadAt = time.Second
			h.requests = tt.others
			for range _minRefused {
				h.requests = append(h.requests, refused)
			}
			for i := range h.requests {
				h.requests[i].began = h.overloadAt + _overloadWarmup + time.Second/2
			}
			assert.Equal(t, h.breaches(_byPriority) > 0, tt.breached)
		})
	}
}

// TestLongLivedFlowStaysOpen sends two requests on a long-lived flow. Both must be answered, and the
// flow closed afterwards.
func TestLongLivedFlowStaysOpen(t *testing.T) {
	h := newHarness(t)
	v := h.hostByService[_orders]
	c := h.newCall(_ordersAddress)
	c.Send = func(packet []byte) { h.toUpstream = append(h.toUpstream, packet) }
	c.LongLived, c.requestsLeft, c.Size = true, 1, _maxRequestSize
	h.begin(c)
	h.deliverUntil(v, c, standin.CallIdle)
	c.proceed(h.now())
	assert.Equal(t, c.State, standin.CallOpen)
	h.deliverUntil(v, c, standin.CallIdle)
	c.proceed(h.now())
	assert.Equal(t, c.State, standin.CallAnswered)
	assert.Equal(t, len(h.executions), 2)
	assert.Equal(t, h.breaches(_noReset), 0)
}

func TestUnansweredCallAfterFaultsIsBreach(t *testing.T) {
	h := newHarness(t)
	h.config.FaultDuration = -time.Hour
	c := h.startCallTo(_ordersAddress)
	h.calls = []*call{c}
	assert.Equal(t, h.breaches(_recovery), 1)
}
