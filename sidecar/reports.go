package sidecar

import (
	"math"
	"net/netip"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
)

// handleRelayReport handles a relay's report, which may name other relays and sidecars of
// this sidecar's service.
func (c *Core) handleRelayReport(now time.Duration, r peer.RelayReport) {
	_, change := c.view.ReportRelay(now, r)
	if change.Stale {
		return
	}
	c.noteVersion(now, r.Version, r.Relay)
	if set, err := r.Evacuations(); err == nil { // checked when the report was decoded
		c.updateEvacuations(now, c.evacuations.With(now, set), "relay "+r.Relay.String())
	}
	c.fleetSize = int(r.SidecarCount)
	c.AddRelays(now, r.Relays)
	for _, addr := range r.Sidecars {
		if addr != c.self.Addr && c.view.Introduce(now, addr) {
			c.reportTo(addr)
		}
	}
	if change.New {
		c.out.LogBelief(decision.Belief{Subject: "relay", Name: r.Relay.String(), To: "heard", Reason: "report", Version: r.Sequence})
		c.reportTo(r.Relay)
	}
}

// handlePeerReport handles the report of another sidecar. If that sidecar is a peer with
// free slots, it gets waiting flows.
func (c *Core) handlePeerReport(now time.Duration, r peer.UpstreamReport) {
	_, change := c.view.Report(now, r)
	if change.Stale || r.Service != c.self.Service {
		return
	}
	if change.New {
		c.reportTo(r.Sidecar)
	}
	c.passWaitingTo(r)
}

// reportIfDue sends reports to peers and to relays if their longest interval has passed,
// or if the load or the capacity by priority has changed and their shortest interval has passed. The shortest
// intervals grow with the number of receivers. The longest interval between reports to
// relays grows with the fleet.
func (c *Core) reportIfDue(now time.Duration) {
	peers := min(len(c.view.Service(c.self.Service)), _maxNeighbours)
	minPeerInterval := max(_minPeerInterval, time.Duration(peers)*time.Second/_maxReportsPerSecond)
	if since := now - c.lastReports.peersAt; since >= _maxPeerInterval || (since >= minPeerInterval && c.peersReportOutdated()) {
		c.reportToPeers(now)
	}
	maxRelayInterval, fleetInterval := peer.UpstreamInterval(c.fleetSize)
	minRelayInterval := max(_minRelayInterval, fleetInterval, time.Duration(c.view.RelayCount())*time.Second/_maxReportsPerSecond)
	maxRelayInterval = max(maxRelayInterval, minRelayInterval)
	since := now - c.lastReports.relaysAt
	if since >= maxRelayInterval || (since >= minRelayInterval && c.relaysReportOutdated()) {
		c.reportToRelays(now)
	}
}

// peersReportOutdated reports whether the last report to peers differs from what it would
// contain now.
func (c *Core) peersReportOutdated() bool {
	return c.lastReports.peersLoad != c.reportedLoad() || c.lastReports.peersNoRoom != c.room.noRoomFrom
}

// relaysReportOutdated reports the same of the last report to relays.
func (c *Core) relaysReportOutdated() bool {
	return c.lastReports.relaysLoad != c.reportedLoad() || c.lastReports.relaysNoRoom != c.room.noRoomFrom
}

// reportToAll sends reports to peers and relays at once. It is called when the reported
// state changes.
func (c *Core) reportToAll(now time.Duration) {
	c.reportToPeers(now)
	c.reportToRelays(now)
}

func (c *Core) reportToPeers(now time.Duration) {
	c.lastReports.peersAt, c.lastReports.peersLoad, c.lastReports.peersNoRoom = now, c.reportedLoad(), c.room.noRoomFrom
	for _, u := range c.view.Neighbours(c.self.Service, c.self.Addr, c.self.Zone, _maxNeighbours) {
		c.reportTo(u.Sidecar)
	}
}

func (c *Core) reportToRelays(now time.Duration) {
	c.lastReports.relaysAt, c.lastReports.relaysLoad, c.lastReports.relaysNoRoom = now, c.reportedLoad(), c.room.noRoomFrom
	for _, r := range c.view.Relays() {
		c.reportTo(r.Addr)
	}
}

// reportedState returns the upstream's state as reported to others: a ready upstream
// counts as draining once its sidecar has been told to stop, and while its zone is
// evacuated, and as suspect once the confirmation of its identity has lapsed.
func (c *Core) reportedState() peer.State {
	if (c.stopping || c.evacuated()) && c.upstream.state == peer.Ready {
		return peer.Draining
	}
	if c.identity.lapsed && c.upstream.state == peer.Ready {
		return peer.Suspect
	}
	return c.upstream.state
}

// reportTo sends a report with the current load to a relay or sidecar.
func (c *Core) reportTo(addr netip.Addr) {
	c.sequence++
	message, err := peer.AppendUpstream(c.buffer[:0], peer.UpstreamReport{
		Sidecar: c.self.Addr, Incarnation: c.self.Incarnation, Sequence: c.sequence,
		Service: c.self.Service, Zone: c.self.Zone, State: c.reportedState(),
		Busy: uint16(c.reportedLoad()), Slots: uint16(c.effectiveSlots(c.now)), Version: c.table.Version(),
		Late: uint16(c.admission.LateCount(c.now)),
		// The field holds up to 6.5 s. Longer run times need not be distinguished.
		RunTime: uint16(min(c.admission.RunTime()/peer.RunTimeUnit, math.MaxUint16)), EarlyPercent: uint8(100 * c.upstream.earlyShare),
		NoRoomFrom: c.room.noRoomFrom,
		Slowdown:   c.slowdownFor(addr),
	})
	if err != nil {
		c.out.LogBelief(decision.Belief{Subject: "report", Name: addr.String(), Reason: err.Error()})
		return
	}
	c.buffer = message
	c.out.ToPeer(addr, message)
}
