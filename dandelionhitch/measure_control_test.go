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

// Warm-up of BenchmarkControlCost before it measures, and the duration of its measurement.
const (
	_controlWarmUp   = 15 * time.Second
	_controlDuration = 15 * time.Second
)

// BenchmarkControlCost reports the cost of idle fleets: the control traffic of a balancer
// and of an agent, in bytes per second in both directions together, and the CPU time, heap
// and goroutines of the whole process divided by its nodes. The smallest fleet is the
// baseline; the differences between fleets give the cost per additional node.
func BenchmarkControlCost(b *testing.B) {
	for _, c := range []struct{ balancers, agents int }{{3, 10}, {10, 50}, {10, 100}, {30, 150}, {60, 240}, {120, 240}} {
		b.Run(fmt.Sprintf("%d-%d", c.balancers, c.agents), func(b *testing.B) {
			baseline := readUsage(b)
			f := startMeasuredFleet(b, c.balancers, tryValues(_tryFlowLimit), spreadServices(c.agents)...)
			sleepContext(b.Context(), _controlWarmUp)
			start, startBytes := readUsage(b), f.controlBytes()
			b.ResetTimer()
			sleepContext(b.Context(), _controlDuration)
			b.StopTimer()
			end, endBytes := readUsage(b), f.controlBytes()
			nodes := float64(c.balancers + c.agents)
			seconds := end.at.Sub(start.at).Seconds()
			b.ReportMetric(float64(endBytes.balancers-startBytes.balancers)/seconds/float64(c.balancers), "B/s/balancer")
			b.ReportMetric(float64(endBytes.agents-startBytes.agents)/seconds/float64(c.agents), "B/s/agent")
			b.ReportMetric(f.worstBalancer(startBytes, endBytes)/seconds, "B/s/worst-balancer")
			b.ReportMetric(100*(end.cpu-start.cpu).Seconds()/seconds/nodes, "cpu%/node")
			b.ReportMetric(float64(end.heap-min(baseline.heap, end.heap))/nodes/1e6, "heap-MB/node")
			b.ReportMetric(float64(end.goroutines-baseline.goroutines)/nodes, "goroutines/node")
		})
	}
}

// controlBytes is the control traffic of a fleet since its start, in bytes, summed over
// the balancers and over the agents.
type controlBytes struct {
	balancers, agents uint64
	perBalancer       []uint64
}

func (f *fleet) controlBytes() controlBytes {
	var sum controlBytes
	for _, n := range f.balancers {
		bytes := controlBytesOf(n.control)
		sum.balancers += bytes
		sum.perBalancer = append(sum.perBalancer, bytes)
	}
	for _, n := range f.agents {
		sum.agents += controlBytesOf(n.control)
	}
	return sum
}

// worstBalancer returns the highest control traffic of one balancer between start and
// end, in bytes.
func (f *fleet) worstBalancer(start, end controlBytes) float64 {
	highest := 0.0
	for i := range end.perBalancer {
		highest = max(highest, float64(end.perBalancer[i]-start.perBalancer[i]))
	}
	return highest
}

func controlBytesOf(n *controlNode) uint64 {
	return totalBytes(n.client.Counters()) + totalBytes(n.server.Counters())
}

func totalBytes(c control.Counters) uint64 { return c.BytesIn + c.BytesOut }

// usage is the resource usage of the whole process at a time.
type usage struct {
	at         time.Time
	cpu        time.Duration
	heap       uint64
	goroutines int
}

func readUsage(b *testing.B) usage {
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
