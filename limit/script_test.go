package limit_test

import (
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// _restored is the first version of a store that was restored from a copy.
const _restored = 1<<48 | 1

// _limits are the limits in the scripts. The floor of each of the four hosts is
// 40 flows, and each host claims 60 flows regardless of its demand.
var _limits = limit.Limits{Revision: 5, Flows: 320, FlowsPerUpstream: 100, MaxHosts: 4, DrainDeadline: settings.Duration(time.Hour)}

// run returns the run of the agent at 10.0.0.x, where x is host.
func run(host byte) limit.Run {
	return limit.Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 443), Incarnation: 7}
}

// entryOf returns an entry of the host with leased units for this number of flows,
// and with lacking units for the second number, under a limit of 320 flows.
func entryOf(host byte, flows, lacking int) limit.Entry {
	return limit.Entry{
		Run: run(host), Seq: 1, Leased: limit.UnitsFor(flows, 320), Lacking: limit.UnitsFor(lacking, 320),
		Term: settings.Duration(10 * time.Minute), FloorTerm: settings.Duration(time.Hour),
	}
}

// script tests one Holder step by step, in place of its owner and the platform.
type script struct {
	*testing.T
	*limit.Holder
	now  limit.Instant
	gone func(limit.Run) bool
	// version is the version of the last successful write.
	version platform.Version
}

func newScript(t *testing.T) *script {
	s := &script{T: t, gone: func(limit.Run) bool { return false }}
	s.Holder = limit.NewHolder(s.now, run(1), limit.DefaultPace(), 1)
	s.SetLimits(s.now, _limits)
	return s
}

func (s *script) advance(d time.Duration) {
	s.now.Mono += d
	s.now.Wall += d
}

// nextCall advances the clock until the holder returns an action other than Wait.
func (s *script) nextCall() limit.Action {
	s.Helper()
	for range 100 {
		switch a := s.Act(s.now, s.gone).(type) {
		case limit.Wait:
			s.advance(max(0, a.Until-s.now.Mono))
		default:
			return a
		}
	}
	s.Fatal("the holder returns only Wait")
	return nil
}

// nextWrite answers reads with the share until the holder returns a Write.
func (s *script) nextWrite(share limit.Share, version int) limit.Write {
	s.Helper()
	for range 100 {
		switch a := s.nextCall().(type) {
		case limit.Read:
			s.Handle(s.now, readDone(share, version))
		case limit.Write:
			return a
		}
	}
	s.Fatal("the holder does not write")
	return limit.Write{}
}

// answerNextRead fails writes until the holder returns a Read, and answers the Read
// with the share.
func (s *script) answerNextRead(share limit.Share, version int) {
	s.Helper()
	for range 100 {
		switch s.nextCall().(type) {
		case limit.Write:
			s.Handle(s.now, limit.Failed{})
		case limit.Read:
			s.Handle(s.now, readDone(share, version))
			return
		}
	}
	s.Fatal("the holder does not read")
}

func readDone(share limit.Share, version int) limit.ReadDone {
	return limit.ReadDone{Share: share, Version: platform.Version(version)}
}

// entry returns the holder's entry with units for this number of flows, up to 40
// of them as its floor.
func (s *script) entry(flows int) limit.Entry {
	entry := entryOf(1, flows, 0)
	entry.Floor = min(limit.UnitsFor(40, 320), entry.Leased)
	entry.Leased -= entry.Floor
	return entry
}

// join lets the holder join the share that has the entries of the other runs, and
// opens this number of flows. It returns the share that the holder wrote.
func (s *script) join(flows int, others ...limit.Entry) limit.Share {
	s.Helper()
	w := s.nextWrite(limit.Share{Entries: others}, 1)
	s.version = 2
	s.Handle(s.now, limit.WriteDone{Version: s.version})
	for range flows {
		_, err := s.TryAdmit(s.now)
		assert.NilError(s, err)
	}
	return w.Share
}

// assertRefused asserts that a flow is refused for the reason.
func (s *script) assertRefused(want limit.Reason) {
	s.Helper()
	_, err := s.TryAdmit(s.now)
	var refusal *limit.RefusalError
	assert.Assert(s, errors.As(err, &refusal), "%v", err)
	assert.Equal(s, refusal.Reason, want)
}

