package soak

import (
	"fmt"
	"time"

	"dandelionhitch.example/standin"
)

// Long-lived flows.
const (
	// _longLivedCallers is the number of callers of which one keeps its flow.
	_longLivedCallers = 4
	// _maxRequests is the largest number of requests that follow the first one on a flow, and
	// _maxRequestPause the longest time from an answer to the next request.
	_maxRequests     = 6
	_maxRequestPause = 300 * time.Millisecond
	// _maxRequestSize makes a request up to four packets.
	_maxRequestSize = 4000
)

// The overload at the end of a run with the setting priority_admission. An upstream of the soak
// serves 4 requests at a time, so that up to 7 upstreams have a capacity of less than
// _bulkRate, and one alone can serve _urgentRate.
const (
	_overloadDuration = 6 * time.Second
	// _overloadWarmup is how long the sidecars have to learn the run times.
	_overloadWarmup  = 2 * time.Second
	_overloadRunTime = 300 * time.Millisecond
	_overloadTarget  = time.Second
	_urgentRate      = 10  // requests a second
	_bulkRate        = 120 // flows a second
	// _minRefused is the least number of refused requests from which the check concludes that
	// more important work is refused throughout a second.
	_minRefused = 5
)

// endedRequest is a request that ended during the overload.
type endedRequest struct {
	began             time.Duration
	urgent            bool
	answered, refused bool
}

// prioritized reports whether the processes have the setting priority_admission.
func (r *run) prioritized() bool { return r.config.Seed%2 == 1 }

// answered reports whether the last request of the call was answered.
func (c *call) answered() bool {
	return c.State == standin.CallAnswered || c.State == standin.CallIdle
}

// drawLongLived makes some callers send several requests on their flows. Callers that pause
// don't, as their flows would outlive the run.
func (r *run) drawLongLived(c *call) {
	if r.demandRandom.IntN(_longLivedCallers) > 0 || c.Pause > 0 {
		return
	}
	c.LongLived, c.requestsLeft, c.Size = true, r.demandRandom.IntN(_maxRequests+1), r.demandRandom.IntN(_maxRequestSize)
	c.nextPause = time.Duration(r.demandRandom.Int64N(int64(_maxRequestPause)))
}

// proceed sends the next request on an idle flow when it is due, or closes the flow.
func (c *call) proceed(now time.Duration) {
	switch {
	case c.State != standin.CallIdle:
	case c.requestsLeft == 0:
		c.Close()
	case now-c.Ended >= c.nextPause:
		c.Next(now, fmt.Sprintf("%s.%d", c.name, c.requestsLeft))
		c.requestsLeft--
	}
}

// noteEnd records a request of the overload that has ended.
func (r *run) noteEnd(c *call) {
	if c.overload {
		r.requests = append(r.requests, endedRequest{
			began: c.Began, urgent: c.Key.Address == r.serviceAddress(_urgentAddress), answered: c.answered() && !c.Failed,
			refused: c.State == standin.CallReset && c.Opened == 0 || c.answered() && c.Failed,
		})
	}
}

// runOverload starts more calls than the upstreams have capacity for, of the least and of the most
// important route. A part of the former are on long-lived flows.
func (r *run) runOverload() {
	r.mu.Lock()
	r.overloadAt = r.now()
	r.mu.Unlock()
	next := r.overloadAt
	for r.now() < r.overloadAt+_overloadDuration {
		for next <= r.now() {
			r.startOverloadCall()
			next += time.Duration(r.demandRandom.ExpFloat64() * float64(time.Second) / (_urgentRate + _bulkRate))
		}
		time.Sleep(_tickInterval)
	}
}

func (r *run) startOverloadCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := byte(_bulkAddress)
	if r.demandRandom.IntN(_urgentRate+_bulkRate) < _urgentRate {
		address = _urgentAddress
	}
	c := r.newCall(address)
	c.overload = true
	if address == _bulkAddress {
		r.drawLongLived(c)
	}
	r.begin(c)
}

// checkPriorities checks that in no second of the overload all urgent requests were refused while
// others were accepted.
func (r *run) checkPriorities() {
	for from := r.overloadAt + _overloadWarmup; r.overloadAt > 0 && from+time.Second <= r.overloadAt+_overloadDuration; from += time.Second / 4 {
		urgent, refused, accepted := 0, 0, 0
		for _, e := range r.requests {
			switch {
			case e.began < from || e.began >= from+time.Second:
			case e.urgent:
				urgent++
				if e.refused {
					refused++
				}
			case e.answered:
				accepted++
			}
		}
		r.check(_byPriority, refused < _minRefused || refused < urgent || accepted == 0,
			"all %d urgent requests that began in the second from %v on were refused, and %d others accepted", urgent, from, accepted)
	}
}
