package queue

import (
	"math"
	"time"
)

// entry is one request that waits or runs.
type entry struct {
	id    ID
	route string
	class Class
	// marked says that the class was given and is not learned.
	marked bool
	// run is the expected run time.
	run      time.Duration
	deadline time.Duration
	// lapse is when a waiting request is refused, because a run begun then
	// would probably miss the deadline. At most half of the time that the
	// caller gave is kept for the run, so that a wrong estimate cannot keep
	// a request from being tried.
	lapse   time.Duration
	arrived time.Duration
	started time.Duration
	// quiet says that the run began beside few others, when the upstream had
	// slots to spare. It must not depend on how the run goes on: runs that end
	// beside few others are mostly short ones.
	quiet  bool
	jitter float64

	queued     bool
	prev, next *entry
	index      int
}

// overdue is when a waiting long request may have a slot more.
func (e *entry) overdue() time.Duration { return e.arrived + _overdueRuns*e.run }

// list is a queue of entries in the order of their arrival.
type list struct {
	head, tail *entry
	len        int
	// runs is the sum of the expected run times.
	runs time.Duration
}

func (l *list) push(e *entry) {
	e.prev, e.next = l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.len++
	l.runs += e.run
}

func (l *list) remove(e *entry) {
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	l.len--
	l.runs -= e.run
}

// lapseHeap orders the waiting entries by their lapse.
type lapseHeap []*entry

func (h lapseHeap) Len() int           { return len(h) }
func (h lapseHeap) Less(i, j int) bool { return h[i].lapse < h[j].lapse }

func (h lapseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an entry; it is for container/heap alone.
func (h *lapseHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry; it is for container/heap alone.
func (h *lapseHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// demand measures how many slots the short requests that arrive here need on
// average. Those that are then handed over count too: otherwise long requests
// would take the slots that the short ones left for want of slots.
type demand struct {
	// busy is the expected run time of short requests, decayed over _demandSpan.
	busy time.Duration
	at   time.Duration
}

// add counts a request that arrives at now.
func (d *demand) add(now, run time.Duration) {
	d.busy = d.decayed(now) + run
	d.at = now
}

// slots is the number of slots that the short requests need, rounded up.
func (d *demand) slots(now time.Duration) int {
	return int(math.Ceil(_demandMargin * float64(d.decayed(now)) / float64(_demandSpan)))
}

// _demandMargin is how many times their mean demand the short requests get,
// for the swing around the mean.
const _demandMargin = 2

func (d *demand) decayed(now time.Duration) time.Duration {
	age := float64(now-d.at) / float64(_demandSpan)
	return time.Duration(float64(d.busy) * math.Exp(-age))
}
