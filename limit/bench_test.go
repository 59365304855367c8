package limit_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// Size of the simulated fleet, and the rates of calls that the platform accepts.
const (
	_fleetPlaces = 590
	_fleetHosts  = 10 // per place
	_fleetLimit  = 20000
	_fleetWrites = 300  // per second
	_fleetReads  = 1500 // per second
	_fleetSize   = _fleetPlaces * _fleetHosts
)

// fleet simulates, on a virtual clock, many places with one platform, which refuses
// calls above its rates.
type fleet struct {
	now    time.Duration
	places []*fleetPlace
	outage bool
	// currentSecond counts the calls in the current second. peak has the most calls
	// in any one second, and total all calls.
	currentSecond, peak, total calls
	// demandMetAt is when the fleet first had all demanded flows open; zero before.
	demandMetAt time.Duration
}

type calls struct{ reads, writes, refused int }

type fleetPlace struct {
	share   limit.Share
	version platform.Version
	hosts   []*limit.Holder
}

func newFleet() *fleet {
	f := &fleet{}
	for i := range _fleetPlaces {
		p := &fleetPlace{}
		for j := range _fleetHosts {
			run := limit.Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j)}), 443), Incarnation: 1}
			h := limit.NewHolder(limit.Instant{}, run, limit.DefaultPace(), uint64(i*_fleetHosts+j))
			h.SetLimits(limit.Instant{}, limit.Limits{
				Revision: 1, Flows: _fleetLimit, FlowsPerUpstream: _fleetLimit,
				MaxHosts: _fleetHosts, DrainDeadline: settings.Duration(time.Hour),
			})
			p.hosts = append(p.hosts, h)
		}
		f.places = append(f.places, p)
	}
	return f
}

// run advances the simulation by d, while each host tries to keep its demanded
// number of flows open.
func (f *fleet) run(d time.Duration, demand func(host int) int) {
	for end := f.now + d; f.now < end; f.now += time.Second {
		f.currentSecond = calls{}
		for _, p := range f.places {
			for i, h := range p.hosts {
				f.serve(h, demand(i))
				for f.act(p, h) {
				}
			}
		}
		if f.demandMetAt == 0 && f.unmetFlows(demand) == 0 {
			f.demandMetAt = f.now
		}
		f.peak.reads = max(f.peak.reads, f.currentSecond.reads)
		f.peak.writes = max(f.peak.writes, f.currentSecond.writes)
		f.total.reads += f.currentSecond.reads
		f.total.writes += f.currentSecond.writes
		f.total.refused += f.currentSecond.refused
	}
}

// serve opens or ends flows until the demanded number is open or a flow is refused.
func (f *fleet) serve(h *limit.Holder, demand int) {
	for h.Open() > demand {
		h.Release()
	}
	for h.Open() < demand {
		if _, err := h.TryAdmit(f.instant()); err != nil {
			return
		}
	}
}

func (f *fleet) instant() limit.Instant { return limit.Instant{Mono: f.now, Wall: f.now} }

// act performs the next action of h. It returns false if h has nothing to do now.
func (f *fleet) act(p *fleetPlace, h *limit.Holder) bool {
	switch a := h.Act(f.instant(), func(limit.Run) bool { return false }).(type) {
	case limit.Read:
		if f.overRate(&f.currentSecond.reads, _fleetReads) {
			h.Handle(f.instant(), limit.Failed{})
			break
		}
		h.Handle(f.instant(), limit.ReadDone{Share: p.share, Version: p.version})
	case limit.Write:
		if f.overRate(&f.currentSecond.writes, _fleetWrites) {
			h.Handle(f.instant(), limit.Failed{})
			break
		}
		p.share, p.version = a.Share, p.version+1
		h.Handle(f.instant(), limit.WriteDone{Version: p.version})
	default:
		return false
	}
	return true
}

// overRate counts a call, and reports whether the platform refuses it because of
// an outage or because the calls in this second exceed the rate.
func (f *fleet) overRate(calls *int, rate int) bool {
	*calls++
	if !f.outage && *calls <= rate {
		return false
	}
	f.currentSecond.refused++
	return true
}

// unmetFlows returns how many of the demanded flows are not open.
func (f *fleet) unmetFlows(demand func(host int) int) (flows int) {
	for _, p := range f.places {
		for i, h := range p.hosts {
			flows += demand(i) - h.Open()
		}
	}
	return flows
}

// demandedFlows returns the sum of the demand of all hosts.
func (f *fleet) demandedFlows(demand func(host int) int) (flows int) {
	for _, p := range f.places {
		for i := range p.hosts {
			flows += demand(i)
		}
	}
	return flows
}

