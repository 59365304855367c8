package fleet_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/fleet"
	"dandelionhitch.example/peer"
)

var (
	_addr1 = netip.MustParseAddr("10.1.0.1")
	_addr2 = netip.MustParseAddr("10.1.0.2")
)

func report(addr netip.Addr, incarnation, sequence uint64, state peer.State) peer.UpstreamReport {
	return peer.UpstreamReport{Sidecar: addr, Incarnation: incarnation, Sequence: sequence, Service: "orders", State: state, Slots: 2}
}

// TestStaleReports delivers reports out of order: neither an older report of the same
// incarnation nor any report of the previous incarnation changes the upstream.
func TestStaleReports(t *testing.T) {
	v := fleet.New(time.Second)
	_, change := v.Report(0, report(_addr1, 5, 2, peer.Ready))
	assert.Assert(t, change.New)
	u, change := v.Report(0, report(_addr1, 5, 1, peer.Draining))
	assert.Assert(t, change.Stale)
	assert.Equal(t, u.State, peer.Ready)
	_, change = v.Report(0, report(_addr1, 3, 1, peer.Ready)) // a lower incarnation is not an older one
	assert.Assert(t, change.New)
	u, change = v.Report(0, report(_addr1, 5, 9, peer.Draining))
	assert.Assert(t, change.Stale)
	assert.Equal(t, u.State, peer.Ready)
}

// TestReportChangesService restarts the sidecar at an address with another service:
// its upstream must move from the old service's list to the new one's.
func TestReportChangesService(t *testing.T) {
	v := fleet.New(time.Second)
	v.Report(0, report(_addr2, 1, 1, peer.Ready))
	v.Report(0, report(_addr1, 1, 1, peer.Ready))
	assert.Equal(t, len(v.Service("orders")), 2)
	assert.Equal(t, v.Service("orders")[0].Sidecar, _addr1)
	r := report(_addr1, 2, 1, peer.Ready)
	r.Service = "photos"
	v.Report(0, r)
	assert.Equal(t, len(v.Service("orders")), 1)
	assert.Equal(t, len(v.Service("photos")), 1)
	assert.Equal(t, len(v.Sidecars()), 2)
}

// TestSilenceAndUnansweredOffers checks that an upstream gets no new flows while its
// sidecar is silent or is penalized for unanswered offers, and that only an answer,
// not a report, ends the penalty.
func TestSilenceAndUnansweredOffers(t *testing.T) {
	v := fleet.New(600 * time.Millisecond)
	u, _ := v.Report(0, report(_addr1, 1, 1, peer.Ready))
	assert.Assert(t, v.Eligible(time.Second, u))
	assert.Assert(t, !v.Eligible(2*time.Second, u), "the sidecar has been silent")
	v.Report(2*time.Second, report(_addr1, 1, 2, peer.Ready))
	firstPenalty := v.Unanswered(2*time.Second, _addr1)
	assert.Assert(t, firstPenalty > 0 && !v.Eligible(2*time.Second, u))
	assert.Equal(t, v.Unanswered(2*time.Second, _addr1), time.Duration(0), "a penalized upstream is not penalized again")
	secondPenalty := v.Unanswered(2*time.Second+firstPenalty, _addr1)
	assert.Assert(t, secondPenalty > firstPenalty)
	// A report alone does not prove that offers get through; an answer does.
	v.Report(2*time.Second+firstPenalty, report(_addr1, 1, 3, peer.Ready))
	assert.Assert(t, !v.Eligible(2*time.Second+firstPenalty, u))
	v.Answered(2*time.Second+firstPenalty, _addr1, 1, 2)
	assert.Assert(t, v.Eligible(2*time.Second+firstPenalty, u))
}

