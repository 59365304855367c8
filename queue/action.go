package queue

import "time"

// ID names a request at one queue. The owner chooses it and never reuses it.
type ID uint64

// Action is what the owner of a queue does next about one request:
// Start, Wait or Refuse.
type Action interface {
	// Request returns the request that the action is about.
	Request() ID

	action()
}

// Start says that the request runs now. It holds a slot until Finish.
type Start struct {
	ID ID
}

// Wait says that the request waits for a slot.
type Wait struct {
	ID ID
	// Expected is how long it will probably wait.
	Expected time.Duration
}

// Refuse says that the request is answered now and never runs.
type Refuse struct {
	ID     ID
	Reason Reason
	// RetryAfter is when the caller should come back, counted from now.
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
	// Full says that the queue has no place left.
	Full Reason = iota + 1
	// Overloaded says that the request would wait too long.
	Overloaded
	// Late says that the request's deadline cannot be met any more.
	Late
	// Draining says that the queue takes no new requests.
	Draining
	// Busy says that the request would wait longer than its MaxWait.
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

// Result is how a request that ran has ended.
type Result uint8

// The results of a run.
const (
	// Done says that the upstream answered.
	Done Result = iota + 1
	// Failed says that the upstream broke off, could not be reached, or
	// answered that it failed.
	Failed
	// TimedOut says that the request's deadline ended the run. It counts against
	// the upstream only if the run got much more time than it usually takes:
	// callers choose their deadlines.
	TimedOut
	// Aborted says that the run was ended from this side, so that its run
	// time says nothing about the upstream.
	Aborted
)