// evenDemand returns a demand that is equal at all hosts of a place, and adds up to
// the given part of the limit.
func evenDemand(part float64) func(int) int {
	return func(int) int { return int(part * _fleetLimit / _fleetHosts) }
}

// unevenDemand returns a demand that rises from zero at the first host of a place to
// twice the mean at the last host, and adds up to the given part of the limit.
func unevenDemand(part float64) func(int) int {
	return func(host int) int {
		return int(part * _fleetLimit / _fleetHosts * 2 * float64(host) / (_fleetHosts - 1))
	}
}

// BenchmarkFleet measures how often a fleet of 5,900 hosts calls the platform, and
// how soon its demand is met.
func BenchmarkFleet(b *testing.B) {
	phases := []struct {
		name   string
		before func(f *fleet)
		span   time.Duration
		demand func(int) int
	}{
		{"start of all at once", func(*fleet) {}, 10 * time.Minute, evenDemand(0.3)},
		{"steady", func(f *fleet) { f.run(time.Hour, evenDemand(0.3)) }, time.Hour, evenDemand(0.3)},
		{"even swing from 0.3 to 0.9", func(f *fleet) { f.run(time.Hour, evenDemand(0.3)) }, 10 * time.Minute, evenDemand(0.9)},
		{"uneven swing from 0.3 to 0.6", func(f *fleet) { f.run(time.Hour, evenDemand(0.3)) }, 10 * time.Minute, unevenDemand(0.6)},
		{"demand of twice the limit", func(f *fleet) { f.run(time.Hour, evenDemand(0.3)) }, time.Hour, evenDemand(2)},
		{"outage of an hour", func(f *fleet) {
			f.run(time.Hour, evenDemand(0.6))
			f.outage = true
		}, time.Hour, evenDemand(0.6)},
		{"after the outage", func(f *fleet) {
			f.run(time.Hour, evenDemand(0.6))
			f.outage = true
			f.run(time.Hour, evenDemand(0.6))
			f.outage = false
		}, 10 * time.Minute, evenDemand(0.6)},
	}
	for _, phase := range phases {
		b.Run(phase.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet()
				phase.before(f)
				f.peak, f.total, f.demandMetAt = calls{}, calls{}, 0
				start := f.now
				f.run(30*time.Second, phase.demand)
				metEarly := 1 - float64(f.unmetFlows(phase.demand))/float64(f.demandedFlows(phase.demand))
				f.run(phase.span-30*time.Second, phase.demand)
				hostSeconds := _fleetSize * phase.span.Seconds()
				b.ReportMetric(float64(f.total.writes)/hostSeconds, "writes/s/host")
				b.ReportMetric(float64(f.total.reads)/hostSeconds, "reads/s/host")
				b.ReportMetric(float64(f.peak.writes), "peak-writes/s")
				b.ReportMetric(float64(f.peak.reads), "peak-reads/s")
				b.ReportMetric(float64(f.total.refused), "refused-calls")
				b.ReportMetric(metEarly, "demand-met-in-30s")
				if f.demandMetAt > 0 {
					b.ReportMetric((f.demandMetAt - start).Seconds(), "s-to-meet-demand")
				}
			}
		})
	}
}

// shareOf returns a share with entries of typical encoded length.
func shareOf(hosts int) (share limit.Share) {
	for i := range hosts {
		entry := entryOf(1, 0, 0)
		entry.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(i >> 8), byte(i)}), 8443)
		entry.Incarnation, entry.Nonce, entry.Seq, entry.Open = 304_000_000, 4_000_000_000, 10_000, 2000
		entry.Floor = limit.Whole / 2 / limit.Units(hosts)
		entry.Leased = limit.Whole / 3 / limit.Units(hosts)
		share.Entries = append(share.Entries, entry)
	}
	return share
}

// BenchmarkShare measures encoding and decoding a share and planning one write, by
// number of hosts.
func BenchmarkShare(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000} {
		share := shareOf(hosts)
		data, err := json.Marshal(share)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("encode/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = json.Marshal(share)
			}
			b.ReportMetric(float64(len(data))/float64(hosts), "bytes/host")
		})
		b.Run(fmt.Sprintf("decode/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var decoded limit.Share
				_ = json.Unmarshal(data, &decoded)
			}
		})
		b.Run(fmt.Sprintf("plan/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h := limit.NewHolder(limit.Instant{}, run(1), limit.Pace{}, 1)
				h.Act(limit.Instant{}, nil)
				h.Handle(limit.Instant{}, limit.ReadDone{Share: share, Version: 1})
				h.Act(limit.Instant{}, nil)
			}
		})
	}
}
