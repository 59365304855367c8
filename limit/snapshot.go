package limit

import (
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// Snapshot says how one run holds its part of a limit, at one moment.
type Snapshot struct {
	Run Run `json:"run" cbor:"1,keyasint"`
	// Revision is that of the settings in force at the run.
	Revision settings.Revision `json:"revision" cbor:"2,keyasint"`
	// FlowLimit is the service's limit that the run goes by.
	FlowLimit int `json:"flow_limit" cbor:"3,keyasint"`
	// FlowsPerUpstream is the limit of the run alone.
	FlowsPerUpstream int `json:"flows_per_upstream" cbor:"4,keyasint"`
	// Floor and Share are in flows of FlowLimit; Share includes the floor.
	Floor int `json:"floor" cbor:"5,keyasint"`
	Share int `json:"share" cbor:"6,keyasint"`
	// Allowed is how many flows may be open now by the service's limit: Share,
	// or Floor once the lease lapsed.
	Allowed int `json:"allowed" cbor:"7,keyasint"`
	Open    int `json:"open" cbor:"8,keyasint"`
	// LeaseLeft is how long the leased part may be used yet; zero when it lapsed.
	LeaseLeft time.Duration `json:"lease_left_ns" cbor:"9,keyasint"`
	Joined    bool          `json:"joined" cbor:"10,keyasint"`
	Draining  bool          `json:"draining" cbor:"11,keyasint"`
	// Refusals counts the refused flows, one item for each reason that occurred.
	Refusals []RefusalCount `json:"refusals" cbor:"12,keyasint"`
}

// RefusalCount is how often one reason was given.
type RefusalCount struct {
	Reason Reason `json:"reason" cbor:"1,keyasint"`
	// Recent counts the last RefusalWindow, Total the whole run.
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
		Share:            g.allFlows,
		Allowed:          g.allowance(now),
		Open:             g.open,
		LeaseLeft:        g.leaseLeft(now),
		Joined:           g.joined,
		Draining:         g.draining,
		Refusals:         g.refusals.counts(now.Mono),
	}
}

// Validate returns a BadParameter error for a snapshot that no run sends.
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
		return trace.BadParameter("snapshot of %s: negative time left", s.Run.Address)
	}
	return s.validateRefusals()
}

func (s Snapshot) validateRefusals() error {
	if len(s.Refusals) >= int(_reasonEnd) {
		return trace.BadParameter("snapshot of %s: %d reasons", s.Run.Address, len(s.Refusals))
	}
	for _, count := range s.Refusals {
		if count.Reason == 0 || count.Reason >= _reasonEnd {
			return trace.BadParameter("snapshot of %s: refusal reason %d", s.Run.Address, count.Reason)
		}
	}
	return nil
}

func (g *gate) leaseLeft(now Instant) time.Duration {
	if g.leased == 0 {
		return 0
	}
	left := min(g.leasedUntil.Mono-now.Mono, g.leasedUntil.Wall-now.Wall)
	return max(left, 0)
}

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
