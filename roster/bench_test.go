package roster

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionhitch.example/service"
)

const (
	_targetMembers   = 660
	_targetUpstreams = 5900
)

// targetRoster returns a roster of the target size without pending rumors.
func targetRoster() *Roster {
	r := New()
	for n := range _targetMembers {
		r.AnnounceMember(0, testMember(n))
	}
	for n := range _targetUpstreams {
		r.Announce(0, testUpstream(n))
	}
	r.ForgetRumors()
	return r
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := targetRoster()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(r.Len()), "B/record")
	}
}

func BenchmarkView(b *testing.B) {
	r := targetRoster()
	b.ReportAllocs()
	for b.Loop() {
		r.View(time.Hour)
	}
}

func BenchmarkKeepers(b *testing.B) {
	r := targetRoster()
	b.ReportAllocs()
	for b.Loop() {
		r.Keepers(testUpstream(7))
	}
}

func BenchmarkApply(b *testing.B) {
	r := targetRoster()
	u := testUpstream(7)
	b.ReportAllocs()
	for b.Loop() {
		u.Seq++
		r.Announce(0, u)
	}
}

// BenchmarkExchange measures an exchange between two rosters of the target size after some
// records have changed in one of them. The changes are sent as rumors or, if compare is set,
// found by comparing digests. It reports the octets of the messages.
func BenchmarkExchange(b *testing.B) {
	for _, compare := range []bool{false, true} {
		for _, differing := range []int{0, 1, 10, 100} {
			b.Run(fmt.Sprintf("compare=%v/differing=%d", compare, differing), func(b *testing.B) {
				x, y := targetRoster(), targetRoster()
				u := make([]Upstream, differing)
				for n := range u {
					u[n] = testUpstream(n * 50)
				}
				octets := 0
				b.ReportAllocs()
				for b.Loop() {
					for n := range u {
						u[n].Seq++
						u[n].State = service.Serving + service.State(u[n].Seq%2)
						x.Announce(0, u[n])
					}
					if compare {
						x.ForgetRumors()
					}
					exchange(b, 0, x, y, compare, _noLoss, &octets)
				}
				b.ReportMetric(float64(octets)/float64(b.N), "wire-B/op")
			})
		}
	}
}

// BenchmarkJoin measures the exchanges by which an empty roster gets all entries of one of
// the target size, and reports the octets of the messages.
func BenchmarkJoin(b *testing.B) {
	full := targetRoster()
	octets := 0
	for b.Loop() {
		joiner := New()
		for joiner.Len() < full.Len() {
			exchange(b, 0, joiner, full, true, _noLoss, &octets)
		}
	}
	b.ReportMetric(float64(octets)/float64(b.N), "wire-B/op")
}
