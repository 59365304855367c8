package relay

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
)

// PeerMessage handles a datagram from another relay or a sidecar.
func (c *Core) PeerMessage(now time.Duration, message []byte) {
	if len(message) == 0 {
		c.counts.Malformed++
		return
	}
	var err error
	switch peer.Kind(message[0]) {
	case peer.KindVerdict:
		var v peer.Verdict
		if v, err = peer.DecodeVerdict(message); err == nil {
			c.handleVerdict(now, v)
		}
	case peer.KindUpstream:
		var r peer.UpstreamReport
		if r, err = peer.DecodeUpstream(message); err == nil {
			c.handleUpstreamReport(now, r)
		}
	case peer.KindRelay:
		var r peer.RelayReport
		if r, err = peer.DecodeRelay(message); err == nil {
			c.handleRelayReport(now, r)
		}
	case peer.KindAsk, peer.KindPart, peer.KindDefer:
		c.handleConfiguration(now, message)
	case peer.KindRefusal:
		var r peer.Refusal
		if r, err = peer.DecodeRefusal(message); err == nil {
			c.returning.add(now, r.Caller, arrival{first: now - r.Waited, retries: int(r.Retries)})
		}
	default:
		c.counts.Malformed++
		return
	}
	if err != nil {
		c.counts.Malformed++
	}
}

func (c *Core) handleUpstreamReport(now time.Duration, r peer.UpstreamReport) {
	u, change := c.view.Report(now, r)
	if change.Stale {
		return
	}
	c.noteVersion(now, r.Version, r.Sidecar)
	if change.FromService != "" && change.FromService != u.Service {
		c.out.LogBelief(decision.Belief{
			Subject: decision.IdentitySubject, Name: r.Sidecar.String(), From: change.FromService, To: u.Service,
			Reason: "sidecar_changed_service", Version: r.Sequence,
		})
	}
	if change.New {
		c.lastNewSidecar = now
		// The report names sidecars of the same service. The new sidecar then reports to
		// them, and they report to it.
		c.reportTo(now, r.Sidecar, r.Service, c.namesToNewProcess())
	}
	// The first report of a sidecar whose upstream is absent adds no upstream.
	if change.From != u.State || change.New && u.State != peer.Absent {
		c.out.LogBelief(decision.Belief{
			Subject: "upstream", Name: r.Sidecar.String(), From: change.From.String(), To: u.State.String(),
			Reason: "report of " + r.Service, Version: r.Sequence,
		})
		c.offerParked(now)
	}
}

func (c *Core) handleRelayReport(now time.Duration, r peer.RelayReport) {
	if r.Relay == c.self.Addr {
		return
	}
	_, change := c.view.ReportRelay(now, r)
	if change.Stale {
		return
	}
	c.noteVersion(now, r.Version, r.Relay)
	c.noteStore(now, r)
	if set, err := r.Evacuations(); err == nil { // checked when the report was decoded
		c.handleEvacuations(now, set, "relay "+r.Relay.String())
	}
	c.AddRelays(now, r.Relays)
	for _, addr := range r.Sidecars {
		if c.view.Introduce(now, addr) {
			c.reportTo(now, addr, "", 0) // the sidecar answers with a report of its own
		}
	}
	if change.New {
		c.out.LogBelief(decision.Belief{Subject: "relay", Name: r.Relay.String(), To: "heard", Reason: "report", Version: r.Sequence})
		c.reportTo(now, r.Relay, "", c.namesToNewProcess())
	}
}

// noteStore records what a report tells of the store. A sender that does not distinguish
// epochs may ignore what it reads after the store was restored, so its reads do not
// replace those of this relay.
func (c *Core) noteStore(now time.Duration, r peer.RelayReport) {
	readAge := r.ReadAge
	if r.StoreEpoch == 0 {
		readAge = _unknownAge
	}
	c.storeEpoch = max(c.storeEpoch, min(r.StoreEpoch, math.MaxUint16+1))
	c.storeReads.noteReport(now, readAge, r.AttemptAge, c.view.RelayCount()+1, c.random)
}

