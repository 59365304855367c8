package queue

import "time"

const (
	// _windowRuns is how many runs one judgement of the upstream rests on.
	_windowRuns = 64
	// _slowRatio is the mean ratio of run time to baseline that counts as overload.
	_slowRatio = 1.8
	// _failedShare is the share of failed runs that counts as overload.
	_failedShare = 0.5
	// _failingFor is how long an upstream whose runs mostly failed counts as
	// failing without a new window. After that others try it again.
	_failingFor = 5 * time.Second
	// _helpRatio is to what part of the earlier ratio the run times must fall
	// for a lowered limit to count as the cure.
	_helpRatio = 0.9
	// _decrease is the factor by which an overload lowers the limit.
	_decrease = 0.75
	// _normDrift is the factor by which the norm rises for each bad window at
	// the lowest limit, so that an upstream that has become slower for good
	// does not stay there.
	_normDrift = 1.02
	// _rampTime is how long a new upstream takes to reach all of its slots.
	_rampTime = 10 * time.Second
)

// concurrency judges how many requests an upstream can run at once, from the
// run times it shows and not from what it says about itself.
//
// Runs are judged in windows. A window that is much slower than the baseline,
// or that mostly fails, lowers the limit. If the next window is no faster, then
// concurrency was not the cause: the limit goes back and the slower times
// become the norm. A good window in which the limit was reached raises it by one.
type concurrency struct {
	limit int
	// norm is the ratio of run time to baseline that is accepted as normal; 1 or more.
	norm float64
	// failed is when the last window ended in which most runs failed; zero if
	// a later one was better.
	failed time.Duration
	// before is the state before the last decrease, for its verdict.
	before struct {
		limit int
		ratio float64
	}
	window window
}

// window sums up runs.
type window struct {
	runs, failed int
	ratios       float64
	// reached says that all slots were in use at some time.
	reached bool
}

func newConcurrency(slots int) concurrency {
	return concurrency{limit: slots, norm: 1}
}

// rampLimit bounds the slots of an upstream that began age ago.
func rampLimit(slots, lowest int, age time.Duration) int {
	if age >= _rampTime {
		return slots
	}
	ramped := int(float64(slots) * float64(age) / float64(_rampTime))
	return min(slots, max(lowest, ramped))
}

// observe counts one run that took ratio times its baseline, and moves the
// limit between lowest and highest at the end of a window.
func (c *concurrency) observe(now time.Duration, ratio float64, failed bool, lowest, highest int) {
	w := &c.window
	w.runs++
	if failed {
		w.failed++
	} else {
		w.ratios += ratio
	}
	if w.runs < _windowRuns {
		return
	}
	c.judge(now, lowest, highest)
	c.window = window{}
}

// failing reports whether most runs failed of late.
func (c *concurrency) failing(now time.Duration) bool {
	return c.failed != 0 && now-c.failed < _failingFor
}

// judge moves the limit by what the window shows.
func (c *concurrency) judge(now time.Duration, lowest, highest int) {
	w := c.window
	c.failed = 0
	if float64(w.failed) >= _failedShare*float64(w.runs) {
		c.failed = now
		c.lower(lowest, 0)
		return
	}
	ratio := w.ratios / float64(w.runs-w.failed)
	if c.before.limit > 0 && ratio > _helpRatio*c.before.ratio {
		c.limit = min(highest, c.before.limit)
		c.norm = max(1, ratio)
		c.before.limit = 0
		return
	}
	if ratio > _slowRatio*c.norm {
		c.lower(lowest, ratio)
		return
	}
	c.before.limit = 0
	c.norm = max(1, min(c.norm, ratio))
	if w.reached {
		c.limit = min(highest, c.limit+1)
	}
}

// lower decreases the limit. A ratio of zero leaves no verdict to be made.
func (c *concurrency) lower(lowest int, ratio float64) {
	c.before.limit = 0
	switch {
	case c.limit > lowest && ratio > 0:
		c.before.limit, c.before.ratio = c.limit, ratio
	case ratio > 0:
		c.norm *= _normDrift
	}
	c.limit = max(lowest, min(c.limit-1, int(float64(c.limit)*_decrease)))
}
