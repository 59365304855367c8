package soak

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// rig is a run without processes: what callers send goes straight to an upstream,
// and back, unless a test does something wrong with it on the way.
type rig struct {
	*run
	t     *testing.T
	hosts map[string]*vm
	// toUpstream and toCaller are packets on their way.
	toUpstream, toCaller [][]byte
}

func newRig(t *testing.T) *rig {
	inner, err := newRun(Config{Dir: t.TempDir(), Seed: 1, Relays: 0, Hosts: 3, CallsPerSecond: 1})
	assert.NilError(t, err)
	t.Cleanup(inner.close)
	r := &rig{run: inner, t: t, hosts: make(map[string]*vm)}
	assert.NilError(t, r.configure(_orders))
	for i := range 3 {
		v, err := r.newVM(i)
		assert.NilError(t, err)
		r.vms = append(r.vms, v)
		v.startUpstream()
		v.upstream.Work = func() time.Duration { return 0 }
		v.upstream.Send = func(packet []byte) { r.toCaller = append(r.toCaller, packet) }
		r.hosts[v.service] = v
	}
	return r
}

// start starts a call to an address.
func (r *rig) start(address byte) *call {
	for {
		r.call()
		c := r.calls[len(r.calls)-1]
		if c.Key.Address != r.address(address) {
			continue
		}
		c.Send = func(packet []byte) { r.toUpstream = append(r.toUpstream, packet) }
		c.Start(r.now(), 7)
		return c
	}
}

// pump carries packets between callers and the upstream on v until there are none,
// or until the call has a state.
func (r *rig) pump(v *vm, c *call, until standin.CallState) {
	for range 100 {
		if c.State >= until {
			return
		}
		for len(r.toUpstream) > 0 {
			packet := r.toUpstream[0]
			r.toUpstream = r.toUpstream[1:]
			v.takePacket(packet)
		}
		if v.upstream != nil {
			v.upstream.Tick(r.now())
		}
		for len(r.toCaller) > 0 {
			packet := r.toCaller[0]
			r.toCaller = r.toCaller[1:]
			r.takeReply(packet)
			if c.State >= until {
				break
			}
		}
	}
}

// breaches returns the breaches of a promise, and fails if others were broken.
func (r *rig) breaches(name string) int {
	r.t.Helper()
	report := r.report()
	count := 0
	for _, p := range report.Promises {
		if p.Name == name {
			count = len(p.Breaches)
			continue
		}
		assert.Assert(r.t, len(p.Breaches) == 0, "%s: %v", p.Name, p.Breaches)
	}
	return count
}

func TestNothingIsBroken(t *testing.T) {
	r := newRig(t)
	c := r.start(_ordersAddress)
	r.pump(r.hosts[_orders], c, standin.CallAnswered)
	assert.Equal(t, c.State, standin.CallAnswered)
	assert.Equal(t, r.breaches(_flowsKept), 0)
	var b strings.Builder
	r.report().Print(&b)
	assert.Assert(t, !r.report().Broken() && strings.Contains(b.String(), "held"), b.String())
}

func TestResetOfALivingFlowIsFound(t *testing.T) {
	r := newRig(t)
	c := r.start(_ordersAddress)
	r.pump(r.hosts[_orders], c, standin.CallOpen)
	packets := r.toUpstream
	r.toUpstream = nil
	for _, packet := range packets {
		r.hosts[_orders].takePacket(packet)
	}
	r.takeReply(platform.PacketWire{}.AppendReset(nil, c.Key, 1))
	assert.Equal(t, c.State, standin.CallOpen, "out of window")
	p, _ := standin.DecodeOpaque(packets[0])
	r.takeReply(platform.PacketWire{}.AppendReset(nil, c.Key, p.Ack))
	assert.Equal(t, r.breaches(_flowsKept), 2, "nobody may send one, whether the caller takes it or not")
}

func TestResetOfADeadFlowIsRight(t *testing.T) {
	r := newRig(t)
	c := r.start(_ordersAddress)
	r.pump(r.hosts[_orders], c, standin.CallOpen)
	p, _ := standin.DecodeOpaque(r.toUpstream[0])
	r.hosts[_orders].upstream = nil
	r.takeReply(platform.PacketWire{}.AppendReset(nil, c.Key, p.Ack))
	assert.Equal(t, c.State, standin.CallReset)
	assert.Equal(t, r.breaches(_flowsKept), 0)
}

func TestFlowAtAnotherServiceIsFound(t *testing.T) {
	r := newRig(t)
	c := r.start(_ordersAddress)
	r.pump(r.hosts[_photos], c, standin.CallAnswered)
	assert.Equal(t, r.breaches(_ownService), 1)
}

func TestChangedPacketsAreFound(t *testing.T) {
	r := newRig(t)
	c := r.start(_ordersAddress)
	r.pump(r.hosts[_orders], c, standin.CallOpen)
	r.toUpstream[len(r.toUpstream)-1][36] ^= 1 // the first byte of data
	r.pump(r.hosts[_orders], c, standin.CallAnswered)
	assert.Equal(t, r.breaches(_unchanged), 1)
}

func TestFlowAfterADrainIsFound(t *testing.T) {
	r := newRig(t)
	r.began = r.began.Add(-time.Minute)
	c := r.start(_ordersAddress)
	r.hosts[_orders].drained = r.now() - time.Second
	r.pump(r.hosts[_orders], c, standin.CallAnswered)
	assert.Equal(t, r.breaches(_drained), 1)
}

func TestSecondRunIsFound(t *testing.T) {
	r := newRig(t)
	c := r.start(_ordersAddress)
	r.pump(r.hosts[_orders], c, standin.CallOpen)
	request := r.toUpstream[len(r.toUpstream)-1]
	r.pump(r.hosts[_orders], c, standin.CallAnswered)
	// The same request on a second flow to the same upstream.
	v := r.hosts[_orders]
	p, _ := standin.DecodeOpaque(request)
	p.Source = netip.AddrPortFrom(p.Source.Addr(), 60_000)
	opening := standin.OpaquePacket{Packet: flow.Packet{Source: p.Source, Destination: p.Destination, Flags: flow.SYN, Seq: p.Seq - 1}}
	v.takePacket(opening.Encode())
	consent, _ := standin.DecodeOpaque(r.toCaller[len(r.toCaller)-1])
	p.Ack = consent.Seq + 1
	v.takePacket(p.Encode())
	assert.Equal(t, r.breaches(_once), 1)
}

func TestOldConfigurationIsFound(t *testing.T) {
	r := newRig(t)
	r.config.Faults = -time.Hour // all calls are after the faults
	c := r.start(_flipping)
	r.pump(r.hosts[_orders], c, standin.CallAnswered)
	r.calls = []*call{c}
	assert.Equal(t, r.breaches(_inForce), 0)
	r.flip = _photos
	assert.Equal(t, r.breaches(_inForce), 1)
}

func TestCallThatIsNotServedAfterTheFaultsIsFound(t *testing.T) {
	r := newRig(t)
	r.config.Faults = -time.Hour
	c := r.start(_ordersAddress)
	r.calls = []*call{c}
	assert.Equal(t, r.breaches(_servedAgain), 1)
}
