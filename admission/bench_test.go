package admission_test

import (
	"testing"
	"time"

	"dandelionhitch.example/admission"
)

// newBusyHost returns a host whose upstream is full, with waiting openings of both priorities.
func newBusyHost(b *testing.B) *host {
	h, classes := newWorld(1, true).hosts[0], routes(true)
	for i := range 10 {
		work := &admission.Work[request]{}
		h.control.SetDeadlines(0, work, classes[1].Class)
		h.control.Begin(time.Duration(i), work, true)
	}
	for i := range 20 {
		work := &admission.Work[request]{Arrived: time.Second}
		h.control.SetDeadlines(time.Second, work, classes[i%2].Class)
		h.control.Enqueue(time.Second, work)
	}
	b.ReportAllocs()
	return h
}

// BenchmarkDecide measures the decision about an opening while 20 others wait.
func BenchmarkDecide(b *testing.B) {
	h, class := newBusyHost(b), routes(true)[0].Class
	work := &admission.Work[request]{Arrived: time.Second}
	for b.Loop() {
		h.control.SetDeadlines(time.Second, work, class)
		h.control.Decide(time.Second, work)
	}
}

// BenchmarkDisplacedBy measures the search for openings that a more important one displaces.
func BenchmarkDisplacedBy(b *testing.B) {
	h := newBusyHost(b)
	work := h.control.First(time.Second)
	for b.Loop() {
		h.control.DisplacedBy(time.Second, work)
	}
}

// BenchmarkTick measures the periodic decisions while 20 openings wait: which are refused, and
// which priorities have capacity.
func BenchmarkTick(b *testing.B) {
	h := newBusyHost(b)
	for b.Loop() {
		h.control.TooLate(time.Second)
		h.control.Release(time.Second, time.Second)
		h.control.NoRoomFrom(time.Second)
	}
}

// BenchmarkRequestOnOpenFlow measures the decisions about a request on an open flow.
func BenchmarkRequestOnOpenFlow(b *testing.B) {
	h, class := newWorld(1, true).hosts[0], routes(true)[1].Class
	work := &admission.Work[request]{}
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		h.control.SetDeadlines(now, work, class)
		if !h.control.ShouldHold(now, work) {
			h.control.Begin(now, work, true)
		}
		h.control.Answer(now, work, time.Millisecond)
		h.control.End(now, work)
	}
}
