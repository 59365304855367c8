package queue

import "time"

const (
	// _windowRuns is the number of runs in a window.
	_windowRuns = 64
	// _overloadRatio is the mean ratio of run time to baseline, relative to the
	// norm, above which a window counts as overloaded.
	_overloadRatio = 1.8
	// _failedShare is the share of failed runs from which a window counts as overloaded.
	_failedShare = 0.5
	// _failingPeriod is how long an upstream counts as failing after a window in
	// which most runs failed, unless another window ends before. Afterwards, other
	// agents hand requests over to the upstream again.
	_failingPeriod = 5 * time.Second
	// A decrease of the limit is kept only if it lowers the mean ratio to at most
	// _improvedRatio times the mean ratio before the decrease.
	_improvedRatio = 0.9
	// _decreaseFactor is the factor that an overloaded window applies to the limit.
	_decreaseFactor = 0.75
	// _normDriftFactor is the factor by which the norm rises for each overloaded
	// window at the minimum limit, so that the limit of an upstream that has
	// become permanently slower can rise again.
	_normDriftFactor = 1.02
	// _rampTime is the time over which a new upstream is given all of its slots.
	_rampTime = 10 * time.Second
)

// concurrencyLimiter adapts the number of requests that may run at an upstream
// at once to measured run times and failures. It does not rely on the health or
// load that the upstream reports.
//
// Runs are evaluated in windows of _windowRuns. A window that is much slower
// than the baseline, or in which most runs fail, lowers the limit. If the run
// times do not improve in the next window, then concurrency was not the cause:
// the limit is restored and the slower run times become the norm. A window
// without overload in which the limit was reached raises the limit by one.
type concurrencyLimiter struct {
	limit int
	// norm is the mean ratio of run time to baseline that counts as normal; 1 or more.
	norm float64
	// failedAt is the end of the last window if at least _failedShare of its runs
	// failed, and zero otherwise.
	failedAt time.Duration
	// beforeDecrease is the limit and mean ratio before the last decrease, with
	// which the next window is compared. The limit is zero if there is nothing
	// to compare.
	beforeDecrease struct {
		limit int
		ratio float64
	}
	window runWindow
}

// runWindow accumulates the runs since the last evaluation.
type runWindow struct {
	runs, failed int
	ratioSum     float64
	// limitReached says that as many requests as the limit allows ran at the same time.
	limitReached bool
}

func newConcurrencyLimiter(slots int) concurrencyLimiter {
	return concurrencyLimiter{limit: slots, norm: 1}
}

// rampLimit returns how many of its slots an upstream may use. age is the time since
// the upstream began to serve. The result is at least lowest and at most slots.
func rampLimit(slots, lowest int, age time.Duration) int {
	if age >= _rampTime {
		return slots
	}
	ramped := int(float64(slots) * float64(age) / float64(_rampTime))
	return min(slots, max(lowest, ramped))
}

// observe counts one run that took ratio times its baseline. At the end of a
// window, it adjusts the limit within lowest and highest.
func (c *concurrencyLimiter) observe(now time.Duration, ratio float64, failed bool, lowest, highest int) {
	w := &c.window
	w.runs++
	if failed {
		w.failed++
	} else {
		w.ratioSum += ratio
	}
	if w.runs < _windowRuns {
		return
	}
	c.evaluate(now, lowest, highest)
	c.window = runWindow{}
}

// failing reports whether most runs failed in the last window, and that window ended
// less than _failingPeriod ago.
func (c *concurrencyLimiter) failing(now time.Duration) bool {
	return c.failedAt != 0 && now-c.failedAt < _failingPeriod
}

// evaluate adjusts the limit and the norm to the results of a full window.
func (c *concurrencyLimiter) evaluate(now time.Duration, lowest, highest int) {
	w := c.window
	c.failedAt = 0
	if float64(w.failed) >= _failedShare*float64(w.runs) {
		c.failedAt = now
		c.decrease(lowest, 0)
		return
	}
	ratio := w.ratioSum / float64(w.runs-w.failed)
	if c.beforeDecrease.limit > 0 && ratio > _improvedRatio*c.beforeDecrease.ratio {
		c.limit = min(highest, c.beforeDecrease.limit)
		c.norm = max(1, ratio)
		c.beforeDecrease.limit = 0
		return
	}
	if ratio > _overloadRatio*c.norm {
		c.decrease(lowest, ratio)
		return
	}
	c.beforeDecrease.limit = 0
	c.norm = max(1, min(c.norm, ratio))
	if w.limitReached {
		c.limit = min(highest, c.limit+1)
	}
}

// decrease lowers the limit, but not below lowest, after an overloaded window
// with this mean ratio. If the ratio is zero, because runs failed, the next
// window is not compared with this one.
func (c *concurrencyLimiter) decrease(lowest int, ratio float64) {
	c.beforeDecrease.limit = 0
	switch {
	case c.limit > lowest && ratio > 0:
		c.beforeDecrease.limit, c.beforeDecrease.ratio = c.limit, ratio
	case ratio > 0:
		c.norm *= _normDriftFactor
	}
	c.limit = max(lowest, min(c.limit-1, int(float64(c.limit)*_decreaseFactor)))
}