// TestReportRelay checks that a relay counts as confirmed only after its first report, that
// a repeated report is stale, and that a report without a zone does not change the known zone.
func TestReportRelay(t *testing.T) {
	v := fleet.New(time.Second)
	assert.Assert(t, v.AddRelay(0, _addr1))
	assert.Assert(t, !v.AddRelay(0, _addr1))
	assert.Equal(t, v.Relay(_addr1).LastReportAt, time.Duration(0))
	_, change := v.ReportRelay(time.Second, peer.RelayReport{Relay: _addr1, Incarnation: 1, Sequence: 1, Version: 7})
	assert.Assert(t, change.New)
	_, change = v.ReportRelay(time.Second, peer.RelayReport{Relay: _addr1, Incarnation: 1, Sequence: 1, Version: 9})
	assert.Assert(t, change.Stale)
	assert.Assert(t, !v.InZone(_addr1, "a"), "no report has named the zone")
	v.ReportRelay(time.Second, peer.RelayReport{Relay: _addr1, Incarnation: 1, Sequence: 2, Zone: "a"})
	v.ReportRelay(time.Second, peer.RelayReport{Relay: _addr1, Incarnation: 1, Sequence: 3})
	assert.Assert(t, v.InZone(_addr1, "a"), "a report without a zone must not change the known zone")
	random := rand.New(rand.NewPCG(1, 1))
	v.AddRelay(time.Second, _addr2)
	some := v.RandomProcesses(5, random)
	assert.Assert(t, len(some) == 1 && some[0] == _addr1, "%v", some)
}

// TestRemoveSilent checks that silent processes are removed after the retention period,
// sidecars sooner than relays, and that none of the indexes keeps a removed sidecar.
func TestRemoveSilent(t *testing.T) {
	v := fleet.New(time.Second)
	v.Report(0, report(_addr1, 1, 1, peer.Ready))
	v.AddRelay(0, _addr2)
	assert.Equal(t, len(v.RemoveSilent(time.Minute)), 0)
	v.RemoveSilent(2 * time.Minute)
	assert.Equal(t, v.SidecarCount(), 0)
	assert.Equal(t, len(v.RemoveSilent(4*time.Minute)), 1)
	assert.Equal(t, v.SidecarCount()+v.RelayCount()+len(v.Sidecars())+len(v.Service("orders")), 0)
}

// TestRemoveSilentInLargeFleet guards against removing sidecars whose reports are minutes
// apart because the fleet is large.
func TestRemoveSilentInLargeFleet(t *testing.T) {
	v := fleet.New(time.Second)
	interval, _ := peer.UpstreamInterval(5900)
	v.SetInterval(interval)
	u, _ := v.Report(0, report(_addr1, 1, 1, peer.Ready))
	v.RemoveSilent(2 * interval)
	assert.Equal(t, v.SidecarCount(), 1)
	assert.Assert(t, v.Eligible(interval, u))
}

// zoneOf assigns an address to one of three zones.
func zoneOf(addr netip.Addr) string { return string('a' + addr.As4()[3]%3) }

// newServiceView returns a view of a service with the given number of hosts, spread over
// three zones, and their addresses.
func newServiceView(hosts int) (*fleet.View, []netip.Addr) {
	v := fleet.New(time.Second)
	var addrs []netip.Addr
	for i := range hosts {
		addr := netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)})
		r := report(addr, 1, 1, peer.Ready)
		r.Zone = zoneOf(addr)
		v.Report(0, r)
		addrs = append(addrs, addr)
	}
	return v, addrs
}

// TestNeighbours checks that a host has at most count neighbours, most of them in its own
// zone, and that in a large service all hosts of a zone are neighbours of the same number
// of hosts of that zone.
func TestNeighbours(t *testing.T) {
	const count = 16
	for _, hosts := range []int{1, 2, count, count + 1, 20, 45, 130} {
		v, addrs := newServiceView(hosts)
		fromSameZone, fromOtherZones := make(map[netip.Addr]int), make(map[netip.Addr]int)
		for _, self := range addrs {
			seen := make(map[netip.Addr]bool)
			for _, u := range v.Neighbours("orders", self, zoneOf(self), count) {
				assert.Assert(t, u.Sidecar != self && !seen[u.Sidecar], "%d hosts: wrong neighbour %v of %v", hosts, u.Sidecar, self)
				seen[u.Sidecar] = true
				if u.Zone == zoneOf(self) {
					fromSameZone[u.Sidecar]++
				} else {
					fromOtherZones[u.Sidecar]++
				}
			}
			assert.Equal(t, len(seen), min(hosts-1, count), "%d hosts, %v", hosts, self)
		}
		var totalFromOtherZones int
		for _, addr := range addrs {
			totalFromOtherZones += fromOtherZones[addr]
			if hosts >= 3*count {
				assert.Equal(t, fromSameZone[addr], count-count/4, "%d hosts, %v", hosts, addr)
			}
		}
		if hosts >= 3*count {
			assert.Equal(t, totalFromOtherZones, hosts*count/4)
		}
	}
}

