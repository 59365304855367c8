package limit

import (
	"math/rand/v2"
	"time"

	"dandelionhitch.example/platform"
)

// Holder is the part of one run in the Share of its service: it admits flows,
// and says when to read and write the Share, and what to write. It has no
// clock, socket or goroutine, and is not safe for concurrent use.
//
// The owner calls Act, does what it says, brings the answer to Handle, and
// repeats. All other methods may be called at any time in between.
type Holder struct {
	run    Run
	pace   Pace
	random *rand.Rand
	gate   gate
	watch  watch

	phase phase
	// due is when the next read is to begin; renewal when a write is due at the latest.
	due     time.Duration
	renewal time.Duration
	// urgent says that the run has come to want more since it last settled.
	urgent  bool
	settled time.Duration
	leaving bool

	// version is the highest version seen; share is the Share at it.
	version platform.Version
	share   Share
	// held is the run's entry at version, its units zero if there is none.
	held Entry
	// seq is that of the last attempt, written the Share that it would bring.
	seq     uint64
	written Share
	// attempts are the writes without a certain result, the oldest first. Each
	// expected at most the version doubtful.
	attempts []attempt
	doubtful platform.Version

	failures  int
	conflicts int
}

type phase uint8

const (
	_idle phase = iota + 1
	_reading
	_planning
	_writing
	_left
)

// attempt is a write that was sent.
type attempt struct {
	seq  uint64
	sent Instant
}

// _sightLooks is how many looks' time counts at most between two sights of the Share.
const _sightLooks = 2

// _maxAttempts bounds the attempts remembered. The lease of a forgotten one
// counts as not renewed, which is safe.
const _maxAttempts = 16

// NewHolder returns the Holder of a run that has no share yet. The seed spreads
// the times of its requests.
func NewHolder(now Instant, run Run, pace Pace, seed uint64) *Holder {
	h := &Holder{
		run:    run,
		pace:   pace,
		random: rand.New(rand.NewPCG(seed, seed)),
		watch:  watch{last: now.Mono, step: _sightLooks * pace.Look},
		phase:  _idle,
		held:   Entry{Run: run},
	}
	h.due = now.Mono + h.within(pace.Join)
	h.renewal = h.due
	h.settled = now.Mono - pace.Look
	return h
}

// SetLimits sets the limits in force at the run. They count at once; a changed
// number of hosts changes the floor at the next write, which it brings forward.
func (h *Holder) SetLimits(now Instant, limits Limits) {
	if limits.MaxHosts != h.gate.limits.MaxHosts {
		h.renewal = min(h.renewal, now.Mono+h.within(h.pace.Look))
		h.hasten(h.renewal)
	}
	h.gate.limits = limits
	h.gate.refresh()
}

// SetPace sets how often the run speaks to the platform from now on. A wait that
// has begun is shortened to the new one.
func (h *Holder) SetPace(now Instant, pace Pace) {
	if pace == h.pace {
		return
	}
	h.pace = pace
	h.watch.step = _sightLooks * pace.Look
	switch {
	case h.version == 0:
		h.renewal = min(h.renewal, now.Mono+h.within(pace.Join))
		h.hasten(h.renewal)
	case h.urgent:
		h.hurry(now)
	}
}

// TryAdmit takes a place for one flow, or returns a *RefusalError. It reports
// as early whether Act is to be called before the time that it last gave.
func (h *Holder) TryAdmit(now Instant) (early bool, err error) {
	err = h.gate.tryAdmit(now)
	if h.urgent || !h.gate.short(now) {
		return false, err
	}
	return h.hurry(now), err
}

// Release gives back the place of one flow. Without an open flow it does nothing.
func (h *Holder) Release() {
	h.gate.open = max(h.gate.open-1, 0)
}

// Drain refuses all flows from now on. The units return as flows end.
func (h *Holder) Drain() {
	h.gate.draining = true
}

// Leave refuses all flows from now on and returns the whole share at once.
func (h *Holder) Leave(now Instant) {
	h.Drain()
	h.leaving = true
	h.failures = 0
	h.due = now.Mono
}

// Act returns what to do at now. The function gone confirms that a run is gone
// for good: its callers cannot reach it, so it has no flows and gets none.
func (h *Holder) Act(now Instant, gone func(Run) bool) Action {
	switch h.phase {
	case _idle:
		if now.Mono < h.due {
			return Rest{Until: h.due}
		}
		h.phase = _reading
		return Read{}
	case _planning:
		return h.write(now, gone)
	case _left:
		return Done{}
	default:
		return Rest{Until: now.Mono + h.pace.Retry}
	}
}

// Handle takes the answer to a Read or Write that arrived at now.
func (h *Holder) Handle(now Instant, event Event) {
	switch e := event.(type) {
	case ReadDone:
		h.readDone(now, e)
	case WriteDone:
		h.writeDone(now, e)
	case Failed:
		h.failed(now, e)
	}
}

// Allowance is how many flows may be open at now, by the service's limit.
func (h *Holder) Allowance(now Instant) int { return h.gate.allowance(now) }

// Open is how many flows are open.
func (h *Holder) Open() int { return h.gate.open }

// hurry asks for more units soon: within a spread, and not more often than the
// run looks. It does not shorten the wait after a failure.
func (h *Holder) hurry(now Instant) bool {
	h.urgent = true
	due := max(now.Mono+h.within(h.pace.Spread), h.settled+h.about(h.pace.Look))
	return h.hasten(due)
}

// hasten brings the next read forward to due.
func (h *Holder) hasten(due time.Duration) bool {
	if h.phase != _idle || h.failures > 0 || due >= h.due {
		return false
	}
	h.due = due
	return true
}

// settle rests until the next look or renewal.
func (h *Holder) settle(now Instant) {
	h.phase = _idle
	h.failures, h.conflicts = 0, 0
	h.urgent, h.gate.unmet = false, 0
	h.settled = now.Mono
	h.due = min(now.Mono+h.about(h.pace.Look), max(h.renewal, now.Mono))
}

// failed waits before the next read: briefly after a conflict with another
// run, longer after each failure in a row.
func (h *Holder) failed(now Instant, e Failed) {
	h.phase = _idle
	if e.Conflict {
		h.conflicts++
		h.due = now.Mono + h.within(doubled(_conflictWait, h.conflicts, h.pace.Look))
		return
	}
	wait := h.retryWait()
	h.failures++
	h.due = now.Mono + wait/2 + h.within(wait/2)
}

// retryWait is the wait after a failure. A run that has a share waits until its
// next look at least, so that an outage does not multiply the fleet's calls.
func (h *Holder) retryWait() time.Duration {
	if h.gate.joined && !h.leaving {
		return doubled(h.pace.Look, h.failures, h.pace.Renewal)
	}
	return doubled(h.pace.Retry, h.failures, h.pace.Look)
}

// _conflictWait is the span over which the first retries after a conflict are spread.
const _conflictWait = 20 * time.Millisecond

// _maxDoublings keeps doubled waits far from overflow.
const _maxDoublings = 20

// doubled is the wait after a number of doublings, at most longest.
func doubled(wait time.Duration, times int, longest time.Duration) time.Duration {
	return min(wait<<min(times, _maxDoublings), longest)
}

// within is a random part of span.
func (h *Holder) within(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(h.random.Int64N(int64(span)))
}

// _variation is the divisor of the part by which repeated waits vary.
const _variation = 10

// about is span, less or more by up to a tenth.
func (h *Holder) about(span time.Duration) time.Duration {
	return span - span/_variation + h.within(2*span/_variation)
}
