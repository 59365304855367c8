package sidecar

import (
	"net/netip"
	"strconv"
	"time"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/fleet"
	"dandelionhitch.example/peer"
	"dandelionhitch.example/placement"
)

// With WithPriorityAdmission, peers are compared by the expected time until an answer, and a sidecar
// compares the run times of its upstream with those that its peers report. RunTime in reports is a
// mean for all routes, so an upstream whose requests are of longer routes than those of its
// peers counts as slow as well: a request that is sent there waits longer.

// _usualRunTimeInterval is how often the median run time of the peers is computed. Peers report
// up to 5 times a second.
const _usualRunTimeInterval = 200 * time.Millisecond

// usualRunTime is the median run time of the peers, zero if it is not known, and when it was computed.
type usualRunTime struct {
	value      time.Duration
	computedAt time.Duration
}

// noteRunTime compares the time that a served request took with the peers' run times. Requests that the upstream
// was recognised to have refused are not compared.
func (c *Core) noteRunTime(f *flowState, took time.Duration) {
	if !c.prioritized() {
		return
	}
	u := &c.usual
	if u.computedAt == 0 || c.now-u.computedAt >= _usualRunTimeInterval {
		u.value, _, _ = c.peerMedians()
		u.computedAt = c.now
	}
	// Requests beyond the number of slots wait inside the upstream, as for the mean run time.
	slots := c.totalSlots()
	took = took * time.Duration(slots) / time.Duration(max(c.Busy(), slots))
	if !c.upstream.slowdown.Add(c.now, c.relayZone(f.origin), took, u.value) {
		return
	}
	percent := c.SlowdownPercent(c.now)
	belief := decision.Belief{
		Subject: "upstream_slowdown", Name: c.upstream.id, From: "normal", To: strconv.Itoa(percent) + "_percent",
		Reason: "run_time_above_peers", Version: c.sequence,
	}
	if percent <= placement.NormalSlowdown {
		belief.From, belief.To, belief.Reason = "slow", "normal", "run_time_like_peers"
	}
	c.out.LogBelief(belief)
	c.reportToAll(c.now)
}

// SlowdownPercent returns the run time of the upstream, for the zone whose callers it is slowest for, in
// percent of that of its peers. It is zero if it is not known.
func (c *Core) SlowdownPercent(now time.Duration) int { return c.upstream.slowdown.MaxPercent(now) }

// relayZone returns the zone of a relay, or "" if it is not known.
func (c *Core) relayZone(addr netip.Addr) string {
	if r := c.view.Relay(addr); r != nil {
		return r.Zone
	}
	return ""
}

// slowdownFor returns the slowdown of the upstream for callers in the zone of the process at addr, in
// percent, or zero if it is not known or the service's requests have no priorities.
func (c *Core) slowdownFor(addr netip.Addr) uint16 {
	if !c.prioritized() {
		return 0
	}
	zone := c.relayZone(addr)
	if u := c.view.Upstream(addr); u != nil {
		zone = u.Zone
	}
	return uint16(c.upstream.slowdown.Percent(c.now, zone))
}

// peerCandidate returns a peer as a candidate for a new flow.
func (c *Core) peerCandidate(now time.Duration, u *fleet.Upstream) placement.Candidate {
	candidate := placement.Candidate{Busy: u.Busy, Slots: u.Slots, SameZone: u.Zone == c.self.Zone}
	if !c.prioritized() {
		return candidate
	}
	zone := c.zones.Index(u.Zone)
	candidate.Zone, candidate.ZoneCost = zone, c.zones.Cost(now, zone)
	candidate.RunTime, candidate.Slowdown = u.RunTime, int(u.Slowdown)
	candidate.Reported, candidate.Age = u.Reported, now-u.LoadUpdatedAt
	return candidate
}

// timedOwnCandidate returns the local upstream as a candidate for a flow of callers in a zone, with the
// values for a choice by the expected wait.
func (c *Core) timedOwnCandidate(zone string) placement.Candidate {
	own := c.ownCandidate()
	own.RunTime, own.Slowdown = c.admission.RunTime(), c.upstream.slowdown.Percent(c.now, zone)
	own.Reported = own.Busy
	return own
}

// bestPeer returns the index in c.candidates of the best peer, or -1 if there is none.
func (c *Core) bestPeer() int {
	if c.prioritized() {
		return placement.ChooseByWait(c.candidates, c.random)
	}
	return placement.Choose(c.candidates, c.random)
}

// answersSooner reports whether a peer that has reported free slots should get flows that wait here.
func (c *Core) answersSooner(report peer.UpstreamReport) bool {
	u := c.view.Upstream(report.Sidecar)
	return !c.prioritized() || u == nil || placement.AnswersSooner(c.peerCandidate(c.now, u), c.timedOwnCandidate(c.self.Zone))
}
