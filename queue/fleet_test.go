package queue_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionhitch.example/queue"
)

const (
	_hop       = time.Millisecond // one way between two agents
	_heartbeat = time.Second      // age of what agents know of each other's load
	_shortRun  = 20 * time.Millisecond
	_longRun   = 100 * _shortRun
)

// fleet runs queues on a virtual clock: arrivals at random agents, runs of
// random length, and hand-over as the dispatcher does it.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	events events
	hosts  []*host
	jobs   []*job
	marked bool // requests come with their class
	plain  bool // first come first served, no reserved slot, no hand-over
	oracle *oracle
	peak   int
	// lowered counts the times that a host had fewer slots than it was given.
	lowered int
}

// host is one upstream with either a queue or, for the baseline, a list.
type host struct {
	queue  *queue.Queue
	budget queue.Budget
	known  map[*host]int // the others' load as this one knows it
	limits queue.Limits
	list   []*job
	busy   int
	tick   time.Duration // when the next tick is due
}

type job struct {
	id       queue.ID
	long     bool
	arrival  time.Duration
	deadline time.Duration
	run      time.Duration
	started  time.Duration
	ended    time.Duration
	runs     int
	refused  bool
	home     *host
	moved    int
	tried    map[*host]bool // the hosts that it was handed to
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
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (f *fleet) at(t time.Duration, do func()) {
	f.events.seq++
	heap.Push(&f.events, event{at: t, seq: f.events.seq, do: do})
}

// load is a stream of requests; shares are of the fleet's slots.
type load struct {
	from, to    time.Duration
	short, long float64
	timeout     time.Duration
}

func newFleet(seed uint64, hosts int, limits queue.Limits, plain bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), plain: plain}
	for range hosts {
		// The upstreams have served for a while; the ramp is not what is measured.
		q, err := queue.New(limits, -time.Hour)
		if err != nil {
			panic(err)
		}
		f.hosts = append(f.hosts, &host{queue: q, limits: limits, budget: queue.HandOverBudget(), known: make(map[*host]int)})
	}
	return f
}

