package queue

import (
	"math"
	"time"
)

// entry is a request that waits or runs.
type entry struct {
	id    ID
	route string
	class Class
	// classGiven says that the request came with its class, so that the class
	// does not follow measured run times.
	classGiven  bool
	expectedRun time.Duration
	deadline    time.Duration
	// latestStart is when a waiting request is refused, because a run that
	// starts later would probably miss the deadline. At most half of the time
	// between arrival and deadline is set aside for the run, so that a wrong
	// estimate of the run time cannot prevent every attempt.
	latestStart time.Duration
	arrived     time.Duration
	started     time.Duration
	// uncontended says that few other requests ran when this one started. It is
	// not updated during the run: runs that end while few others run are mostly
	// short, which would bias the baseline.
	uncontended bool
	jitter      float64

	queued     bool
	prev, next *entry
	heapIndex  int
}

// overdueAt returns the time from which long requests may use one slot more
// because e, a long request, still waits.
func (e *entry) overdueAt() time.Duration { return e.arrived + _overdueRuns*e.expectedRun }

// entryList is a doubly linked list of entries in the order of their arrival.
type entryList struct {
	head, tail *entry
	len        int
	// expectedRuns is the sum of the entries' expected run times.
	expectedRuns time.Duration
}

func (l *entryList) push(e *entry) {
	e.prev, e.next = l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.len++
	l.expectedRuns += e.expectedRun
}

func (l *entryList) remove(e *entry) {
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
	l.expectedRuns -= e.expectedRun
}

// latestStartHeap is a container/heap of the waiting entries by latest start.
type latestStartHeap []*entry

func (h latestStartHeap) Len() int           { return len(h) }
func (h latestStartHeap) Less(i, j int) bool { return h[i].latestStart < h[j].latestStart }

func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *latestStartHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *latestStartHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// demand estimates how many slots the arriving short requests need on average.
// Short requests that are then handed over count too. Otherwise, long requests
// would take over the slots whose shortage caused the handovers.
type demand struct {
	// work is the sum of the expected run times of short requests, which decays
	// exponentially with _demandTimeConstant.
	work      time.Duration
	updatedAt time.Duration
}

// add counts a short request that arrives at now. run is its expected run time.
func (d *demand) add(now, run time.Duration) {
	d.work = d.decayed(now) + run
	d.updatedAt = now
}

// slots returns the number of slots that short requests need at now, rounded up.
func (d *demand) slots(now time.Duration) int {
	return int(math.Ceil(_demandMargin * float64(d.decayed(now)) / float64(_demandTimeConstant)))
}

// _demandMargin is the factor on the mean demand of short requests that covers
// its fluctuation.
const _demandMargin = 2

// decayed returns the value to which d.work has decayed at now.
func (d *demand) decayed(now time.Duration) time.Duration {
	age := float64(now-d.updatedAt) / float64(_demandTimeConstant)
	return time.Duration(float64(d.work) * math.Exp(-age))
}