// TestHolder checks the behavior of a Holder in single situations. The name of
// each script states what it checks.
func TestHolder(t *testing.T) {
	const term = 10 * time.Minute
	scripts := map[string]func(s *script){
		"flows are refused before the platform answers": func(s *script) {
			s.nextCall()
			s.assertRefused(limit.NoShare)
		},
		"the floor outlasts the lease, and lapses after its own term": func(s *script) {
			s.join(0)
			s.advance(limit.DefaultPace().FloorTerm - 10*time.Minute)
			assert.Equal(s, s.Allowance(s.now), 40)
			s.advance(10 * time.Minute)
			assert.Equal(s, s.Allowance(s.now), 0)
		},
		"an equal part is claimed regardless of demand": func(s *script) {
			s.join(0)
			assert.Equal(s, s.Allowance(s.now), 60)
			assert.Equal(s, s.Snapshot(s.now).Floor, 40)
		},
		"fractions of a flow are not claimed": func(s *script) {
			most := entryOf(2, 310, 0)
			most.Leased -= limit.UnitsFor(1, 320) / 2
			s.join(0, most)
			assert.Equal(s, s.Allowance(s.now), 10)
			share := s.nextWrite(limit.Share{Entries: []limit.Entry{most, s.entry(10)}}, 3).Share
			assert.Equal(s, share.Free(), limit.UnitsFor(1, 320)/2)
		},
		"the lease term counts from before the write was sent": func(s *script) {
			s.nextWrite(limit.Share{}, 1)
			s.advance(term - time.Second)
			s.Handle(s.now, limit.WriteDone{Version: 2})
			assert.Equal(s, s.Allowance(s.now), 60)
			s.advance(time.Second)
			assert.Equal(s, s.Allowance(s.now), 40)
		},
		"the lease lapses when the monotonic clock reaches its end": func(s *script) {
			s.join(40)
			s.now.Wall -= time.Hour
			s.now.Mono += term
			s.assertRefused(limit.LeaseLapsed)
		},
		"the lease lapses when the wall clock reaches its end": func(s *script) {
			s.join(40)
			s.now.Wall += term
			s.assertRefused(limit.LeaseLapsed)
		},
		"units that a pending write returns are not used": func(s *script) {
			s.join(20)
			w := s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60), entryOf(2, 260, 15)}}, 3)
			assert.Equal(s, w.Share.Entries[0].Units().Flows(320), 45)
			assert.Equal(s, s.Allowance(s.now), 45)

			s.Handle(s.now, limit.Failed{})
			s.nextCall()
			s.Handle(s.now, readDone(limit.Share{Entries: []limit.Entry{s.entry(60), entryOf(2, 260, 0)}}, 3))
			assert.Equal(s, s.Allowance(s.now), 45, "the failed write may still take effect")
			s.answerNextRead(limit.Share{Entries: []limit.Entry{s.entry(60), entryOf(2, 260, 0)}}, 4)
			assert.Equal(s, s.Allowance(s.now), 60, "the failed write can no longer take effect")
		},
		"a failed write that took effect renews the lease from before it was sent": func(s *script) {
			w := s.nextWrite(limit.Share{}, 1)
			sent := s.now
			s.Handle(s.now, limit.Failed{})
			s.nextCall()
			s.Handle(s.now, readDone(w.Share, 2))
			assert.Equal(s, s.Allowance(s.now), 60)
			assert.Equal(s, s.Snapshot(s.now).LeaseLeft, term-(s.now.Mono-sent.Mono))
		},
		"a stale read changes nothing": func(s *script) {
			s.join(0)
			for range 2 {
				s.answerNextRead(limit.Share{Entries: []limit.Entry{s.entry(80)}}, 1)
				assert.Equal(s, s.Allowance(s.now), 60)
			}
		},
		"an entry that is larger in a copy of the store gives no more units than before": func(s *script) {
			s.join(0)
			s.answerNextRead(limit.Share{Entries: []limit.Entry{s.entry(80)}}, _restored)
			assert.Equal(s, s.Allowance(s.now), 60)
		},
		"units of a share from a copy are claimed only if they are spare": func(s *script) {
			s.join(60)
			s.assertRefused(limit.Flows)
			w := s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60)}}, _restored)
			assert.Equal(s, w.Share.Entries[0].Units(), limit.UnitsFor(60, 320))
			s.Handle(s.now, limit.Failed{Conflict: true})
			w = s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60)}, Spare: limit.UnitsFor(40, 320)}, _restored+1)
			assert.Equal(s, w.Share.Entries[0].Units()+w.Share.Spare, limit.UnitsFor(100, 320))
			assert.Assert(s, w.Share.Entries[0].Units() > limit.UnitsFor(60, 320))
		},
		"a share that an earlier build wrote in a later epoch is joined at once": func(s *script) {
			w := s.nextWrite(limit.Share{}, _restored)
			s.Handle(s.now, limit.WriteDone{Version: _restored + 1})
			assert.Equal(s, s.Allowance(s.now), 60)
			assert.Equal(s, w.Share.Epoch, uint32(2))
		},
		"a share from a copy is not joined while entries may be missing": func(s *script) {
			w := s.nextWrite(limit.Share{Epoch: 1}, _restored)
			assert.Equal(s, w.Share.Entries[0].Units(), limit.Units(0))
		},
		"a share that the store has lost is created again with the units in use": func(s *script) {
			s.join(60)
			w := s.nextWrite(limit.Share{}, 0)
			assert.Equal(s, w.Expected, platform.Version(0))
			assert.Equal(s, w.Share.Entries[0].Units(), limit.UnitsFor(60, 320))
		},
		"a leaving run does not create a lost share": func(s *script) {
			s.join(0)
			s.Leave(s.now)
			s.nextCall()
			s.Handle(s.now, readDone(limit.Share{}, 0))
			assert.Equal(s, s.nextCall(), limit.Action(limit.Done{}))
		},
		"units that others lack are returned within two poll intervals": func(s *script) {
			s.join(0)
			before := s.now.Mono
			w := s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60), entryOf(2, 260, 20)}}, 3)
			assert.Equal(s, w.Share.Free(), limit.UnitsFor(20, 320))
			assert.Assert(s, s.now.Mono-before < 2*time.Minute)
		},
		"a lower limit in the share applies, a higher one does not": func(s *script) {
			s.join(0)
			for _, noted := range []struct{ limit, allowed int }{{160, 30}, {3200, 60}} {
				s.answerNextRead(limit.Share{Revision: 6, Limit: noted.limit, Entries: []limit.Entry{s.entry(60)}}, 3)
				assert.Equal(s, s.Allowance(s.now), noted.allowed)
			}
		},
		"raising and lowering the limit changes no units and needs no write": func(s *script) {
			s.join(30)
			raised := _limits
			raised.Flows *= 100
			for _, change := range []struct {
				limits  limit.Limits
				allowed int
			}{{raised, 6000}, {_limits, 60}} {
				s.SetLimits(s.now, change.limits)
				assert.Equal(s, s.Allowance(s.now), change.allowed)
			}
			_, isRest := s.Act(s.now, s.gone).(limit.Wait)
			assert.Assert(s, isRest)
		},
		"flows are refused under a lowered limit until enough flows have ended": func(s *script) {
			s.join(60)
			lowered := _limits
			lowered.Flows = 160
			s.SetLimits(s.now, lowered)
			for range 31 {
				s.assertRefused(limit.Flows)
				s.Release()
			}
			_, err := s.TryAdmit(s.now)
			assert.NilError(s, err)
			assert.Equal(s, s.Open(), 30)
		},
		"a run with more open flows than its units are worth claims free units": func(s *script) {
			s.join(60)
			lowered := _limits
			lowered.Flows = 160
			s.SetLimits(s.now, lowered)
			s.assertRefused(limit.Flows)
			w := s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60)}}, 3)
			assert.Assert(s, w.Share.Entries[0].Units().Flows(160) >= 60)
		},
		"a host beyond the expected number has no floor": func(s *script) {
			others := []limit.Entry{entryOf(2, 0, 0), entryOf(3, 0, 0), entryOf(4, 0, 0), entryOf(5, 0, 0)}
			for i := range others {
				others[i].Floor = limit.UnitsFor(40, 320)
			}
			s.join(0, others...)
			assert.Equal(s, s.Snapshot(s.now).Floor, 0)
			assert.Equal(s, s.Allowance(s.now), 48)
			s.advance(term)
			s.assertRefused(limit.LeaseLapsed)
		},
		"flows of one upstream are limited": func(s *script) {
			s.join(0)
			single := _limits
			single.FlowsPerUpstream = 1
			s.SetLimits(s.now, single)
			_, err := s.TryAdmit(s.now)
			assert.NilError(s, err)
			s.assertRefused(limit.FlowsPerUpstream)
		},
		"a draining run refuses flows and returns the units that its open flows do not need": func(s *script) {
			s.join(20)
			s.Drain()
			s.assertRefused(limit.Draining)
			w := s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60)}}, 3)
			assert.Equal(s, w.Share.Entries[0].Units(), limit.UnitsFor(20, 320))
			assert.Equal(s, w.Share.Entries[0].Floor, limit.Units(0))
		},
		"a leaving run is done once its entry is removed": func(s *script) {
			s.join(0)
			s.Leave(s.now)
			w := s.nextWrite(limit.Share{Entries: []limit.Entry{s.entry(60)}}, 3)
			assert.Equal(s, len(w.Share.Entries), 0)
			s.Handle(s.now, limit.Failed{})
			s.nextCall()
			s.Handle(s.now, readDone(w.Share, 4))
			assert.Equal(s, s.nextCall(), limit.Action(limit.Done{}))
		},
	}
	for name, play := range scripts {
		t.Run(name, func(t *testing.T) { play(newScript(t)) })
	}
}

