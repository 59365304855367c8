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
	// Ramping says that a share grows as time goes by.
	Ramping bool
	// Services holds the eligible upstreams of each service, ordered by data address.
	Services map[service.ID][]Candidate
	// Gone holds, for each address where a run has ended, the highest such run.
	Gone []GoneRun
	// Members holds the balancers that are not gone, ordered by name.
	Members []MemberStatus
	// Highest is the highest settings revision that any member has in force.
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
	v := View{Version: r.version, Services: make(map[service.ID][]Candidate)}
	tallies := make(map[service.ID]tally)
	for key, e := range r.entries {
		switch key.Kind {
		case KindMember:
			v.addMember(e)
		case KindUpstream:
			v.addGone(e)
			if e.state() == service.Serving {
				tallies[e.upstream.Service] = tallies[e.upstream.Service].with(now, e)
			}
		}
	}
	for key, e := range r.entries {
		if key.Kind != KindUpstream || e.state() != service.Serving {
			continue
		}
		if tallies[e.upstream.Service].admits(now, e) {
			v.addCandidate(now, e)
		}
	}
	v.sort()
	return v
}

// tally counts the serving upstreams of one service for the panic rule.
type tally struct {
	// trusted are not suspected, fresh suspected for less than PanicTime, and
	// stale for longer.
	trusted, fresh, stale int
}

func (t tally) with(now time.Duration, e *entry) tally {
	switch {
	case !e.suspected():
		t.trusted++
	case now-e.fadedAt < PanicTime:
		t.fresh++
	default:
		t.stale++
	}
	return t
}

// admits says whether an upstream is eligible. Upstreams that have long been
// suspected are left out of the panic rule, else the dead of many days would
// set it off; they are eligible only when nothing else is left.
func (t tally) admits(now time.Duration, e *entry) bool {
	switch {
	case !e.suspected():
		return true
	case now-e.fadedAt < PanicTime:
		return distrusted(t.fresh, t.fresh+t.trusted)
	}
	return t.trusted+t.fresh == 0
}

// distrusted says that so many are suspected at once that the view is more
// likely at fault than they are.
func distrusted(suspected, all int) bool { return 2*suspected > all }

func (v *View) addMember(e *entry) {
	if e.ended() {
		return
	}
	v.Members = append(v.Members, MemberStatus{Member: *e.member, Suspect: e.suspected()})
	v.Highest = max(v.Highest, e.member.Revision)
}

func (v *View) addGone(e *entry) {
	highest := e.gone
	if run := e.mark().Incarnation; run > 0 {
		highest = max(highest, run-1)
	}
	if highest > 0 {
		v.Gone = append(v.Gone, GoneRun{e.key.Addr, highest})
	}
}

func (v *View) addCandidate(now time.Duration, e *entry) {
	ramp := Ramp(now - e.servingAt)
	if ramp < ShareScale {
		v.Ramping = true
	}
	share := uint32(e.upstream.Weight) * ramp
	if e.upstream.Load == LoadFull {
		share /= _fullDivisor
	}
	id := e.upstream.Service
	v.Services[id] = append(v.Services[id], Candidate{*e.upstream, max(share, 1)})
}

func (v *View) sort() {
	for _, candidates := range v.Services {
		slices.SortFunc(candidates, func(a, b Candidate) int { return a.Data.Compare(b.Data) })
	}
	slices.SortFunc(v.Gone, func(a, b GoneRun) int { return a.Data.Compare(b.Data) })
	slices.SortFunc(v.Members, func(a, b MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Data.Compare(b.Data))
	})
}

// Present returns the balancers that are not gone, in no order.
func (r *Roster) Present() []MemberStatus {
	var out []MemberStatus
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
