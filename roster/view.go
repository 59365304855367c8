package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

const (
	// ShareScale is the share of an upstream of weight 1 after RampTime and below full
	// load.
	ShareScale = 16
	// PanicTime is how long a suspicion counts as fresh. While more than half of a
	// service's upstreams, not counting those suspected for longer, are under fresh
	// suspicion, these stay eligible (the panic rule): it is more likely that this
	// balancer's view is wrong than that so many upstreams have failed.
	PanicTime = 10 * time.Minute
	// RampTime is the time over which an upstream's share grows after the upstream has
	// begun to serve.
	RampTime = 30 * time.Second
	// _rampFloor is the share of an upstream of weight 1 at the beginning of RampTime.
	_rampFloor = 2
	// _fullDivisor divides the share of an upstream with the level LoadFull.
	_fullDivisor = 4
)

// View is an immutable snapshot of the roster for routing.
type View struct {
	// Version is the version of the roster at the time of the snapshot.
	Version uint64
	// Ramping reports whether the view changes with time alone, because a share is
	// growing or a fresh suspicion will become older than PanicTime.
	Ramping bool
	// Services holds the eligible upstreams of each service, ordered by data address.
	Services map[service.ID][]Candidate
	// Gone holds the highest incarnation that has ended at each address where a run has
	// ended, in no particular order.
	Gone []GoneRun
	// Members holds the balancers that are not gone, in no particular order. Their
	// settings revisions may be stale, as a change of these does not change Version.
	Members []MemberStatus
	// Highest is the highest settings revision among Members.
	Highest settings.Revision
}

// Candidate is an upstream that is eligible for new flows.
type Candidate struct {
	Upstream
	// Share is the upstream's weight for placement: its own weight times ShareScale,
	// reduced during RampTime and with the level LoadFull. It is never zero.
	Share uint32
}

// GoneRun is a run of an agent that is confirmed to have ended. Runs at the same address
// with a lower incarnation have ended as well.
type GoneRun struct {
	Data        netip.AddrPort
	Incarnation service.Incarnation
}

// MemberStatus is a member's record with its status in the roster.
type MemberStatus struct {
	Member
	Suspect bool `cbor:"9,keyasint,omitempty" json:"suspect"`
	Gone    bool `cbor:"10,keyasint,omitempty" json:"gone"`
}

// UpstreamStatus is an upstream's record with its status in the roster.
type UpstreamStatus struct {
	Upstream
	Suspect bool `cbor:"11,keyasint,omitempty" json:"suspect"`
	Gone    bool `cbor:"12,keyasint,omitempty" json:"gone"`
}

// Ramp returns the share of an upstream of weight 1 that has been serving for the given
// time. It grows linearly from _rampFloor to ShareScale within RampTime.
func Ramp(serving time.Duration) uint32 {
	if serving >= RampTime {
		return ShareScale
	}
	grown := (ShareScale - _rampFloor) * max(serving, 0) / RampTime
	return _rampFloor + uint32(grown)
}

// View returns a snapshot at the time now.
func (r *Roster) View(now time.Duration) View {
	v := View{Version: r.version, Services: make(map[service.ID][]Candidate, len(r.services))}
	for id, entries := range r.services {
		var t tally
		for _, e := range entries {
			if e.state() == service.Serving {
				t = t.add(now, e)
			}
		}
		v.Ramping = v.Ramping || t.fresh > 0
		candidates := make([]Candidate, 0, t.trusted+t.fresh+t.stale)
		for _, e := range entries {
			if e.state() == service.Serving && t.eligible(now, e) {
				candidates = append(candidates, v.candidate(now, e))
			}
		}
		if len(candidates) > 0 {
			slices.SortFunc(candidates, func(a, b Candidate) int { return a.Data.Compare(b.Data) })
			v.Services[id] = candidates
		}
	}
	v.Gone = r.goneRuns()
	v.Members = r.Present()
	for _, m := range v.Members {
		v.Highest = max(v.Highest, m.Revision)
	}
	return v
}

