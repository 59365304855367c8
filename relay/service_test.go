package relay_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/relay"
)

// sentOffer is an offer as its receiver sees it.
type sentOffer struct {
	to      netip.Addr
	service peer.ServiceID
	version uint64
	waited  time.Duration
}

// offers returns the recorded offers, in order.
func (c *testCore) offers() []sentOffer {
	var offers []sentOffer
	for _, m := range c.messages {
		if m.kind == peer.KindOffer {
			carried, err := peer.DecodeCarried(m.body)
			assert.NilError(c.t, err)
			offers = append(offers, sentOffer{m.to, carried.Service, carried.Version, carried.Waited})
		}
	}
	return offers
}

// assertOffered checks that one offer was recorded.
func (c *testCore) assertOffered(to netip.Addr, service string, version uint64, waited time.Duration) {
	c.t.Helper()
	offers := c.offers()
	assert.Equal(c.t, len(offers), 1)
	assert.Equal(c.t, offers[0], sentOffer{to, peer.NewServiceID(service), version, waited})
}

// sendServiceReport sends the first report of an incarnation of the sidecar at addr, beside
// a ready upstream of the given service.
func (c *testCore) sendServiceReport(now time.Duration, addr netip.Addr, incarnation uint64, service string) {
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: addr, Incarnation: incarnation, Sequence: 1, Service: service, Zone: "a", State: peer.Ready, Slots: 2,
	})
	assert.NilError(c.t, err)
	c.PeerMessage(now, b)
}

// setShares puts a version in force in which the route has the given shares, or in which
// there is no route if there are none.
func (c *testCore) setShares(now time.Duration, version uint64, shares ...directory.Share) {
	c.SetTable(now, directory.New(version, 0, []directory.Route{{Address: _address, Shares: shares}}), "test")
}

// newTwoServiceCore returns a core that knows a route to the service orders, a sidecar of
// this service, and one of the service photos.
func newTwoServiceCore(t *testing.T) *testCore {
	c := newTestCore(t)
	c.setTable(_afterStartup, 1)
	c.sendServiceReport(_afterStartup, _firstSidecar, 1, "orders")
	c.sendServiceReport(_afterStartup, _secondSidecar, 1, "photos")
	c.Tick(_afterStartup)
	c.clearSent()
	return c
}

// TestSidecarOfOtherServiceIsLogged passes an address on to a sidecar of another service.
func TestSidecarOfOtherServiceIsLogged(t *testing.T) {
	c := newTwoServiceCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.sendServiceReport(_afterStartup, _firstSidecar, 2, "orders")
	c.sendServiceReport(_afterStartup, _farSidecar, 1, "orders")
	c.beliefs, c.decisions = nil, nil
	c.sendServiceReport(_afterStartup, _firstSidecar, 3, "photos")
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 1, 0))
	assert.DeepEqual(t, c.beliefs[0], decision.Belief{
		Subject: decision.IdentitySubject, Name: _firstSidecar.String(), From: "orders", To: "photos", Reason: "sidecar_changed_service", Version: 1,
	})
	placed := c.decisions[0]
	assert.Equal(t, placed.Action, decision.Placed)
	assert.Equal(t, placed.Reason, "sidecar_of_other_service")
	assert.Equal(t, placed.Service, "orders")
	assert.Assert(t, !placed.Routine)
}

// refuseTwice lets the only sidecar that is left refuse an offer and the last resort.
func (c *testCore) refuseTwice(now time.Duration, addr netip.Addr) {
	for range 2 {
		c.clearSent()
		c.sendVerdict(now, addr, peer.Refused, encodePacket(flow.SYN, 10, 0, 0))
	}
	assert.Equal(c.t, len(c.offers()), 0, "no sidecar is left")
}

// runUntil lets the time pass in ticks, from from to until.
func (c *testCore) runUntil(from, until time.Duration) {
	for now := from; now < until; now += 20 * time.Millisecond {
		c.Tick(now)
	}
}

