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
	// ShareScale is the share of an upstream of weight 1 at full weight.
	ShareScale = 16
	// PanicTime is how long a suspicion is fresh. While over half of a service's
	// upstreams are under fresh suspicion, suspicion is ignored for it.
	PanicTime = 10 * time.Minute
	// RampTime is how long an upstream's share grows after it began to serve.
	RampTime = 30 * time.Second
	// _rampFloor is the share at the beginning of the ramp, of ShareScale.
	_rampFloor = 2
	// _fullDivisor divides the share of an upstream under full load.
	_fullDivisor = 4
)

// View is an immutable snapshot of what routing needs.
type View struct {
	// Version is the roster's version that the view was taken from.
	Version uint64
	// Ramping says that the view changes as time goes by: a share grows, or a
	// fresh suspicion will cease to count for the panic rule.
	Ramping bool
	// Services holds the eligible upstreams of each service, ordered by data address.
	Services map[service.ID][]Candidate
	// Gone holds, for each address where a run has ended, the highest such run,
	// in no order.
	Gone []GoneRun
	// Members holds the balancers that are not gone, in no order. Their
	// revisions are those of when the view last changed for another reason.
	Members []MemberStatus
	// Highest is the highest revision among Members.
	Highest settings.Revision
}

// Candidate is an upstream that may get new flows.
type Candidate struct {
	Upstream
	// Share is the weight for placement: the upstream's own weight times
	// ShareScale, lowered during a cold start and under full load. Never zero.
	Share uint32
}

// GoneRun is a run of an agent that has ended for certain. Runs at the same
// address with a lower incarnation have ended as well.
type GoneRun struct {
	Data        netip.AddrPort
	Incarnation service.Incarnation
}

// MemberStatus is a member and what the roster concludes about it.
type MemberStatus struct {
	Member
	Suspect bool `cbor:"9,keyasint,omitempty" json:"suspect"`
	Gone    bool `cbor:"10,keyasint,omitempty" json:"gone"`
}

// UpstreamStatus is an upstream and what the roster concludes about it.
type UpstreamStatus struct {
	Upstream
	Suspect bool `cbor:"11,keyasint,omitempty" json:"suspect"`
	Gone    bool `cbor:"12,keyasint,omitempty" json:"gone"`
}

// Ramp returns the share, of ShareScale, of an upstream that has been serving
// for a time.
func Ramp(serving time.Duration) uint32 {
	if serving >= RampTime {
		return ShareScale
	}
	grown := (ShareScale - _rampFloor) * max(serving, 0) / RampTime
	return _rampFloor + uint32(grown)
}

// View returns the snapshot at a time.
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
	// trusted are not suspected, fresh suspected for less than PanicTime, and
	// stale for longer.
	trusted, fresh, stale int
}

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

// admits says whether an upstream is eligible. Upstreams that have long been
// suspected are left out of the panic rule, else the dead of many days would
// set it off; they are eligible only when nothing else is left.
func (t tally) eligible(now time.Duration, e *entry) bool {
	switch {
	case !e.suspected():
		return true
	case now-e.downSince < PanicTime:
		return tooManySuspects(t.fresh, t.fresh+t.trusted)
	}
	return t.trusted+t.fresh == 0
}

// distrusted says that so many are suspected at once that the view is more
// likely at fault than they are.
func tooManySuspects(suspected, all int) bool { return 2*suspected > all }

func (r *Roster) goneRuns() []GoneRun {
	out := make([]GoneRun, 0, len(r.entries))
	for b := range r.buckets[_memberBuckets:] {
		for _, e := range r.buckets[_memberBuckets+b].entries {
			highest := e.gone
			if run := e.mark().Incarnation; run > 0 {
				highest = max(highest, run-1)
			}
			if highest > 0 {
				out = append(out, GoneRun{e.key.Addr, highest})
			}
		}
	}
	return out
}

// candidate returns an eligible upstream with its share.
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

// Present returns the balancers that are not gone, ordered by bucket.
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

// Members returns what is concluded about each balancer, ended ones included,
// ordered by name.
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

// Upstreams returns what is concluded about each upstream, ended ones included,
// ordered by service and data address. A service of zero stands for all.
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
