package queue

import "time"

// ID identifies a request at one queue. The owner of the queue chooses it and never reuses it.
type ID uint64

// Action is an instruction to the owner of a queue about one request:
// Start, Wait or Refuse.
type Action interface {
	// Request returns the request that the action is about.
	Request() ID

	action()
}

// Start says that the request runs now. The request occupies a slot until
// Queue.Finish is called for it.
type Start struct {
	ID ID
}

// Wait says that the request waits for a slot.
type Wait struct {
	ID ID
	// Expected is the estimated time that the request will wait.
	Expected time.Duration
}

// Refuse says that the request is refused now and never runs.
type Refuse struct {
	ID     ID
	Reason Reason
	// RetryAfter is the time after which the caller should retry, counted from now.
	RetryAfter time.Duration
}

// Request returns the request that is started.
func (a Start) Request() ID { return a.ID }

// Request returns the request that waits.
func (a Wait) Request() ID { return a.ID }

// Request returns the request that is refused.
func (a Refuse) Request() ID { return a.ID }

func (Start) action()  {}
func (Wait) action()   {}
func (Refuse) action() {}

// Reason is why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// Full says that the queue has reached its length limit.
	Full Reason = iota + 1
	// Overloaded says that the expected wait is longer than a short request may wait.
	Overloaded
	// Late says that the request would probably miss its deadline.
	Late
	// Draining says that the queue accepts no new requests.
	Draining
	// Busy says that the expected wait is longer than the request's MaxWait.
	Busy
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Full:
		return "full"
	case Overloaded:
		return "overloaded"
	case Late:
		return "late"
	case Draining:
		return "draining"
	case Busy:
		return "busy"
	default:
		return "unknown"
	}
}

// Result is the outcome of a request that ran.
type Result uint8

// The results of a run.
const (
	// Done says that the upstream answered.
	Done Result = iota + 1
	// Failed says that the upstream could not be reached, broke off its
	// response, or answered with an error.
	Failed
	// TimedOut says that the request's deadline ended the run. Callers choose
	// their deadlines, so the run counts as a failure of the upstream only if
	// it lasted several times as long as runs of its route usually do.
	TimedOut
	// Aborted says that the caller or the agent ended the run, so that its run
	// time says nothing about the upstream.
	Aborted
)