// TestRepeatedOpeningIsNotOfferedToOtherService guards against offers that are labelled with
// the service that a sidecar has now, instead of the one that was chosen for the flow.
func TestRepeatedOpeningIsNotOfferedToOtherService(t *testing.T) {
	const repeatedAfter = 200 * time.Millisecond
	c := newTwoServiceCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.sendVerdict(_afterStartup, _firstSidecar, peer.Accepted, nil)
	c.sendServiceReport(_afterStartup+100*time.Millisecond, _firstSidecar, 2, "photos")
	c.sendServiceReport(_afterStartup+100*time.Millisecond, _farSidecar, 1, "orders")
	c.clearSent()
	c.CallerPacket(_afterStartup+repeatedAfter, encodePacket(flow.SYN, 10, 1, 0))
	c.assertOffered(_farSidecar, "orders", 1, repeatedAfter)
}

// TestRepeatedOpeningFollowsRoute guards against repeated openings that go to a service to
// which the route has ceased to lead.
func TestRepeatedOpeningFollowsRoute(t *testing.T) {
	const repeatedAfter = 200 * time.Millisecond
	t.Run("moved", func(t *testing.T) {
		c := newTwoServiceCore(t)
		c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
		c.sendVerdict(_afterStartup, _firstSidecar, peer.Accepted, nil)
		c.setShares(_afterStartup, 2, directory.Share{Service: "photos", Weight: 1})
		c.clearSent()
		c.CallerPacket(_afterStartup+repeatedAfter, encodePacket(flow.SYN, 10, 1, 0))
		c.assertOffered(_secondSidecar, "photos", 2, repeatedAfter)
		c.refuseTwice(_afterStartup+repeatedAfter, _secondSidecar)
		assert.Equal(t, len(c.toCaller), 0, "the flow may be open at the first upstream, where it stays")
	})
	t.Run("dropped", func(t *testing.T) {
		c := newTwoServiceCore(t)
		c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
		c.setShares(_afterStartup, 2)
		c.clearSent()
		c.CallerPacket(_afterStartup+repeatedAfter, encodePacket(flow.SYN, 10, 1, 0))
		assert.Equal(t, len(c.offers()), 0)
		assert.Equal(t, len(c.toCaller), 1)
	})
}

// TestRetriedOfferCarriesTheVersionOfItsChoice changes the weights of a route while an offer
// is unanswered. The choice stays allowed, but the newer version would not make it.
func TestRetriedOfferCarriesTheVersionOfItsChoice(t *testing.T) {
	c := newServingCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.setShares(_afterStartup, 2,
		directory.Share{Service: "photos", Weight: directory.MaxWeight}, directory.Share{Service: "orders", Weight: 1})
	c.runUntil(_afterStartup, _afterStartup+200*time.Millisecond)
	offers := c.offers()
	assert.Assert(t, len(offers) >= 2, "%v", offers)
	for _, o := range offers {
		assert.Equal(t, o.service, peer.NewServiceID("orders"))
		assert.Equal(t, o.version, uint64(1), "version 2 chooses another service")
	}
}

// TestRetriedOfferFollowsRoute guards against offers that are tried again for a service to
// which the route has ceased to lead.
func TestRetriedOfferFollowsRoute(t *testing.T) {
	syn := encodePacket(flow.SYN, 10, 0, 0)
	for _, tt := range []struct {
		name  string
		retry func(c *testCore)
		// mayBeOpen is set if a sidecar may have accepted the flow.
		mayBeOpen bool
	}{
		{"unanswered", func(c *testCore) { c.runUntil(_afterStartup, _afterStartup+120*time.Millisecond) }, true},
		{"refused", func(c *testCore) { c.sendVerdict(_afterStartup, c.offers()[0].to, peer.Refused, syn) }, false},
		{"overloaded", func(c *testCore) { c.sendVerdict(_afterStartup, c.offers()[0].to, peer.Overloaded, syn) }, false},
	} {
		t.Run(tt.name+", route moved", func(t *testing.T) {
			c := newServingCore(t)
			c.sendServiceReport(_afterStartup, _farSidecar, 1, "photos")
			c.CallerPacket(_afterStartup, syn)
			c.setShares(_afterStartup, 2, directory.Share{Service: "photos", Weight: 1})
			tt.retry(c)
			offers := c.offers()
			assert.Assert(t, len(offers) >= 2, "%v", offers)
			assert.Equal(t, offers[1].to, _farSidecar)
			assert.Equal(t, offers[1].service, peer.NewServiceID("photos"))
			assert.Equal(t, offers[1].version, uint64(2))
			c.refuseTwice(_afterStartup+120*time.Millisecond, _farSidecar)
			assert.Equal(t, len(c.toCaller) == 0, tt.mayBeOpen)
		})
		t.Run(tt.name+", route moved to a service without upstreams", func(t *testing.T) {
			c := newServingCore(t)
			c.CallerPacket(_afterStartup, syn)
			c.setShares(_afterStartup, 2, directory.Share{Service: "photos", Weight: 1})
			tt.retry(c)
			assert.Equal(t, len(c.offers()), 1)
			assert.Equal(t, len(c.toCaller) == 0, tt.mayBeOpen)
		})
		t.Run(tt.name+", route dropped", func(t *testing.T) {
			c := newServingCore(t)
			c.CallerPacket(_afterStartup, syn)
			c.setShares(_afterStartup, 2)
			tt.retry(c)
			assert.Equal(t, len(c.offers()), 1)
			assert.Equal(t, len(c.toCaller), 1)
		})
	}
}

