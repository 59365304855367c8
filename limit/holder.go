package limit

import (
	"math/rand/v2"
	"time"

	"dandelionhitch.example/platform"
)

// Holder manages the entry of one run in the Share of its service: it admits
// flows, and decides when to read and write the Share and what to write. It has
// no clock, socket or goroutine, and is not safe for concurrent use.
//
// The owner calls Act, performs the returned Action, passes the answer to
// Handle, and repeats. All other methods may be called at any time in between.
type Holder struct {
	run      Run
	pace     Pace
	random   *rand.Rand
	gate     gate
	observer observer

	phase phase
	// nextRead is when the next read is due, and renewBy when a write is due
	// even if the entry does not change. Both are on the monotonic clock.
	nextRead time.Duration
	renewBy  time.Duration
	// wantsMore says that the run has reached or nearly reached its allowance
	// since cycleEnd, so that it requests more units.
	wantsMore bool
	// cycleEnd is when the last cycle of a read and its writes ended.
	cycleEnd time.Duration
	leaving  bool

	// version is the highest known version of the Share, and share its content.
	version platform.Version
	share   Share
	// entry is the run's entry in share; its units are zero if there is none.
	entry Entry
	// lost is set if the last read found no Share although there was one.
	lost    bool
	recount recount
	// seq is the number of the last attempt, and pendingShare the Share that the
	// attempt writes.
	seq          uint64
	pendingShare Share
	// attempts are the writes whose result is unknown, the oldest first.
	// lastExpected is the version that the latest attempt expected; no earlier
	// attempt expected a higher version.
	attempts     []attempt
	lastExpected platform.Version

	// failures and conflicts are the numbers of failed calls and of version
	// conflicts since the last cycle ended.
	failures  int
	conflicts int
}

// phase is the state of a Holder in its cycle: it reads the Share, plans its
// entry, and writes it if necessary.
type phase uint8

const (
	// _idle waits for nextRead.
	_idle phase = iota + 1
	// _reading waits for the answer to a Read.
	_reading
	// _planning has an up-to-date Share from which to plan the entry.
	_planning
	// _writing waits for the answer to a Write.
	_writing
	// _left is the final state, in which the run's entry is removed.
	_left
)

// attempt is a write that was sent.
type attempt struct {
	seq  uint64
	sent Instant
}

// _maxCountedPolls is the maximum number of poll intervals by which one read of
// the Share may lengthen the recorded silence of another run.
const _maxCountedPolls = 2

// _maxAttempts is the maximum number of attempts that are kept. An attempt that
// is no longer kept does not renew the lease. This is safe, because the run then
// only stops using its units earlier.
const _maxAttempts = 16

// NewHolder returns the Holder of a run that has no entry yet. The seed is for
// the jitter of its requests to the platform.
func NewHolder(now Instant, run Run, pace Pace, seed uint64) *Holder {
	h := &Holder{
		run:      run,
		pace:     pace,
		random:   rand.New(rand.NewPCG(seed, seed)),
		observer: observer{lastSeen: now.Mono, maxStep: _maxCountedPolls * pace.Poll},
		phase:    _idle,
		entry:    Entry{Run: run},
	}
	h.nextRead = now.Mono + h.randomUpTo(pace.JoinSpread)
	h.renewBy = h.nextRead
	h.cycleEnd = now.Mono - pace.Poll
	return h
}

// SetLimits sets the limits, which apply immediately. If MaxHosts changed, the
// run also writes a new floor within a poll interval.
func (h *Holder) SetLimits(now Instant, limits Limits) {
	if limits.MaxHosts != h.gate.limits.MaxHosts {
		h.renewBy = min(h.renewBy, now.Mono+h.randomUpTo(h.pace.Poll))
		h.advanceRead(h.renewBy)
	}
	h.gate.limits = limits
	h.gate.refresh()
}

// SetPace sets how often the run accesses the platform. If the run waits to join
// or to request more units, the wait is shortened to that of the new pace.
func (h *Holder) SetPace(now Instant, pace Pace) {
	if pace == h.pace {
		return
	}
	h.pace = pace
	h.observer.maxStep = _maxCountedPolls * pace.Poll
	switch {
	case h.version == 0:
		h.renewBy = min(h.renewBy, now.Mono+h.randomUpTo(pace.JoinSpread))
		h.advanceRead(h.renewBy)
	case h.wantsMore:
		h.requestMore(now)
	}
}

// TryAdmit counts one more open flow, or returns a *RefusalError. If early is
// true, the next read was brought forward, and the owner must call Act again
// without waiting for the time of the last Wait.
func (h *Holder) TryAdmit(now Instant) (early bool, err error) {
	err = h.gate.tryAdmit(now)
	if h.wantsMore || !h.gate.nearAllowance(now) {
		return false, err
	}
	return h.requestMore(now), err
}

