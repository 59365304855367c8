package roster

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/service"
)

func testAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 4000)
}

func testUpstream(n int) Upstream {
	return Upstream{
		Service: service.ID(1 + n/7), Name: "rutetjeneste", Place: "oslo-a",
		Data: testAddr(n), Control: testAddr(n), Incarnation: 100, Seq: 1,
		State: service.Serving, Weight: 1, Load: LoadLow,
	}
}

func testMember(n int) Member {
	return Member{
		Name: fmt.Sprintf("entry-%d", n), Place: "oslo-a", Data: testAddr(1<<16 + n), Control: testAddr(1<<16 + n),
		Incarnation: 100, Seq: 1, State: service.Serving,
	}
}

// keyOf returns a member key that identifies a roster in a test.
func keyOf(r *Roster) Key {
	text := fmt.Sprintf("%p", r)
	n, _ := strconv.ParseUint(text[2:], 16, 64)
	return MemberKey(testAddr(int(n >> 4)))
}

// exchange makes one exchange between two rosters. The argument deliver is the number of
// messages that arrive; later ones are lost. If octets is not nil, messages are encoded, decoded and
// validated, and the size of the encodings is added to it.
func exchange(t assert.TestingT, now time.Duration, a, b *Roster, compare bool, deliver int, octets *int) {
	sent := 0
	pass := func(from, to any) bool {
		if octets != nil {
			data, err := cbor.Marshal(from)
			assert.NilError(t, err)
			*octets += len(data)
			assert.NilError(t, cbor.Unmarshal(data, to))
			assert.NilError(t, to.(interface{ Validate() error }).Validate())
		}
		sent++
		return sent <= deliver
	}
	p := a.Push(now, keyOf(b), compare)
	if !pass(p, &p) {
		return
	}
	reply, _ := b.AnswerPush(now, keyOf(a), p)
	if !pass(reply, &reply) {
		return
	}
	s, _ := a.ApplyPushReply(now, keyOf(b), reply)
	if len(s.Summaries) == 0 || !pass(s, &s) {
		return
	}
	answer := b.AnswerSync(now, s)
	if !pass(answer, &answer) {
		return
	}
	p, _ = a.ApplySyncReply(now, keyOf(b), answer)
	if len(p.Deltas) > 0 && pass(p, &p) {
		reply, _ = b.AnswerPush(now, keyOf(a), p)
		a.ApplyPushReply(now, keyOf(b), reply)
	}
}

// _noLoss makes exchange deliver all messages.
const _noLoss = 1 << 30

// TestMergeOrder checks that two rosters are equal after they have merged the same deltas,
// one of them in another order and each delta twice.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deltas := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Delta {
			u := testUpstream(rapid.IntRange(0, 1).Draw(t, "n"))
			u.Incarnation = service.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation"))
			u.Seq = uint64(rapid.IntRange(1, 4).Draw(t, "seq"))
			u.State = service.State(rapid.IntRange(1, 4).Draw(t, "state"))
			switch rapid.IntRange(1, 3).Draw(t, "part") {
			case 1:
				return Delta{Upstream: &u}
			case 2:
				return Delta{Kind: KindUpstream, Addr: u.Data, SuspectIncarnation: u.Incarnation, SuspectSeq: u.Seq}
			}
			return Delta{Kind: KindUpstream, Addr: u.Data, Gone: u.Incarnation}
		}), 1, 12).Draw(t, "deltas")
		a, b := New(), New()
		a.Apply(0, Key{}, deltas)
		b.Apply(0, Key{}, rapid.Permutation(append(deltas, deltas...)).Draw(t, "order"))
		assert.DeepEqual(t, a.Groups(), b.Groups())
	})
}

// TestJoin checks that an empty roster gets all entries of a full one that has no rumors
// left to send, by comparing digests in exchanges that the empty roster begins.
func TestJoin(t *testing.T) {
	full, joiner := New(), New()
	for n := range 1000 {
		full.Announce(0, testUpstream(n))
	}
	for full.Rumors(0, keyOf(joiner), _maxRumors) != nil {
	}
	for range (_buckets - _memberBuckets) / _maxSyncBuckets {
		exchange(t, 0, joiner, full, true, _noLoss, nil)
	}
	assert.DeepEqual(t, joiner.Groups(), full.Groups())
	assert.Equal(t, len(joiner.Upstreams(0)), 1000)
}

