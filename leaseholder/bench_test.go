package leaseholder_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/settings"
)

// benchHolder returns a leaseholder that has joined with its share; the parameter
// flows is the service's limit.
func benchHolder(b *testing.B, flows int) *leaseholder.Leaseholder {
	policy := func() settings.Service {
		return settings.Service{Limits: settings.Limits{Flows: flows, FlowsPerUpstream: flows, MaxHosts: 1}}
	}
	pace := limit.DefaultPace()
	pace.JoinSpread = 0
	run := limit.Run{Address: netip.MustParseAddrPort("127.0.0.1:443"), Incarnation: 1}
	l, err := leaseholder.New(&memoryStore{}, _path, run, policy, leaseholder.WithPace(pace))
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	for !l.Status().Joined {
		time.Sleep(time.Millisecond)
	}
	return l
}

// BenchmarkTryAdmit measures one admission and release. The baseline only reads the
// clock and locks a mutex twice.
func BenchmarkTryAdmit(b *testing.B) {
	b.Run("baseline", func(b *testing.B) {
		var mu sync.Mutex
		start := time.Now()
		for b.Loop() {
			mu.Lock()
			_ = time.Since(start)
			mu.Unlock()
			mu.Lock()
			_ = start
			mu.Unlock()
		}
	})
	admit := func(l *leaseholder.Leaseholder) {
		if l.TryAdmit() == nil {
			l.Release()
		}
	}
	for _, flows := range []int{1000, 0} {
		b.Run(fmt.Sprintf("limit=%d", flows), func(b *testing.B) {
			l := benchHolder(b, flows)
			b.ReportAllocs()
			for b.Loop() {
				admit(l)
			}
		})
	}
	b.Run("parallel", func(b *testing.B) {
		l := benchHolder(b, 1000)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				admit(l)
			}
		})
	})
}