// Release counts one open flow less. It does nothing if no flow is open.
func (h *Holder) Release() {
	h.gate.open = max(h.gate.open-1, 0)
}

// Drain makes the run refuse all new flows. The run returns its units as its
// open flows end.
func (h *Holder) Drain() {
	h.gate.draining = true
}

// Leave makes the run refuse all new flows and remove its entry from the Share
// immediately.
func (h *Holder) Leave(now Instant) {
	h.Drain()
	h.leaving = true
	h.failures = 0
	h.nextRead = now.Mono
}

// Act returns the next action at now. The function gone reports whether a run is
// confirmed to be permanently gone: callers cannot reach it, so it has no flows
// and is sent no new ones.
func (h *Holder) Act(now Instant, gone func(Run) bool) Action {
	switch h.phase {
	case _idle:
		if now.Mono < h.nextRead {
			return Wait{Until: h.nextRead}
		}
		h.phase = _reading
		return Read{}
	case _planning:
		return h.planWrite(now, gone)
	case _left:
		return Done{}
	default:
		return Wait{Until: now.Mono + h.pace.Retry}
	}
}

// Handle processes the answer, received at now, to a Read or Write.
func (h *Holder) Handle(now Instant, event Event) {
	switch e := event.(type) {
	case ReadDone:
		h.handleRead(now, e)
	case WriteDone:
		h.handleWrite(now, e)
	case Failed:
		h.handleFailure(now, e)
	}
}

// Allowance returns the number of flows that the run may have open at now under
// the service's limit.
func (h *Holder) Allowance(now Instant) int { return h.gate.allowance(now) }

// Open returns the number of open flows.
func (h *Holder) Open() int { return h.gate.open }

// requestMore brings the next read forward to request more units, at a random
// time within the pace's Spread, but at most once per poll interval. It does not
// shorten the backoff after a failure. It reports whether it advanced the read.
func (h *Holder) requestMore(now Instant) bool {
	h.wantsMore = true
	due := max(now.Mono+h.randomUpTo(h.pace.Spread), h.cycleEnd+h.jittered(h.pace.Poll))
	return h.advanceRead(due)
}

// advanceRead brings the next read forward to due, and reports whether it did.
func (h *Holder) advanceRead(due time.Duration) bool {
	if h.phase != _idle || h.failures > 0 || due >= h.nextRead {
		return false
	}
	h.nextRead = due
	return true
}

// endCycle ends a cycle of a read and its writes, and schedules the next read for
// the end of the poll interval or the due time of the renewal, whichever is earlier.
func (h *Holder) endCycle(now Instant) {
	h.phase = _idle
	h.failures, h.conflicts = 0, 0
	h.wantsMore, h.gate.unmetFlows = false, 0
	h.cycleEnd = now.Mono
	h.nextRead = min(now.Mono+h.jittered(h.pace.Poll), max(h.renewBy, now.Mono))
}

// handleFailure schedules the next read: soon after a conflict with the write of
// another run, and with exponential backoff after other failures.
func (h *Holder) handleFailure(now Instant, e Failed) {
	h.phase = _idle
	if e.Conflict {
		h.conflicts++
		h.nextRead = now.Mono + h.randomUpTo(backoff(_conflictBackoff, h.conflicts, h.pace.Poll))
		return
	}
	wait := h.retryBackoff()
	h.failures++
	h.nextRead = now.Mono + wait/2 + h.randomUpTo(wait/2)
}

// retryBackoff returns the backoff after a failure. For a run that has an entry,
// the backoff begins with the poll interval, so that an outage does not multiply
// the calls of the fleet.
func (h *Holder) retryBackoff() time.Duration {
	if h.gate.joined && !h.leaving {
		return backoff(h.pace.Poll, h.failures, h.pace.Renewal)
	}
	return backoff(h.pace.Retry, h.failures, h.pace.Poll)
}

// _conflictBackoff is the span over which the first retries after a conflict are spread.
const _conflictBackoff = 20 * time.Millisecond

// _maxDoublings bounds the doublings of a wait, so that it does not overflow.
const _maxDoublings = 20

// backoff returns wait after the given number of doublings, but at most maxWait.
func backoff(wait time.Duration, doublings int, maxWait time.Duration) time.Duration {
	return min(wait<<min(doublings, _maxDoublings), maxWait)
}

// randomUpTo returns a random duration in [0, span), or zero if span is not positive.
func (h *Holder) randomUpTo(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(h.random.Int64N(int64(span)))
}

// _jitterDivisor is the divisor of a wait that gives its jitter: a tenth.
const _jitterDivisor = 10

// jittered returns span plus or minus a random jitter of up to a tenth.
func (h *Holder) jittered(span time.Duration) time.Duration {
	return span - span/_jitterDivisor + h.randomUpTo(2*span/_jitterDivisor)
}