// TestTombstones checks that the end of a run is passed on for half of TombstoneTTL, that
// afterwards a process that still considers the run alive learns of its end, and that all
// processes remove the entry after TombstoneTTL.
func TestTombstones(t *testing.T) {
	a, b, outdated := New(), New(), New()
	u := testUpstream(1)
	key := UpstreamKey(u.Data)
	outdated.Announce(0, u)
	u.Seq, u.State = 2, service.Gone
	a.Announce(0, u)
	half := TombstoneTTL / 2

	a.Expire(half - time.Second)
	exchange(t, half-time.Second, b, a, true, _noLoss, nil)
	_, known := b.Status(key)
	assert.Assert(t, known, "the end of a run is passed on within half of its TTL")

	a.Expire(half)
	b.Expire(half)
	assert.DeepEqual(t, a.Groups(), New().Groups())
	exchange(t, half, New(), a, true, _noLoss, nil)
	exchange(t, half, outdated, a, true, _noLoss, nil)
	status, _ := outdated.Status(key)
	assert.Equal(t, status.State, service.Gone, "a process that still considers the run alive learns of its end")

	for _, r := range []*Roster{a, b, outdated} {
		assert.Equal(t, r.Expire(TombstoneTTL+time.Second), 1)
		assert.Equal(t, r.Len(), 0)
	}
}

// TestPanicRule checks that suspected upstreams are not eligible unless more than half of
// the service's upstreams are suspected.
func TestPanicRule(t *testing.T) {
	for suspected, want := range []int{5, 4, 3, 5, 5, 5} {
		r := New()
		for n := range 5 {
			u := testUpstream(n)
			u.Service = 1
			r.Announce(0, u)
			if n < suspected {
				r.Suspect(0, UpstreamKey(u.Data))
			}
		}
		assert.Equal(t, len(r.View(0).Services[1]), want, "%d of 5 suspected", suspected)
	}
}

// TestSuspectedWithoutVerdict checks upstreams that stay suspected, as after their hosts
// have vanished: they get no verdict, count for the panic rule during PanicTime only, are
// passed on for half of SuspectTTL, and are removed after SuspectTTL.
func TestSuspectedWithoutVerdict(t *testing.T) {
	r := New()
	for n := range 3 {
		u := testUpstream(n)
		u.Service = 1
		r.Announce(0, u)
	}
	r.Suspect(0, UpstreamKey(testAddr(0)))
	r.Suspect(0, UpstreamKey(testAddr(1)))
	assert.Equal(t, len(r.View(PanicTime - 1).Services[1]), 3)
	assert.Equal(t, len(r.View(PanicTime).Services[1]), 1)
	assert.Assert(t, r.View(PanicTime-1).Ramping && !r.View(PanicTime).Ramping)
	r.Suspect(PanicTime, UpstreamKey(testAddr(2)))
	assert.Equal(t, len(r.View(PanicTime).Services[1]), 1)
	assert.Equal(t, len(r.View(2 * PanicTime).Services[1]), 3, "without other upstreams, long suspected ones are eligible")
	for _, gone := range r.View(SuspectTTL).Gone {
		assert.Equal(t, gone.Incarnation, service.Incarnation(99))
	}
	other := New()
	r.Expire(SuspectTTL / 2)
	exchange(t, SuspectTTL/2, other, r, true, _noLoss, nil)
	assert.Equal(t, other.Len(), 1, "only the latest suspicion is passed on")
	assert.Equal(t, r.Expire(SuspectTTL), 2)
}