// TestLateAcceptanceOfFormerSidecarDoesNotAttractOpenings delivers the acceptance of a
// sidecar after the report of its successor, which has another service.
func TestLateAcceptanceOfFormerSidecarDoesNotAttractOpenings(t *testing.T) {
	c := newTwoServiceCore(t)
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.sendServiceReport(_afterStartup, _firstSidecar, 2, "photos")
	c.sendServiceReport(_afterStartup, _farSidecar, 1, "orders")
	c.sendVerdict(_afterStartup, _firstSidecar, peer.Accepted, nil)
	c.clearSent()
	c.CallerPacket(_afterStartup+time.Millisecond, encodePacket(flow.SYN, 10, 1, 0))
	c.assertOffered(_farSidecar, "orders", 1, time.Millisecond)
}

// TestDelayedReportDoesNotChangeLabels delivers a report of an earlier incarnation, of
// another service, after the address has passed on. What the relay offers there meanwhile
// must be labelled so that the sidecar refuses it, and the relay must notice its error.
func TestDelayedReportDoesNotChangeLabels(t *testing.T) {
	c := newTwoServiceCore(t)
	c.sendServiceReport(_afterStartup, _firstSidecar, 3, "photos")
	c.sendServiceReport(_afterStartup, _firstSidecar, 2, "orders") // delayed
	c.CallerPacket(_afterStartup, encodePacket(flow.SYN, 10, 0, 0))
	c.assertOffered(_firstSidecar, "orders", 1, 0)
	b, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: _firstSidecar, Incarnation: 3, Sequence: 2, Service: "photos", Zone: "a", State: peer.Ready, Slots: 2,
	})
	assert.NilError(t, err)
	c.PeerMessage(_afterStartup+2*time.Second, b)
	c.clearSent()
	c.CallerPacket(_afterStartup+2*time.Second, encodePacket(flow.SYN, 11, 0, 0))
	assert.Equal(t, len(c.offers()), 0)
}

// BenchmarkOpening measures the first and a repeated copy of the opening packet of a flow.
func BenchmarkOpening(b *testing.B) {
	c := relay.NewCore(relay.Identity{Addr: _selfRelay, Zone: "a", Incarnation: 1}, testWire{}, &discardOutbox{}, 1000, rand.New(rand.NewPCG(1, 1)))
	c.SetTable(0, directory.New(1, 0, []directory.Route{{Address: _address, Shares: []directory.Share{{Service: "orders", Weight: 1}}}}), "test")
	report, err := peer.AppendUpstream(nil, peer.UpstreamReport{
		Sidecar: _firstSidecar, Incarnation: 1, Sequence: 1, Service: "orders", Zone: "a", State: peer.Ready, Slots: 2,
	})
	assert.NilError(b, err)
	c.PeerMessage(0, report)
	opening := binary.BigEndian.AppendUint16(encodePacket(flow.SYN, 10, 0, 0), 0)
	b.ReportAllocs()
	for port := uint16(1); b.Loop(); port++ {
		binary.BigEndian.PutUint16(opening[10:], port)
		c.CallerPacket(0, opening)
		c.CallerPacket(0, opening)
		key := flow.Key{Caller: netip.AddrPortFrom(_caller.Addr(), port), Address: _address}
		c.PeerMessage(0, peer.Verdict{Outcome: peer.Accepted, Sidecar: _firstSidecar, Flow: key, Slots: 2}.Append(nil))
	}
}