// handleVerdict handles a sidecar's answer to an offer, a carried packet or a question.
func (c *Core) handleVerdict(now time.Duration, v peer.Verdict) {
	c.view.Answered(now, v.Sidecar, int(v.Busy), int(v.Slots))
	c.noteVersion(now, v.Version, v.Sidecar)
	f := c.flows.Get(v.Flow)
	switch v.Outcome {
	case peer.Accepted:
		c.handleAccepted(now, v, f)
	case peer.Refused, peer.Overloaded:
		c.handleRefused(now, v)
	case peer.Held:
		c.handleHeld(now, v, f)
	case peer.Ended:
		if f != nil && f.firstOffered > 0 {
			c.noteRefused(now, v.Flow.Caller.Addr(), f.arrival)
		}
		delete(c.offers, v.Flow)
		c.flows.Delete(v.Flow)
	case peer.NotHeld, peer.Unsure:
		c.handleDenial(now, v, f)
	}
}

// handleAccepted records that a sidecar has accepted the opening packet of a flow and now
// holds the flow. If the offer was passed on between sidecars, v.Sidecar is not the
// sidecar to which this relay sent the offer.
func (c *Core) handleAccepted(now time.Duration, v peer.Verdict, f *flowState) {
	if o, ok := c.offers[v.Flow]; ok {
		u := c.view.Upstream(o.tried[len(o.tried)-1])
		if u != nil && u.Sidecar != v.Sidecar {
			u.Busy = max(u.Busy-1, 0) // the offer was passed on to another sidecar
		}
		c.out.ObserveSpan(decision.OfferAnswered, now-o.lastSent)
		c.offerRTT.observe(now - o.lastSent)
		if o.throttle != nil {
			o.throttle.noteAccepted(now, o.overloaded)
		}
		if u != nil && c.priorityAdmission {
			c.noteAccepted(now, o, u.Zone, u.Sidecar != v.Sidecar)
		}
		delete(c.offers, v.Flow)
	}
	if f == nil {
		f = &flowState{}
		c.flows.Put(v.Flow, f)
	}
	f.holder = v.Sidecar
	if v.Busy <= v.Slots {
		f.deliveredAt = now
	}
}

// handleRefused offers the opening packet of a flow elsewhere after a sidecar has
// refused it.
func (c *Core) handleRefused(now time.Duration, v peer.Verdict) {
	o, ok := c.offers[v.Flow]
	if !ok {
		// The sidecar accepted the flow earlier and now returns the opening packet.
		if len(v.Packet) == 0 {
			return
		}
		service, routed := c.table.Service(v.Flow)
		if !routed {
			c.sendReset(now, v.Flow, 0, "no_route")
			return
		}
		o = &offer{
			packet: slices.Clone(v.Packet), choice: choice{service: service, version: c.table.Version()}, arrival: arrival{first: now},
		}
		if f := c.flows.Get(v.Flow); f != nil && f.firstOffered > 0 {
			o.arrival = f.arrival
		}
		c.offers[v.Flow] = o
	}
	o.unanswered = slices.DeleteFunc(o.unanswered, func(a netip.Addr) bool { return a == v.Sidecar })
	if v.Outcome == peer.Overloaded && c.priorityAdmission {
		c.noteOverloaded(now, o)
	}
	if !slices.Contains(o.tried, v.Sidecar) {
		o.tried = append(o.tried, v.Sidecar)
	}
	if v.Outcome == peer.Overloaded {
		c.countOverloaded(now, v.Sidecar, o)
		if c.endsWithoutRoom(now, o) {
			delete(c.offers, v.Flow)
			c.endRefused(now, v.Flow, o)
			return
		}
	}
	if v.Outcome == peer.Overloaded && !o.lastResort {
		// The sidecar's peers are overloaded too, so the next offer is a last resort.
		o.lastResort, o.tried = true, slices.Clone(o.unanswered)
	}
	c.placeOffer(now, v.Flow, o)
}