// TestShares checks that the share grows during RampTime, is reduced under full load, and
// starts to grow again with a new incarnation.
func TestShares(t *testing.T) {
	r := New()
	u := testUpstream(1)
	u.Weight = 3
	r.Announce(time.Minute, u)
	share := func(now time.Duration) uint32 { return r.View(now).Services[u.Service][0].Share }
	assert.Equal(t, share(time.Minute), uint32(3*_rampFloor))
	assert.Equal(t, share(time.Minute+RampTime/2), uint32(3*(_rampFloor+ShareScale)/2))
	assert.Equal(t, share(time.Minute+RampTime), uint32(3*ShareScale))
	u.Seq, u.Load = 2, LoadFull
	r.Announce(2*time.Minute, u)
	assert.Equal(t, share(2*time.Minute), uint32(3*ShareScale/4))
	u.Incarnation++
	r.Announce(3*time.Minute, u)
	assert.Equal(t, share(3*time.Minute), uint32(3*_rampFloor/4))
}

func TestLoadFilter(t *testing.T) {
	var f LoadFilter
	for i, step := range []struct {
		at      time.Duration
		percent uint8
		want    Load
	}{
		{0, 50, LoadLow},
		{1, 60, LoadHigh},
		{2, 99, LoadHigh},
		{1 + MinLoadInterval, 99, LoadFull},
		{1 + 2*MinLoadInterval, 85, LoadFull},
		{1 + 2*MinLoadInterval, 79, LoadHigh},
		{1 + 3*MinLoadInterval, 41, LoadHigh},
		{1 + 3*MinLoadInterval, 39, LoadLow},
	} {
		f = f.Updated(step.at, step.percent)
		assert.Equal(t, f.Level(), step.want, "step %d", i)
	}
}

// TestKeepers checks that keepers are distinct, that two upstreams of a service have the
// same first keeper, and that a draining member is no keeper.
func TestKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		n := rapid.IntRange(0, 12).Draw(t, "members")
		for i := range n {
			r.AnnounceMember(0, testMember(i))
		}
		u, other := testUpstream(0), testUpstream(1)
		keepers := r.Keepers(u)
		assert.Equal(t, len(keepers), min(n, KeeperChoices))
		seen := make(map[netip.AddrPort]bool)
		for _, k := range keepers {
			assert.Assert(t, !seen[k.Data])
			seen[k.Data] = true
		}
		if n == 0 {
			return
		}
		assert.Equal(t, keepers[0].Name, r.Keepers(other)[0].Name, "upstreams of a service have the same first keeper")
		draining := keepers[rapid.IntRange(0, len(keepers)-1).Draw(t, "leaving")]
		draining.Seq, draining.State = 2, service.Draining
		r.AnnounceMember(0, draining)
		for _, k := range r.Keepers(u) {
			assert.Assert(t, k.Name != draining.Name)
		}
	})
}

func FuzzMessages(f *testing.F) {
	u, m := testUpstream(1), testMember(1)
	a, b := New(), New()
	a.Announce(0, u)
	b.AnnounceMember(0, m)
	push := a.Push(0, Key{}, true)
	reply, _ := b.AnswerPush(0, Key{}, push)
	s, _ := a.ApplyPushReply(0, Key{}, reply)
	for _, message := range []any{push, reply, s, b.AnswerSync(0, s)} {
		data, err := cbor.Marshal(message)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New()
		r.Announce(0, testUpstream(1))
		r.AnnounceMember(0, testMember(1))
		var p Push
		if cbor.Unmarshal(data, &p) == nil && p.Validate() == nil {
			r.AnswerPush(time.Hour, Key{}, p)
		}
		var q PushReply
		if cbor.Unmarshal(data, &q) == nil && q.Validate() == nil {
			r.ApplyPushReply(time.Hour, Key{}, q)
		}
		var s Sync
		if cbor.Unmarshal(data, &s) == nil && s.Validate() == nil {
			r.AnswerSync(time.Hour, s)
		}
		var w SyncReply
		if cbor.Unmarshal(data, &w) == nil && w.Validate() == nil {
			r.ApplySyncReply(time.Hour, Key{}, w)
		}
		r.View(time.Hour)
		checkHashes(t, r)
	})
}
