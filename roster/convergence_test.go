package roster

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/service"
)

// owner is the true state of one agent.
type owner struct {
	record Upstream
	// ended is the highest incarnation that has actually ended.
	ended service.Incarnation
}

// fleet simulates rosters and owners under faults. The rosters are checked against the
// true states of the owners.
type fleet struct {
	now     time.Duration
	rosters []*Roster
	owners  []*owner
	// cut holds the pairs of rosters that cannot exchange, by the direction of the call.
	cut map[[2]int]bool
}

const (
	_testRosters = 4
	_testOwners  = 6
)

func newFleet() *fleet {
	f := &fleet{cut: make(map[[2]int]bool)}
	for range _testRosters {
		f.rosters = append(f.rosters, New())
	}
	for n := range _testOwners {
		u := testUpstream(n)
		u.Service = 1
		f.owners = append(f.owners, &owner{record: u, ended: u.Incarnation - 1})
	}
	return f
}

func (f *fleet) drawOwner(t *rapid.T) (*owner, *Roster) {
	o := f.owners[rapid.IntRange(0, _testOwners-1).Draw(t, "owner")]
	return o, f.rosters[rapid.IntRange(0, _testRosters-1).Draw(t, "roster")]
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"heartbeat": func(t *rapid.T) {
			o, r := f.drawOwner(t)
			status, _ := r.Status(UpstreamKey(o.record.Data))
			if status.Suspect {
				o.record.Seq = max(o.record.Seq, status.Version.Seq) + 1
			}
			r.Announce(f.now, o.record)
		},
		"state": func(t *rapid.T) {
			o, r := f.drawOwner(t)
			if o.record.State == service.Gone {
				return
			}
			o.record.Seq++
			o.record.State = rapid.SampledFrom([]service.State{service.Serving, service.Draining}).Draw(t, "state")
			r.Announce(f.now, o.record)
		},
		"leave": func(t *rapid.T) {
			o, r := f.drawOwner(t)
			o.record.Seq++
			o.record.State = service.Gone
			o.ended = o.record.Incarnation
			r.Announce(f.now, o.record)
		},
		"restart": func(t *rapid.T) {
			o, r := f.drawOwner(t)
			o.ended = o.record.Incarnation
			o.record.Incarnation++
			o.record.Seq = 1
			o.record.State = service.Serving
			r.Announce(f.now, o.record)
		},
		"kill": func(t *rapid.T) { // A probe of the control port is refused.
			o, r := f.drawOwner(t)
			if status, ok := r.Status(UpstreamKey(o.record.Data)); ok {
				o.ended = max(o.ended, o.record.Incarnation)
				o.record.State = service.Gone
				r.ConfirmGone(f.now, UpstreamKey(o.record.Data), status.Version.Incarnation)
			}
		},
		"suspect": func(t *rapid.T) { // The owner is paused or unreachable, or a heartbeat was lost.
			o, r := f.drawOwner(t)
			r.Suspect(f.now, UpstreamKey(o.record.Data))
		},
		"cut": func(t *rapid.T) {
			pair := [2]int{rapid.IntRange(0, _testRosters-1).Draw(t, "a"), rapid.IntRange(0, _testRosters-1).Draw(t, "b")}
			f.cut[pair] = !f.cut[pair]
		},
		"exchange": func(t *rapid.T) {
			a := rapid.IntRange(0, _testRosters-1).Draw(t, "a")
			b := rapid.IntRange(0, _testRosters-1).Draw(t, "b")
			if a == b || f.cut[[2]int{a, b}] {
				return
			}
			deliver := rapid.SampledFrom([]int{0, 1, 2, 3, 4, _noLoss}).Draw(t, "lost from")
			exchange(t, f.now, f.rosters[a], f.rosters[b], rapid.Bool().Draw(t, "compare"), deliver, nil)
		},
		"time": func(t *rapid.T) { f.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second },
		"":     f.check,
	}
}

// check asserts the invariants of all rosters after each step: the view lists a run as gone
// only if the run has ended, only serving upstreams are eligible, and the panic rule decides
// whether suspected ones are.
func (f *fleet) check(t *rapid.T) {
	for _, r := range f.rosters {
		v := r.View(f.now)
		for _, gone := range v.Gone {
			for _, o := range f.owners {
				if o.record.Data == gone.Data {
					assert.Assert(t, gone.Incarnation <= o.ended, "%v is not gone", gone)
				}
			}
		}
		suspects, serving := 0, 0
		for _, u := range r.Upstreams(0) {
			if !u.Gone && u.State == service.Serving {
				serving++
				if u.Suspect {
					suspects++
				}
			}
		}
		want := serving - suspects
		if 2*suspects > serving {
			want = serving
		}
		assert.Equal(t, len(v.Services[1]), want)
		for _, c := range v.Services[1] {
			assert.Equal(t, c.State, service.Serving, "a draining upstream is not eligible")
		}
		checkHashes(t, r)
	}
}

// checkHashes checks the incrementally updated hashes and buckets against recomputed
// ones.
func checkHashes(t assert.TestingT, r *Roster) {
	listed := 0
	for i := range r.buckets {
		hash := uint64(0)
		for _, e := range r.buckets[i].entries {
			listed++
			if e.inDigest {
				hash ^= e.contentHash()
			}
		}
		if hash != r.buckets[i].hash {
			assert.Equal(t, hash, r.buckets[i].hash)
		}
	}
	assert.Equal(t, listed, len(r.entries))
}

// TestConvergence checks the invariants of fleet.check under random faults, and that all
// rosters converge to the true states of the live owners once the rosters can exchange
// again.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(f.actions())
		for i, o := range f.owners {
			status, known := f.rosters[0].Status(UpstreamKey(o.record.Data))
			if o.record.State == service.Gone {
				continue
			}
			if known && status.Suspect { // A live agent refutes the suspicion.
				o.record.Seq = max(o.record.Seq, status.Version.Seq)
			}
			o.record.Seq++
			f.rosters[i%_testRosters].Announce(f.now, o.record)
		}
		for range 2 * _testRosters {
			for i := range f.rosters {
				exchange(t, f.now, f.rosters[i], f.rosters[(i+1)%_testRosters], true, _noLoss, nil)
			}
		}
		for _, r := range f.rosters {
			assert.Assert(t, bytes.Equal(r.Groups(), f.rosters[0].Groups()))
			for _, o := range f.owners {
				if o.record.State == service.Gone {
					continue
				}
				status, known := r.Status(UpstreamKey(o.record.Data))
				assert.Assert(t, known && !status.Suspect, "a refuted suspicion has no lasting effect")
				assert.Equal(t, status.State, o.record.State)
				assert.Equal(t, status.Version.Incarnation, o.record.Incarnation)
			}
		}
	})
}
