package queue_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionhitch.example/queue"
)

const (
	_oneWayDelay  = time.Millisecond // one-way latency between two agents
	_loadInterval = time.Second      // interval at which agents learn each other's load
	_shortRun     = 20 * time.Millisecond
	_longRun      = 100 * _shortRun
)

// fleet simulates the queues of several upstreams on a virtual clock. Requests
// arrive at random agents, have random run times, and are handed over by the
// same rules as in the dispatcher.
type fleet struct {
	random      *rand.Rand
	now         time.Duration
	events      eventHeap
	hosts       []*host
	jobs        []*job
	classGiven  bool // requests are offered with their class
	fifo        bool // first in, first out: no reserved slot, no handover
	oracle      *oracle
	peakWaiting int
	// reducedLimits counts the steps after which a host's limit was below its slots.
	reducedLimits int
}

// host is one upstream with either a queue or, for comparison, a FIFO list.
type host struct {
	queue       *queue.Queue
	budget      queue.Budget
	peerLoads   map[*host]int // the last load published by each other host
	limits      queue.Limits
	fifo        []*job
	fifoRunning int
	nextTick    time.Duration // when the next call of Tick is scheduled
}

// job is one simulated request.
type job struct {
	id        queue.ID
	long      bool
	arrival   time.Duration
	deadline  time.Duration
	run       time.Duration
	started   time.Duration
	ended     time.Duration
	runs      int
	refused   bool
	origin    *host
	handOvers int
	tried     map[*host]bool // the hosts to which it was handed over
}

func (j *job) class() queue.Class {
	if j.long {
		return queue.Long
	}
	return queue.Short
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap struct {
	list []event
	seq  int
}

func (e *eventHeap) Len() int { return len(e.list) }
func (e *eventHeap) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *eventHeap) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *eventHeap) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *eventHeap) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (f *fleet) schedule(t time.Duration, run func()) {
	f.events.seq++
	heap.Push(&f.events, event{at: t, seq: f.events.seq, run: run})
}

// load is a stream of requests from one time to another. short and long are the
// shares of the fleet's slots that short and long requests demand.
type load struct {
	from, to    time.Duration
	short, long float64
	timeout     time.Duration
}

func newFleet(seed uint64, hosts int, limits queue.Limits, fifo bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), fifo: fifo}
	for range hosts {
		// The upstreams began to serve an hour ago, so that the ramp is over.
		q, err := queue.New(limits, -time.Hour)
		if err != nil {
			panic(err)
		}
		f.hosts = append(f.hosts, &host{queue: q, limits: limits, budget: queue.HandOverBudget(), peerLoads: make(map[*host]int)})
	}
	return f
}