// tally counts the serving upstreams of one service for the panic rule.
type tally struct {
	// trusted counts upstreams without suspicion, fresh those suspected for less than
	// PanicTime, and stale those suspected for longer.
	trusted, fresh, stale int
}

// add returns the tally with e counted.
func (t tally) add(now time.Duration, e *entry) tally {
	switch {
	case !e.suspected():
		t.trusted++
	case now-e.downSince < PanicTime:
		t.fresh++
	default:
		t.stale++
	}
	return t
}

// eligible reports whether an upstream is eligible for new flows. Upstreams that have been
// suspected for PanicTime or longer do not count for the panic rule, because failed
// upstreams that accumulate over time would trigger it. They are eligible only if the
// service has no other serving upstreams.
func (t tally) eligible(now time.Duration, e *entry) bool {
	switch {
	case !e.suspected():
		return true
	case now-e.downSince < PanicTime:
		return tooManySuspects(t.fresh, t.fresh+t.trusted)
	}
	return t.trusted+t.fresh == 0
}

// tooManySuspects reports whether so many processes are suspected that it is more likely
// that this balancer's view is wrong than that all of them have failed.
func tooManySuspects(suspected, all int) bool { return 2*suspected > all }

// goneRuns returns the highest ended incarnation at each address of an upstream.
func (r *Roster) goneRuns() []GoneRun {
	out := make([]GoneRun, 0, len(r.entries))
	for b := range r.buckets[_memberBuckets:] {
		for _, e := range r.buckets[_memberBuckets+b].entries {
			highest := e.gone
			if run := e.version().Incarnation; run > 0 {
				highest = max(highest, run-1)
			}
			if highest > 0 {
				out = append(out, GoneRun{e.key.Addr, highest})
			}
		}
	}
	return out
}

// candidate returns an eligible upstream with its share, and sets v.Ramping if the share
// is growing.
func (v *View) candidate(now time.Duration, e *entry) Candidate {
	ramp := Ramp(now - e.servingAt)
	if ramp < ShareScale {
		v.Ramping = true
	}
	share := uint32(e.upstream.Weight) * ramp
	if e.upstream.Load == LoadFull {
		share /= _fullDivisor
	}
	return Candidate{*e.upstream, max(share, 1)}
}

// Present returns the balancers that are not gone with their status, in no particular
// order.
func (r *Roster) Present() []MemberStatus {
	out := make([]MemberStatus, 0, r.members)
	for b := range _memberBuckets {
		for _, e := range r.buckets[b].entries {
			if !e.ended() {
				out = append(out, MemberStatus{Member: *e.member, Suspect: e.suspected()})
			}
		}
	}
	return out
}

// Members returns all balancers with their status, ended ones included, ordered by name
// and data address.
func (r *Roster) Members() []MemberStatus {
	var out []MemberStatus
	for _, e := range r.entries {
		if e.member != nil {
			out = append(out, MemberStatus{*e.member, e.suspected(), e.ended()})
		}
	}
	slices.SortFunc(out, func(a, b MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Data.Compare(b.Data))
	})
	return out
}

// UpstreamStatus returns the upstream with the given key with its status, also if it has
// ended. It returns false if there is none.
func (r *Roster) UpstreamStatus(key Key) (UpstreamStatus, bool) {
	e := r.entries[key]
	if e == nil || e.upstream == nil {
		return UpstreamStatus{}, false
	}
	return UpstreamStatus{*e.upstream, e.suspected(), e.ended()}, true
}

// Upstreams returns the upstreams of a service, or of all services if id is zero, with
// their status, ended ones included, ordered by service and data address.
func (r *Roster) Upstreams(id service.ID) []UpstreamStatus {
	var out []UpstreamStatus
	for _, e := range r.entries {
		if e.upstream != nil && (id == 0 || e.upstream.Service == id) {
			out = append(out, UpstreamStatus{*e.upstream, e.suspected(), e.ended()})
		}
	}
	slices.SortFunc(out, func(a, b UpstreamStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Data.Compare(b.Data))
	})
	return out
}
