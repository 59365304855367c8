package keeper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

func testKey(n int) roster.Key {
	return roster.UpstreamKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1))
}

func testMember(n int, place service.Place) roster.Member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
	return roster.Member{
		Name: fmt.Sprintf("entry-%d", n), Place: place, Data: addr, Control: addr,
		Incarnation: 1, Seq: 1, State: service.Serving,
	}
}

// fixedStates implements entryStates with states that a test sets.
type fixedStates map[roster.Key]roster.Status

func (f fixedStates) status(key roster.Key) roster.Status { return f[key] }
func (f fixedStates) responsible(roster.Key) bool         { return true }

// TestWatchlistAgainstModel compares the watchlist with a model. The watchlist must
// suspect a process if and only if there was no contact for the timeout, while this
// process was neither paused nor disconnected.
func TestWatchlistAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newWatchlist()
		key := testKey(1)
		states := fixedStates{key: {Version: roster.RecordVersion{Incarnation: 1, Seq: 1}, State: service.Serving}}
		now, since, timeout := time.Duration(0), time.Duration(0), HeartbeatTimeout
		refutable, cutOff := false, false
		l.recordContact(now, key)
		tick := func(paused, connected bool) {
			now += 2 * _detectInterval
			if paused {
				now += time.Hour
			}
			actions := l.tick(now, connected, states)
			if paused || (cutOff && connected) {
				assert.Equal(t, len(actions), 0, "after a pause or disconnection all timeouts restart")
				since, cutOff = now, false
				return
			}
			if cutOff = !connected; cutOff {
				assert.Assert(t, !slices.Contains(actions, action(suspect{key})))
				return
			}
			if now-since <= timeout || states[key].Suspect {
				assert.Assert(t, !slices.Contains(actions, action(suspect{key})))
				return
			}
			if refutable {
				timeout, since, refutable = min(2*timeout, _maxTimeout), now, false
				return
			}
			assert.Assert(t, slices.Contains(actions, action(suspect{key})))
			assert.Assert(t, slices.Contains(actions, action(probe{key, 1})) || l.watches[key].probeAt > now)
			status := states[key]
			status.Suspect = true
			states[key] = status
			refutable = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"heard": func(t *rapid.T) {
				l.recordContact(now, key)
				since, timeout, refutable = now, HeartbeatTimeout, false
			},
			"refuted": func(*rapid.T) {
				status := states[key]
				if status.Suspect {
					status.Suspect = false
					status.Version.Seq++
					states[key] = status
				}
			},
			"ticks": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "ticks") {
					tick(false, true)
				}
			},
			"paused": func(*rapid.T) { tick(true, true) },
			"cut off": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "ticks") {
					tick(false, false)
				}
			},
		})
	})
}

// TestDisconnectedBalancerProbesButDoesNotSuspect checks that a balancer without
// evidence of being connected requests only a probe when a process times out.
func TestDisconnectedBalancerProbesButDoesNotSuspect(t *testing.T) {
	l := newWatchlist()
	key := testKey(1)
	states := fixedStates{key: {Version: roster.RecordVersion{Incarnation: 7, Seq: 1}, State: service.Serving}}
	l.recordContact(1, key)
	var actions []action
	for now := _detectInterval; now <= HeartbeatTimeout+2*_detectInterval; now += _detectInterval {
		actions = append(actions, l.tick(now, false, states)...)
	}
	assert.Assert(t, slices.Equal(actions, []action{probe{key, 7}}), "%v", actions)
}

// TestFailedCallTriggersProbe checks that a failed call to a process leads to a single probe
// of the process in the next tick, and that a process that is gone is no longer watched.
func TestFailedCallTriggersProbe(t *testing.T) {
	l := newWatchlist()
	key := testKey(1)
	states := fixedStates{key: {Version: roster.RecordVersion{Incarnation: 7, Seq: 1}, State: service.Serving}}
	l.callFailed(1, key)
	assert.Assert(t, slices.Equal(l.tick(1, true, states), []action{probe{key, 7}}))
	assert.Equal(t, len(l.tick(time.Second/2, true, states)), 0)
	states[key] = roster.Status{State: service.Gone}
	l.tick(time.Second, true, states)
	assert.Equal(t, len(l.watches), 0)
}

// TestProbe checks the results for a port with a listener that never accepts, for a
// port without a listener, and for a probe that is cancelled.
func TestProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	assert.Equal(t, tcpProber{}.Probe(context.Background(), addr), roster.Listening)
	assert.NilError(t, l.Close())
	assert.Equal(t, tcpProber{}.Probe(context.Background(), addr), roster.Refused)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, tcpProber{}.Probe(cancelled, addr), roster.NoAnswer)
}