// run simulates the loads until all jobs have ended.
func (f *fleet) run(loads ...load) {
	// Arrivals and run times have their own random sources, so that they are the
	// same for every policy.
	for i, l := range loads {
		f.arrivals(rand.New(rand.NewPCG(uint64(i), 2)), l, l.short, _shortRun, false)
		f.arrivals(rand.New(rand.NewPCG(uint64(i), 3)), l, l.long, _longRun, true)
	}
	end := loads[len(loads)-1].to
	for t := time.Duration(0); t < end; t += _loadInterval {
		f.schedule(t, func() {
			for _, h := range f.hosts {
				f.publishLoad(h, f.hosts...)
			}
		})
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// publishLoad sends the load of h to the receivers.
func (f *fleet) publishLoad(h *host, receivers ...*host) {
	for _, other := range receivers {
		other.peerLoads[h] = h.queue.Load(f.now)
	}
}

func (f *fleet) arrivals(random *rand.Rand, l load, share float64, mean time.Duration, long bool) {
	if share == 0 {
		return
	}
	slots := float64(len(f.hosts) * f.hosts[0].limits.Slots)
	meanGap := float64(mean) / (share * slots)
	for t := l.from; ; {
		t += time.Duration(random.ExpFloat64() * meanGap)
		if t >= l.to {
			return
		}
		run := time.Duration(random.ExpFloat64() * float64(mean))
		j := &job{id: queue.ID(len(f.jobs) + 1), long: long, arrival: t, deadline: t + l.timeout, run: run}
		f.jobs = append(f.jobs, j)
		receiver := f.hosts[random.IntN(len(f.hosts))]
		f.schedule(t, func() { f.arrive(receiver, j) })
	}
}

func (f *fleet) arrive(h *host, j *job) {
	j.origin = h
	if f.oracle != nil {
		f.oracle.waiting[j.class()] = append(f.oracle.waiting[j.class()], j)
		f.startOracle()
		return
	}
	if f.fifo {
		if len(h.fifo) >= h.limits.Length {
			j.refused = true
			return
		}
		h.fifo = append(h.fifo, j)
		f.startFIFO(h)
		return
	}
	h.budget.Deposit()
	f.offer(h, j, 0)
}

func (f *fleet) startFIFO(h *host) {
	for h.fifoRunning < h.limits.Slots && len(h.fifo) > 0 {
		j := h.fifo[0]
		h.fifo = h.fifo[1:]
		h.fifoRunning++
		f.startRun(j, func() { h.fifoRunning--; f.startFIFO(h) })
	}
	f.peakWaiting = max(f.peakWaiting, len(h.fifo))
}

// oracle is an ideal scheduler of all hosts' slots without any latency. No other
// policy without preemption gives shorter waits to short requests while it runs
// as many long requests as the oracle.
type oracle struct {
	waiting                  [queue.Long + 1][]*job
	freeSlots, freeLongSlots int // free slots, and how many of them long requests may use
}

func (f *fleet) startOracle() {
	o := f.oracle
	for o.freeSlots > 0 {
		class := queue.Short
		if len(o.waiting[class]) == 0 {
			class = queue.Long
		}
		if len(o.waiting[class]) == 0 || class == queue.Long && o.freeLongSlots == 0 {
			return
		}
		j := o.waiting[class][0]
		o.waiting[class] = o.waiting[class][1:]
		occupy := func(n int) {
			o.freeSlots -= n
			if j.long {
				o.freeLongSlots -= n
			}
		}
		occupy(1)
		f.startRun(j, func() { occupy(-1); f.startOracle() })
	}
}

func (f *fleet) startRun(j *job, end func()) {
	j.started = f.now
	j.runs++
	f.schedule(f.now+j.run, func() { j.ended = f.now; end() })
}

// offer offers the job to the queue of h, which is the job's origin or the host
// to which it was handed over.
func (f *fleet) offer(h *host, j *job, maxWait time.Duration) {
	route := "POST/checkin"
	if j.long {
		route = "GET/export"
	}
	var class queue.Class
	if f.classGiven {
		class = j.class()
	}
	f.apply(h, h.queue.Offer(nil, f.now, queue.Request{
		ID: j.id, Route: route, Class: class, Deadline: j.deadline, Jitter: f.random.Float64(), MaxWait: maxWait, Reoffered: j.handOvers > 0,
	}))
}

func (f *fleet) apply(h *host, actions []queue.Action) {
	for _, action := range actions {
		j := f.jobs[action.Request()-1]
		switch a := action.(type) {
		case queue.Start:
			f.startRun(j, func() { f.apply(h, h.queue.Finish(nil, f.now, j.id, queue.Done)) })
		case queue.Refuse:
			f.refuse(h, j)
		case queue.Wait:
			maxWait, handOver := queue.HandOverMaxWait(a.Expected)
			if !handOver || h != j.origin || j.handOvers >= queue.MaxHandOvers {
				continue
			}
			if peer := f.choose(h, j, queue.MaxLoad); peer != nil {
				actions, _ := h.queue.Cancel(nil, f.now, j.id)
				f.handOver(peer, j, maxWait)
				f.apply(h, actions)
			}
		}
	}
	f.peakWaiting = max(f.peakWaiting, h.queue.Waiting())
	if h.queue.Limit(f.now) < h.limits.Slots {
		f.reducedLimits++
	}
	if at, ok := h.queue.NextTick(f.now); ok && (h.nextTick <= f.now || at < h.nextTick) {
		h.nextTick = at
		f.schedule(at, func() { f.apply(h, h.queue.Tick(nil, f.now)) })
	}
}

// refuse handles the refusal of j by h: a job that was handed over returns to
// its origin; there, it is handed over again or ends as refused.
func (f *fleet) refuse(h *host, j *job) {
	if h != j.origin {
		f.publishLoad(h, j.origin)
		f.schedule(f.now+_oneWayDelay, func() { f.offer(j.origin, j, 0) })
		return
	}
	if j.handOvers < queue.MaxHandOvers {
		if peer := f.choose(h, j, queue.CrowdedLoad); peer != nil {
			f.handOver(peer, j, 0)
			return
		}
	}
	j.refused = true
	j.ended = f.now
}

func (f *fleet) handOver(peer *host, j *job, maxWait time.Duration) {
	j.handOvers++
	f.schedule(f.now+_oneWayDelay, func() { f.offer(peer, j, maxWait) })
}

func (f *fleet) choose(h *host, j *job, maxLoad int) *host {
	var others []*host
	var loads []int
	for _, other := range f.hosts {
		if other != h && !j.tried[other] {
			others, loads = append(others, other), append(loads, h.peerLoads[other])
		}
	}
	i, ok := queue.Choose(loads, maxLoad, f.random.Float64(), f.random.Float64())
	if !ok || !h.budget.Withdraw() {
		return nil
	}
	if j.tried == nil {
		j.tried = make(map[*host]bool)
	}
	j.tried[others[i]] = true
	return others[i]
}

// stats summarizes the jobs of one class that arrived in a time span.
type stats struct {
	waitP50, waitP99 time.Duration // from arrival to start
	answerP99        time.Duration // from arrival to the end
	refused          float64       // share of jobs that never ran
	inTime           float64       // share of jobs that ended by their deadline
}

func (f *fleet) stats(long bool, from, to time.Duration) stats {
	var waits, answers []time.Duration
	var total, inTime float64
	for _, j := range f.jobs {
		if j.long != long || j.arrival < from || j.arrival >= to {
			continue
		}
		total++
		if j.refused {
			continue
		}
		waits = append(waits, j.started-j.arrival)
		answers = append(answers, j.ended-j.arrival)
		if j.ended <= j.deadline {
			inTime++
		}
	}
	slices.Sort(waits)
	slices.Sort(answers)
	n := len(waits)
	if n == 0 {
		return stats{refused: 1}
	}
	return stats{waits[n/2], waits[n*99/100], answers[n*99/100], 1 - float64(n)/total, inTime / total}
}

// goodput returns the total run time of the jobs that ended between from and to, and
// not after their deadline, as a share of the fleet's capacity.
func (f *fleet) goodput(from, to time.Duration) float64 {
	var work time.Duration
	for _, j := range f.jobs {
		if !j.refused && j.ended >= from && j.ended < to && j.ended <= j.deadline {
			work += j.run
		}
	}
	slots := len(f.hosts) * f.hosts[0].limits.Slots
	return float64(work) / float64((to-from)*time.Duration(slots))
}