// TestIntroduceInterval checks that a sidecar gets one introduction per interval even if
// every relay names it at once, and none once it is known.
func TestIntroduceInterval(t *testing.T) {
	v := fleet.New(time.Second)
	assert.Assert(t, v.Introduce(0, _addr1))
	assert.Assert(t, !v.Introduce(900*time.Millisecond, _addr1))
	assert.Assert(t, v.Introduce(900*time.Millisecond, _addr2))
	assert.Assert(t, v.Introduce(time.Second, _addr1), "the first introduction may have been lost")
	v.RemoveSilent(time.Minute)
	assert.Assert(t, v.Introduce(time.Minute, _addr2))
	v.Report(time.Minute, report(_addr2, 1, 1, peer.Ready))
	assert.Assert(t, !v.Introduce(2*time.Minute, _addr2), "the sidecar is known")
}

// TestIntroduceAddsNoUpstream checks that naming a sidecar, which may have ended long ago,
// does not make its upstream eligible for flows: only the sidecar's own report can.
func TestIntroduceAddsNoUpstream(t *testing.T) {
	v := fleet.New(time.Second)
	assert.Assert(t, v.Introduce(0, _addr1))
	assert.Assert(t, v.Upstream(_addr1) == nil)
	assert.Equal(t, len(v.Sidecars()), 0)
	v.Report(0, report(_addr1, 1, 1, peer.Gone))
	assert.Assert(t, !v.Introduce(time.Minute, _addr1), "the sidecar is known")
	assert.Assert(t, !v.Eligible(0, v.Upstream(_addr1)))
}

// TestReplacedIncarnationIsStale restarts a sidecar with another service and then delivers
// a late report of the previous incarnation, which must not restore the old service.
func TestReplacedIncarnationIsStale(t *testing.T) {
	v := fleet.New(time.Second)
	v.Report(0, report(_addr1, 5, 7, peer.Ready))
	restarted := report(_addr1, 6, 1, peer.Ready)
	restarted.Service = "photos"
	v.Report(0, restarted)
	_, change := v.Report(0, report(_addr1, 5, 99, peer.Ready))
	assert.Assert(t, change.Stale)
	assert.Equal(t, len(v.Service("orders")), 0)
	assert.Equal(t, len(v.Service("photos")), 1)
}

// TestDelayedReportsDoNotSilenceLiveSidecar guards against a sidecar that stays ignored,
// because a delayed report of one two incarnations before it, or from before the start of
// this process, made it the previous incarnation.
func TestDelayedReportsDoNotSilenceLiveSidecar(t *testing.T) {
	v := fleet.New(time.Second)
	v.Report(0, serviceReport(_addr1, 9, 1, "photos"))
	v.Report(0, serviceReport(_addr1, 4, 7, "orders")) // ended, and delayed
	for i := range uint64(3) {
		v.Report(time.Duration(i+1)*time.Second, serviceReport(_addr1, 9, 2+i, "photos"))
	}
	assert.Equal(t, v.Upstream(_addr1).Service, "photos")
	assert.Equal(t, len(v.Service("orders")), 0)
	// The last reports of the former incarnation, in any order, change nothing.
	for _, sequence := range []uint64{8, 6, 9} {
		_, change := v.Report(4*time.Second, serviceReport(_addr1, 4, sequence, "orders"))
		assert.Assert(t, change.Stale)
	}
	assert.Equal(t, v.Upstream(_addr1).Service, "photos")
}

