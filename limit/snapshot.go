package limit

import (
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// Snapshot is the state of one run and its part of a limit at one moment.
type Snapshot struct {
	Run Run `json:"run" cbor:"1,keyasint"`
	// Revision is the revision of the settings in force at the run.
	Revision settings.Revision `json:"revision" cbor:"2,keyasint"`
	// FlowLimit is the service's flow limit that the run applies.
	FlowLimit int `json:"flow_limit" cbor:"3,keyasint"`
	// FlowsPerUpstream is the maximum number of open flows at this run.
	FlowsPerUpstream int `json:"flows_per_upstream" cbor:"4,keyasint"`
	// Floor and Share are the numbers of flows that the run's floor and all its
	// units are worth under FlowLimit.
	Floor int `json:"floor" cbor:"5,keyasint"`
	Share int `json:"share" cbor:"6,keyasint"`
	// Allowed is the number of flows that may be open now under the service's
	// limit. It equals Share at first, Floor once the leased part has lapsed, and
	// zero once the floor has lapsed too.
	Allowed int `json:"allowed" cbor:"7,keyasint"`
	Open    int `json:"open" cbor:"8,keyasint"`
	// LeaseLeft is the remaining time of the leased part; zero if it has lapsed.
	LeaseLeft time.Duration `json:"lease_left_ns" cbor:"9,keyasint"`
	// Joined means that the share has an entry of the run.
	Joined   bool `json:"joined" cbor:"10,keyasint"`
	Draining bool `json:"draining" cbor:"11,keyasint"`
	// Refusals has one item for each reason for which flows were refused.
	Refusals []RefusalCount `json:"refusals" cbor:"12,keyasint"`
}

// RefusalCount is the number of flows refused for one reason.
type RefusalCount struct {
	Reason Reason `json:"reason" cbor:"1,keyasint"`
	// Recent is the count within the last RefusalWindow, and Total the count since
	// the run started.
	Recent uint64 `json:"recent" cbor:"2,keyasint"`
	Total  uint64 `json:"total" cbor:"3,keyasint"`
}

// Snapshot returns the run's state at now.
func (h *Holder) Snapshot(now Instant) Snapshot {
	g := &h.gate
	return Snapshot{
		Run:              h.run,
		Revision:         g.limits.Revision,
		FlowLimit:        g.flowLimit(),
		FlowsPerUpstream: g.limits.FlowsPerUpstream,
		Floor:            g.floorFlows,
		Share:            g.totalFlows,
		Allowed:          g.allowance(now),
		Open:             g.open,
		LeaseLeft:        g.leaseLeft(now),
		Joined:           g.joined,
		Draining:         g.draining,
		Refusals:         g.refusals.counts(now.Mono),
	}
}

// Validate returns a BadParameter error if a field is out of range.
func (s Snapshot) Validate() error {
	if err := s.Run.Validate(); err != nil {
		return trace.Wrap(err, "snapshot")
	}
	for _, n := range []int{s.FlowLimit, s.FlowsPerUpstream, s.Floor, s.Share, s.Allowed, s.Open} {
		if n < 0 {
			return trace.BadParameter("snapshot of %s: negative number of flows", s.Run.Address)
		}
	}
	if s.LeaseLeft < 0 {
		return trace.BadParameter("snapshot of %s: remaining lease time is negative", s.Run.Address)
	}
	return s.validateRefusals()
}

func (s Snapshot) validateRefusals() error {
	if len(s.Refusals) >= int(_reasonEnd) {
		return trace.BadParameter("snapshot of %s: %d refusal counts, more than there are reasons", s.Run.Address, len(s.Refusals))
	}
	for _, count := range s.Refusals {
		if count.Reason == 0 || count.Reason >= _reasonEnd {
			return trace.BadParameter("snapshot of %s: refusal reason %d is unknown", s.Run.Address, count.Reason)
		}
	}
	return nil
}

// leaseLeft returns the remaining time of the leased part, or zero if it has
// lapsed or there is none.
func (g *gate) leaseLeft(now Instant) time.Duration {
	if g.leased == 0 {
		return 0
	}
	left := min(g.leasedUntil.Mono-now.Mono, g.leasedUntil.Wall-now.Wall)
	return max(left, 0)
}

// counts returns the counts of the reasons for which flows were refused.
func (r *refusals) counts(now time.Duration) []RefusalCount {
	var counts []RefusalCount
	for reason := Draining; reason < _reasonEnd; reason++ {
		recent, total := r.count(now, reason)
		if total > 0 {
			counts = append(counts, RefusalCount{Reason: reason, Recent: recent, Total: total})
		}
	}
	return counts
}
