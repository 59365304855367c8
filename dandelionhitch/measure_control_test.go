package main

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/control"
)

// Times of the control measure.
const (
	_controlSettle = 15 * time.Second
	_controlSpan   = 15 * time.Second
)

// BenchmarkControlCost reports what idle fleets cost: bytes of control a second
// of a balancer and of an agent, in and out together, and CPU, heap and
// goroutines of the whole process divided by its nodes. The baseline is the
// smallest fleet; slopes come from the differences.
func BenchmarkControlCost(b *testing.B) {
	for _, c := range []struct{ balancers, agents int }{{3, 10}, {10, 50}, {10, 100}, {30, 150}, {60, 240}, {120, 240}} {
		b.Run(fmt.Sprintf("%d-%d", c.balancers, c.agents), func(b *testing.B) {
			before := takeUsage(b)
			f := startMeasured(b, c.balancers, tryValues(_tryFlowLimit), spreadServices(c.agents)...)
			sleepContext(b.Context(), _controlSettle)
			first, cost := takeUsage(b), f.controlBytes()
			b.ResetTimer()
			sleepContext(b.Context(), _controlSpan)
			b.StopTimer()
			last, then := takeUsage(b), f.controlBytes()
			nodes := float64(c.balancers + c.agents)
			span := last.at.Sub(first.at).Seconds()
			b.ReportMetric(float64(then.balancers-cost.balancers)/span/float64(c.balancers), "B/s/balancer")
			b.ReportMetric(float64(then.agents-cost.agents)/span/float64(c.agents), "B/s/agent")
			b.ReportMetric(f.worstBalancer(cost, then)/span, "B/s/worst-balancer")
			b.ReportMetric(100*(last.cpu-first.cpu).Seconds()/span/nodes, "cpu%/node")
			b.ReportMetric(float64(last.heap-min(before.heap, last.heap))/nodes/1e6, "heap-MB/node")
			b.ReportMetric(float64(last.goroutines-before.goroutines)/nodes, "goroutines/node")
		})
	}
}

// controlBytes are the bytes of control of a fleet's processes so far.
type controlBytes struct {
	balancers, agents uint64
	each              []uint64
}

func (f *fleet) controlBytes() controlBytes {
	var sum controlBytes
	for _, n := range f.balancers {
		octets := bytesOf(n.control)
		sum.balancers += octets
		sum.each = append(sum.each, octets)
	}
	for _, n := range f.agents {
		sum.agents += bytesOf(n.control)
	}
	return sum
}

// worstBalancer returns the most bytes of one balancer between two looks.
func (f *fleet) worstBalancer(first, then controlBytes) float64 {
	most := 0.0
	for i := range then.each {
		most = max(most, float64(then.each[i]-first.each[i]))
	}
	return most
}

func bytesOf(n *controlNode) uint64 {
	return octets(n.client.Counters()) + octets(n.server.Counters())
}

func octets(c control.Counters) uint64 { return c.BytesIn + c.BytesOut }

// usage is what the whole process has used.
type usage struct {
	at         time.Time
	cpu        time.Duration
	heap       uint64
	goroutines int
}

func takeUsage(b *testing.B) usage {
	var times syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &times))
	u := usage{
		at:         time.Now(),
		cpu:        time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		goroutines: runtime.NumGoroutine(),
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	u.heap = memory.HeapAlloc
	return u
}