// TestNeighbours checks how many neighbours of a balancer are in the balancer's own place
// and how many elsewhere, and that a suspected member is not a neighbour.
func TestNeighbours(t *testing.T) {
	for _, tt := range []struct{ near, far, wantNear, wantFar int }{
		{0, 0, 0, 0},
		{2, 0, 2, 0},
		{0, 9, 0, 5},
		{9, 0, 5, 0},
		{9, 9, 3, 2},
		{9, 1, 4, 1},
		{1, 9, 1, 4},
		{110, 550, 3, 2},
	} {
		var members []roster.MemberStatus
		for n := range tt.near + tt.far {
			place := service.Place("oslo-a")
			if n >= tt.near {
				place = "oslo-b"
			}
			members = append(members, roster.MemberStatus{Member: testMember(n+1, place)})
		}
		self := testMember(0, "oslo-a")
		members = append(members, roster.MemberStatus{Member: self})
		got := neighbours(self, members)
		near := 0
		for _, m := range got {
			if m.Place == self.Place {
				near++
			}
		}
		assert.Equal(t, near, tt.wantNear, "%+v", tt)
		assert.Equal(t, len(got)-near, tt.wantFar, "%+v", tt)
		if len(got) > 0 {
			at := slices.IndexFunc(members, func(m roster.MemberStatus) bool { return m.Data == got[0].Data })
			members[at].Suspect = true
			for _, m := range neighbours(self, members) {
				assert.Assert(t, m.Data != got[0].Data)
			}
		}
	}
}

// TestBudget checks that the traffic that a budget allows stays within _syncBurst and
// _syncRate, and that at least nine tenths of the rate can be used.
func TestBudget(t *testing.T) {
	var b budget
	spent := 0
	for now := time.Duration(0); now < time.Hour; now += 100 * time.Millisecond {
		if b.take(now, 1000) {
			spent += 1000
		}
		bound := _syncBurst + 1000 + int(now.Seconds()*_syncRate)
		assert.Assert(t, spent <= bound, "%d octets after %v", spent, now)
	}
	assert.Assert(t, spent >= _syncRate*3600*9/10)
}

// TestAbandonedLeases checks that only the lease of a member that has stopped renewing
// is found abandoned, and that an outage of the platform restarts the term of all leases.
func TestAbandonedLeases(t *testing.T) {
	var tracker leaseTracker
	now := time.Duration(0)
	read := func(live platform.Version) []string {
		now += _leaseInterval
		var keys []string
		for _, o := range tracker.observe(now, []platform.Object{{Key: "dead", Version: 1}, {Key: "live", Version: live}}) {
			keys = append(keys, o.Key)
		}
		return keys
	}
	for v := range platform.Version(5) {
		assert.Equal(t, len(read(v)), 0)
	}
	now += time.Hour
	assert.Equal(t, len(read(5)), 0, "an outage restarts the term of each lease")
	for v := range platform.Version(4) {
		assert.Equal(t, len(read(6+v)), 0)
	}
	assert.DeepEqual(t, read(10), []string{"dead"})
}

func FuzzMessages(f *testing.F) {
	addr := testKey(1).Addr
	for _, message := range []any{
		HeartbeatRequest{Data: addr, Incarnation: 1, Seq: 1, Load: 3, WantPeers: true},
		HeartbeatReply{Highest: 3, Choices: []Choice{{addr, addr}}, Peers: []Peer{{Data: addr, Control: addr}}},
		ExchangeRequest{From: addr, Push: roster.Push{Groups: make([]byte, roster.GroupsSize)}},
		ExchangeReply{From: addr},
		MembersReply{Members: []roster.MemberStatus{{Member: testMember(1, "oslo-a")}}},
	} {
		data, err := cbor.Marshal(message)
		assert.NilError(f, err)
		f.Add(data)
	}
	k := &Keeper{
		options: newOptions(nil), roster: roster.New(), watchlist: newWatchlist(), start: time.Now(),
		self: testMember(0, "oslo-a"), loads: make(map[roster.Key]fineLoad), wake: make(chan struct{}, 1),
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var h HeartbeatRequest
		if cbor.Unmarshal(data, &h) == nil && h.Validate() == nil {
			_ = k.Endpoint().Heartbeat(&h, &HeartbeatReply{})
		}
		var e ExchangeRequest
		if cbor.Unmarshal(data, &e) == nil && e.Validate() == nil {
			_ = k.Endpoint().Exchange(&e, &ExchangeReply{})
		}
		for _, message := range []interface{ Validate() error }{&HeartbeatReply{}, &ExchangeReply{}, &MembersReply{}, &RecordsReply{}} {
			if cbor.Unmarshal(data, message) == nil {
				_ = message.Validate()
			}
		}
	})
}
