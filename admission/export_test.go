package admission

import "time"

// Orders are the orders of openings of the same priority that the tests compare.
var Orders = []string{"arrival", "deadline", "slack", "shortest"}

const (
	// _workFactor is the number of expected run times that are added to the arrival of an opening
	// in the order "shortest", and _maxLead bounds the result. So no opening is overtaken by
	// others that arrive more than _maxLead later.
	_workFactor = 10
	_maxLead    = 150 * time.Millisecond
)

// SetOrder sets the order of openings of the same priority.
func (c *Controller[F]) SetOrder(name string) {
	c.order = map[string]order{
		"arrival":  byArrival,
		"deadline": func(arrived, target, _ time.Duration) time.Duration { return arrived + target },
		"slack":    func(arrived, target, expected time.Duration) time.Duration { return arrived + target - expected },
		"shortest": func(arrived, _, expected time.Duration) time.Duration {
			return arrived + min(_workFactor*expected, _maxLead)
		},
	}[name]
}

// SetRunTime replaces the estimate of the run time of the work's route.
func (c *Controller[F]) SetRunTime(w *Work[F], runTime time.Duration) {
	w.route.runTime.value = runTime
}
