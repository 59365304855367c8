package route

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"dandelionhitch.example/packet"
)

// BenchmarkDecide measures the handling of one datagram of an established flow: decrypting
// and checking the connection ID, and wrapping.
func BenchmarkDecide(b *testing.B) {
	keys := testKeys(b)
	dcid := seal(b, keys, packet.CID{Service: 1, Agent: agentAddr(1), Incarnation: 1})
	for _, candidates := range []int{10, 5900} {
		for _, size := range []int{64, 1200} {
			b.Run(fmt.Sprintf("candidates=%d/octets=%d", candidates, size), func(b *testing.B) {
				table := testTable(b, 1, candidates)
				var d Decider
				buf := make([]byte, packet.MaxWrapped)
				copy(buf[packet.HeaderLen:], datagram(packet.Short, dcid, size))
				b.ReportAllocs()
				for b.Loop() {
					decideAndWrap(&d, table, keys, buf, size)
				}
			})
		}
	}
}

// BenchmarkRank measures the ranking of the candidates for one new flow.
func BenchmarkRank(b *testing.B) {
	for _, candidates := range []int{10, 100, 5900} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			e := testTable(b, 1, candidates).byAddress[serviceAddr(1)]
			b.ReportAllocs()
			var key uint64
			for b.Loop() {
				key++
				e.rank(key)
			}
		})
	}
}

// BenchmarkNew measures building a table, and reports the table's memory per candidate.
func BenchmarkNew(b *testing.B) {
	for _, candidates := range []int{10, 100, 5900} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			list := make([]Candidate, candidates)
			for i := range list {
				list[i] = Candidate{Addr: agentAddr(i), Incarnation: 1, Weight: 1}
			}
			services := []Service{{ID: 1, Addresses: []netip.AddrPort{serviceAddr(1)}, Candidates: list}}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = New(services)
			}
			const tables = 100
			var built [tables]*Table
			before := heapOctets()
			for i := range built {
				built[i], _ = New(services)
			}
			b.ReportMetric(float64(heapOctets()-before)/float64(tables*candidates), "octets/candidate")
			runtime.KeepAlive(&built)
		})
	}
}

// heapOctets returns the size of the live heap.
func heapOctets() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