// TestReclaim checks when another run reclaims the leased part and the floor of a
// silent run: both after 1.1 times the lease term if the run is confirmed gone or a
// later run has its address. Otherwise, each part must be reclaimed after 1.1 times
// its own term plus the drain deadline.
func TestReclaim(t *testing.T) {
	const term, floorTerm, drain = 11 * time.Minute, 66 * time.Minute, time.Hour
	later := entryOf(2, 0, 0)
	later.Incarnation++
	cases := []struct {
		name          string
		gone          bool
		later         []limit.Entry
		leased, floor time.Duration
	}{
		{"confirmed gone", true, nil, term, term},
		{"replaced at its address", false, []limit.Entry{later}, term, term},
		{"silent", false, nil, term + drain, floorTerm + drain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t)
			pace := limit.DefaultPace()
			pace.Poll, pace.Renewal = 10*time.Second, 10*time.Second
			s.Holder = limit.NewHolder(s.now, run(1), pace, 1)
			s.SetLimits(s.now, _limits)
			s.gone = func(r limit.Run) bool { return c.gone && r == run(2) }
			silent := entryOf(2, 40, 0)
			silent.Floor = limit.UnitsFor(40, 320)
			silent.Open = 300
			share := s.join(0, append([]limit.Entry{silent}, c.later...)...)
			start := s.now.Mono
			assertReclaimed := func(after time.Duration, part func(limit.Entry) limit.Units) {
				for version := int(s.version) + 1; ; version++ {
					if entry, _ := share.Entry(silent.Run); part(entry) == 0 {
						break
					}
					share = s.nextWrite(share, version-1).Share
					s.version = platform.Version(version)
					s.Handle(s.now, limit.WriteDone{Version: s.version})
				}
				waited := s.now.Mono - start
				assert.Assert(t, waited >= after && waited < after+2*pace.Poll, "%s", waited)
			}
			assertReclaimed(c.leased, func(e limit.Entry) limit.Units { return e.Leased })
			assert.Equal(t, s.Allowance(s.now), 60, "flows past the drain deadline no longer count")
			assertReclaimed(c.floor, func(e limit.Entry) limit.Units { return e.Floor })
		})
	}
}

// FuzzShare checks that every decoded share stays within the Whole and keeps its
// free units when it is encoded and decoded again.
func FuzzShare(f *testing.F) {
	seed, err := json.Marshal(limit.Share{Revision: 3, Limit: 80, Entries: []limit.Entry{entryOf(1, 40, 1), entryOf(2, 20, 0)}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"entries":[{"address":"10.0.0.1:443","incarnation":1,"seq":1,"leased":5622750000000001}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var share limit.Share
		if json.Unmarshal(data, &share) != nil {
			return
		}
		encoded, err := json.Marshal(share)
		assert.NilError(t, err)
		var decoded limit.Share
		assert.NilError(t, json.Unmarshal(encoded, &decoded))
		assert.Equal(t, decoded.Free(), share.Free())
		assert.Assert(t, share.Free() <= limit.Whole)
	})
}