// TestDelayedReportsDoNotSilenceLiveRelay guards against the same for a relay: its reports were
// ignored until it was removed.
func TestDelayedReportsDoNotSilenceLiveRelay(t *testing.T) {
	v := fleet.New(time.Second)
	relayReport := func(now time.Duration, incarnation, sequence uint64, leaving bool) fleet.Change {
		_, change := v.ReportRelay(now, peer.RelayReport{Relay: _addr1, Incarnation: incarnation, Sequence: sequence, Leaving: leaving})
		return change
	}
	relayReport(0, 9, 1, false)
	relayReport(0, 4, 7, true) // ended, and delayed
	for i := range uint64(3) {
		relayReport(time.Duration(i+1)*time.Second, 9, 2+i, false)
	}
	assert.Assert(t, !v.Relay(_addr1).Leaving)
	// The last reports of the former incarnation, in any order, change nothing.
	for _, sequence := range []uint64{8, 6, 9} {
		assert.Assert(t, relayReport(4*time.Second, 4, sequence, true).Stale)
	}
	assert.Assert(t, !v.Relay(_addr1).Leaving)
}

func serviceReport(addr netip.Addr, incarnation, sequence uint64, service string) peer.UpstreamReport {
	r := report(addr, incarnation, sequence, peer.Ready)
	r.Service = service
	return r
}

// TestNoRoomExpires checks that a report of no capacity for a priority ceases to count after 1 s,
// and before that once the upstream may have worked off the load that it had. Otherwise its slots
// could be free while reports are lost.
func TestNoRoomExpires(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		busy    uint16
		runTime time.Duration
		counts  time.Duration
	}{
		"run time not known": {busy: 20, counts: time.Second},
		"load worked off":    {busy: 20, runTime: 15 * ms, counts: 150 * ms},
		"long run time":      {busy: 20, runTime: 500 * ms, counts: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			v := fleet.New(time.Second)
			r := report(_addr1, 1, 1, peer.Ready)
			r.NoRoomFrom, r.Busy, r.RunTime = 2, test.busy, uint16(test.runTime/peer.RunTimeUnit)
			u, _ := v.Report(time.Second, r)
			assert.Assert(t, !u.LacksRoom(time.Second, 0))
			assert.Assert(t, u.LacksRoom(time.Second, 2))
			assert.Assert(t, u.LacksRoom(time.Second+test.counts, 1))
			assert.Assert(t, !u.LacksRoom(time.Second+test.counts+ms, 1))
			assert.Assert(t, u.HasPartialRoom(2*time.Second, 0) && !u.HasPartialRoom(2*time.Second, 1))
			assert.Assert(t, !u.HasPartialRoom(2*time.Second+ms, 0))
			v.Answered(time.Second+900*ms, _addr1, 1, 2)
			assert.Equal(t, u.NoRoomUpdatedAt, time.Second, "an answer does not tell of the priorities")
		})
	}
}

// TestOverloadedShowsNoRoom checks that the answer of an overloaded sidecar counts until its next
// report, unless the sidecar is of a build that does not report capacity by priority: that one
// counts as having capacity.
func TestOverloadedShowsNoRoom(t *testing.T) {
	v := fleet.New(time.Second)
	r := report(_addr1, 1, 1, peer.Ready)
	u, _ := v.Report(0, r)
	v.Overloaded(0, _addr1, 1)
	v.Overloaded(0, _addr2, 1) // not known
	assert.Assert(t, !u.LacksRoom(0, 1), "perhaps an older build")
	r.Sequence, r.NoRoomFrom = 2, 3
	v.Report(0, r)
	v.Overloaded(0, _addr1, 1)
	assert.Assert(t, u.LacksRoom(0, 1) && !u.LacksRoom(0, 0))
	v.Overloaded(0, _addr1, 2)
	assert.Assert(t, u.LacksRoom(0, 1), "no capacity for priority 2 tells nothing of priority 1")
	r.Sequence, r.NoRoomFrom = 3, 0
	v.Report(0, r)
	assert.Assert(t, !u.LacksRoom(0, 2))
	v.Overloaded(0, _addr1, 2)
	assert.Assert(t, u.LacksRoom(0, 2))
	r.Incarnation, r.Sequence = 2, 1 // perhaps an older build was installed
	v.Report(0, r)
	v.Overloaded(0, _addr1, 1)
	assert.Assert(t, !u.LacksRoom(0, 1))
}