// run plays the loads to the end of all jobs.
func (f *fleet) run(loads ...load) {
	// Arrivals and run times come from their own source, so that every policy
	// gets the same ones.
	for i, l := range loads {
		f.arrivals(rand.New(rand.NewPCG(uint64(i), 2)), l, l.short, _shortRun, false)
		f.arrivals(rand.New(rand.NewPCG(uint64(i), 3)), l, l.long, _longRun, true)
	}
	end := loads[len(loads)-1].to
	for t := time.Duration(0); t < end; t += _heartbeat {
		f.at(t, func() {
			for _, h := range f.hosts {
				f.tell(h, f.hosts...)
			}
		})
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// tell lets others know the load of h.
func (f *fleet) tell(h *host, others ...*host) {
	for _, other := range others {
		other.known[h] = h.queue.Load(f.now)
	}
}

func (f *fleet) arrivals(random *rand.Rand, l load, share float64, mean time.Duration, long bool) {
	if share == 0 {
		return
	}
	slots := float64(len(f.hosts) * f.hosts[0].limits.Slots)
	gap := float64(mean) / (share * slots)
	for t := l.from; ; {
		t += time.Duration(random.ExpFloat64() * gap)
		if t >= l.to {
			return
		}
		run := time.Duration(random.ExpFloat64() * float64(mean))
		j := &job{id: queue.ID(len(f.jobs) + 1), long: long, arrival: t, deadline: t + l.timeout, run: run}
		f.jobs = append(f.jobs, j)
		at := f.hosts[random.IntN(len(f.hosts))]
		f.at(t, func() { f.arrive(at, j) })
	}
}

func (f *fleet) arrive(h *host, j *job) {
	j.home = h
	if f.oracle != nil {
		f.oracle.lines[j.class()] = append(f.oracle.lines[j.class()], j)
		f.startOracle()
		return
	}
	if f.plain {
		if len(h.list) >= h.limits.Length {
			j.refused = true
			return
		}
		h.list = append(h.list, j)
		f.startPlain(h)
		return
	}
	h.budget.Deposit()
	f.offer(h, j, 0)
}

func (f *fleet) startPlain(h *host) {
	for h.busy < h.limits.Slots && len(h.list) > 0 {
		j := h.list[0]
		h.list = h.list[1:]
		h.busy++
		f.begin(j, func() { h.busy--; f.startPlain(h) })
	}
	f.peak = max(f.peak, len(h.list))
}

// oracle is a scheduler that knows all hosts and reaches them in no time: no
// rule that ends no run can let short work wait less beside as much long work.
type oracle struct {
	lines       [queue.Long + 1][]*job
	free, longs int // slots, and how many more long requests may run
}

func (f *fleet) startOracle() {
	o := f.oracle
	for o.free > 0 {
		class := queue.Short
		if len(o.lines[class]) == 0 {
			class = queue.Long
		}
		if len(o.lines[class]) == 0 || class == queue.Long && o.longs == 0 {
			return
		}
		j := o.lines[class][0]
		o.lines[class] = o.lines[class][1:]
		hold := func(n int) {
			o.free -= n
			if j.long {
				o.longs -= n
			}
		}
		hold(1)
		f.begin(j, func() { hold(-1); f.startOracle() })
	}
}

func (f *fleet) begin(j *job, end func()) {
	j.started = f.now
	j.runs++
	f.at(f.now+j.run, func() { j.ended = f.now; end() })
}

// offer asks the queue of h, which is the job's home or the host it was handed to.
func (f *fleet) offer(h *host, j *job, maxWait time.Duration) {
	route := "POST/checkin"
	if j.long {
		route = "GET/export"
	}
	var class queue.Class
	if f.marked {
		class = j.class()
	}
	f.apply(h, h.queue.Offer(nil, f.now, queue.Request{
		ID: j.id, Route: route, Class: class, Deadline: j.deadline, Jitter: f.random.Float64(), MaxWait: maxWait, Again: j.moved > 0,
	}))
}

func (f *fleet) apply(h *host, actions []queue.Action) {
	for _, action := range actions {
		j := f.jobs[action.Request()-1]
		switch a := action.(type) {
		case queue.Start:
			f.begin(j, func() { f.apply(h, h.queue.Finish(nil, f.now, j.id, queue.Done)) })
		case queue.Refuse:
			f.refuse(h, j)
		case queue.Wait:
			maxWait, better := queue.MaxWaitElsewhere(a.Expected)
			if !better || h != j.home || j.moved >= queue.MaxHandOvers {
				continue
			}
			if peer := f.choose(h, j, queue.MaxLoad); peer != nil {
				actions, _ := h.queue.Cancel(nil, f.now, j.id)
				f.handOver(peer, j, maxWait)
				f.apply(h, actions)
			}
		}
	}
	f.peak = max(f.peak, h.queue.Waiting())
	if h.queue.Limit(f.now) < h.limits.Slots {
		f.lowered++
	}
	if at, ok := h.queue.NextTick(f.now); ok && (h.tick <= f.now || at < h.tick) {
		h.tick = at
		f.at(at, func() { f.apply(h, h.queue.Tick(nil, f.now)) })
	}
}

// refuse ends the job, unless another host may take it or it goes back home.
func (f *fleet) refuse(h *host, j *job) {
	if h != j.home {
		f.tell(h, j.home)
		f.at(f.now+_hop, func() { f.offer(j.home, j, 0) })
		return
	}
	if j.moved < queue.MaxHandOvers {
		if peer := f.choose(h, j, queue.CrowdedLoad); peer != nil {
			f.handOver(peer, j, 0)
			return
		}
	}
	j.refused = true
	j.ended = f.now
}

func (f *fleet) handOver(peer *host, j *job, maxWait time.Duration) {
	j.moved++
	f.at(f.now+_hop, func() { f.offer(peer, j, maxWait) })
}

func (f *fleet) choose(h *host, j *job, below int) *host {
	var others []*host
	var loads []int
	for _, other := range f.hosts {
		if other != h && !j.tried[other] {
			others, loads = append(others, other), append(loads, h.known[other])
		}
	}
	i, ok := queue.Choose(loads, below, f.random.Float64(), f.random.Float64())
	if !ok || !h.budget.Withdraw() {
		return nil
	}
	if j.tried == nil {
		j.tried = make(map[*host]bool)
	}
	j.tried[others[i]] = true
	return others[i]
}

// figures sum up the jobs of one class that arrived in a span.
type figures struct {
	waitP50, waitP99 time.Duration // from arrival to start
	answerP99        time.Duration // from arrival to the end
	refused          float64       // share that never ran
	inTime           float64       // share that ended within its deadline
}

func (f *fleet) figures(long bool, from, to time.Duration) figures {
	var waits, answers []time.Duration
	var all, inTime float64
	for _, j := range f.jobs {
		if j.long != long || j.arrival < from || j.arrival >= to {
			continue
		}
		all++
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
		return figures{refused: 1}
	}
	return figures{waits[n/2], waits[n*99/100], answers[n*99/100], 1 - float64(n)/all, inTime / all}
}

// goodput is the work of the jobs that ended within their deadline between
// from and to, as a share of the fleet's capacity.
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
