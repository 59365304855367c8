package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"time"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/ticket"
)

// _defaultTimeout is the deadline of a request if neither the caller nor the
// settings give one.
const _defaultTimeout = 30 * time.Second

// exchange is one request and its answer. Only the goroutine that serves the request
// uses it.
type exchange struct {
	d      *Dispatcher
	w      http.ResponseWriter
	r      *http.Request
	policy settings.Requests
	body   *body
	// ctx ends when the caller disconnects or the Dispatcher is closed. For a run
	// under a ticket, only closing the Dispatcher ends it.
	ctx         context.Context
	cancel      context.CancelFunc
	unwatchBase func() bool
	deadline    time.Time
	// boundsTransfer is set if the caller gave the deadline. The deadline then also
	// applies to the transfer of the answer, not only to its start.
	boundsTransfer bool
	// fromPeer is set if another agent passed the request on. This agent then
	// does not pass it on again.
	fromPeer bool
	// maxWait is the longest wait in this agent's queue that the agent which handed
	// the request over allows. Zero means any wait.
	maxWait time.Duration
	// offerCount is how often the request was offered to this agent's queue.
	offerCount int
	// triedPeers are the agents to which the request was handed over.
	triedPeers []netip.AddrPort
	// mayHaveRun is set once a run of the request has failed after it may have
	// reached the upstream. From then on no answer has OutcomeNotRun.
	mayHaveRun bool
	// ticket is the number of the ticket under which the request runs, or zero.
	ticket ticket.Number
	// settle records the outcome for copies of the request and for queries of other
	// agents. Only the first call has an effect. If the dispatcher itself generates
	// the answer, settle is called before the answer is sent.
	settle func(ticket.Outcome)
	// renewTicket makes an answer with OutcomeNotRun carry a new ticket.
	renewTicket bool
}

// newExchange returns the exchange for r. The caller must call its end method.
func (d *Dispatcher) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	timeout, hasDeadline, err := parseDeadline(r.Header)
	if err != nil {
		return nil, err
	}
	policy := d.policy().Requests
	if !hasDeadline {
		timeout = time.Duration(policy.Timeout)
	}
	if timeout <= 0 {
		timeout = _defaultTimeout
	}
	requestBody, err := newBody(r)
	if err != nil {
		return nil, err
	}
	x := &exchange{
		d:              d,
		w:              w,
		r:              r,
		policy:         policy,
		body:           requestBody,
		deadline:       time.Now().Add(timeout),
		boundsTransfer: hasDeadline && r.Header.Get(_headerBegin) == "",
		settle:         func(ticket.Outcome) {},
	}
	x.ctx, x.cancel = context.WithCancel(r.Context())
	x.unwatchBase = context.AfterFunc(d.baseCtx, x.cancel)
	// Without full duplex, an HTTP/1 server reads the rest of the request body
	// before it sends the answer. The error for other versions is ignored, because
	// their servers never do that.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return x, nil
}

// attemptContext is the context of one attempt at a request. It ends at the
// exchange's deadline, unless answerStarted removes the deadline.
type attemptContext struct {
	context.Context
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// newAttemptContext returns the context for one attempt at the request. The caller
// must call its end method.
func (x *exchange) newAttemptContext() attemptContext {
	ctx, cancel := context.WithCancelCause(x.ctx)
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	return attemptContext{Context: ctx, timer: timer, cancel: cancel}
}

// answerStarted removes the deadline if it applies only to the start of the answer.
func (t attemptContext) answerStarted(x *exchange) {
	if !x.boundsTransfer {
		t.timer.Stop()
	}
}

// end cancels the context and releases its timer.
func (t attemptContext) end() {
	t.timer.Stop()
	t.cancel(nil)
}

// end cancels the exchange's context and releases its resources.
func (x *exchange) end() {
	x.unwatchBase()
	x.cancel()
}

// serve answers a caller's request, under a ticket if its route needs one or the
// request carries one.
func (x *exchange) serve() {
	if x.nonRepeatable() || x.carriesTicket() {
		x.serveTicketed()
		return
	}
	x.serveUnticketed()
}

// nonRepeatable reports whether the request needs a ticket: the settings mark its
// route as non-repeatable, and its method may change state.
func (x *exchange) nonRepeatable() bool {
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return matchesRoute(x.r.URL.Path, x.policy.NonRepeatableRoutes)
}

// carriesTicket reports whether the request has a ticket, whether or not its route
// needs one. Settings reach the agents at different times, and if one agent has
// demanded a ticket for the request, no other agent may run it without the ticket.
func (x *exchange) carriesTicket() bool {
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return false
	}
	_, err := x.d.keys.Open(key)
	return !errors.Is(err, ticket.ErrForeign)
}

// idempotent reports whether the request may be retried after it may have run.
func (x *exchange) idempotent() bool {
	if x.ticket != 0 {
		return false
	}
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return !x.nonRepeatable()
	}
	return false
}

// matchesRoute reports whether the requested path begins with one of the prefixes.
// It cleans the path first, so that "//once" or "/x/../once" matches "/once".
func matchesRoute(requested string, prefixes []string) bool {
	clean := path.Clean("/" + requested)
	for _, prefix := range prefixes {
		if strings.HasPrefix(clean, prefix) || strings.HasPrefix(clean+"/", prefix) {
			return true
		}
	}
	return false
}

// admitResult is the result of a request's wait for a slot: admitted, refused,
// leftForPeer or abandoned.
type admitResult interface{ admitResult() }

// admitted means that the request holds a slot under the given ID.
type admitted struct{ id queue.ID }

// refused means that the queue refused the request.
type refused struct{ queue.Refuse }

// leftForPeer means that the request left the queue because the peer may run it
// sooner. maxWait is the longest wait to allow at the peer.
type leftForPeer struct {
	peer    Peer
	maxWait time.Duration
}

// abandoned means that the request's context ended while the request waited.
type abandoned struct{}

func (admitted) admitResult()    {}
func (refused) admitResult()     {}
func (leftForPeer) admitResult() {}
func (abandoned) admitResult()   {}

// admit offers the request to the queue and waits for a slot. If the expected wait
// is long and the request may be handed over, it leaves the queue for a less loaded
// peer.
func (x *exchange) admit() admitResult {
	start := time.Now()
	id, replies := x.d.admission.offer(x.queueRequest())
	x.offerCount++
	for {
		select {
		case action := <-replies:
			switch a := action.(type) {
			case queue.Start:
				x.d.telemetry.recordWait(time.Since(start))
				return admitted{id: id}
			case queue.Refuse:
				return refused{Refuse: a}
			case queue.Wait:
				if left, ok := x.leaveForPeer(id, a.Expected); ok {
					return left
				}
			}
		case <-x.ctx.Done():
			return x.abandon(id, replies)
		}
	}
}

// leaveForPeer removes the request from the queue if the expected wait is long and a
// peer may run the request sooner.
func (x *exchange) leaveForPeer(id queue.ID, expected time.Duration) (leftForPeer, bool) {
	maxWait, better := queue.HandOverMaxWait(expected)
	if !better {
		return leftForPeer{}, false
	}
	peer, ok := x.choosePeer(queue.MaxLoad)
	if !ok || !x.d.admission.leave(id) {
		return leftForPeer{}, false
	}
	return leftForPeer{peer: peer, maxWait: maxWait}, true
}

// queueRequest returns the description of the request for the queue.
func (x *exchange) queueRequest() queue.Request {
	var class queue.Class
	if matchesRoute(x.r.URL.Path, x.policy.LongRoutes) {
		class = queue.Long
	}
	return queue.Request{
		Route:     queue.RouteOf(x.r.Method, x.r.URL.Path),
		Class:     class,
		Deadline:  x.d.admission.now() + time.Until(x.deadline),
		Jitter:    x.d.random(),
		Pinned:    x.ticket != 0,
		MaxWait:   x.maxWait,
		Reoffered: x.offerCount > 0,
	}
}

// abandon removes the request from the queue, or releases its slot if the queue
// started it at the same moment.
func (x *exchange) abandon(id queue.ID, replies <-chan queue.Action) admitResult {
	if x.d.admission.cancel(id) {
		return abandoned{}
	}
	for action := range replies {
		switch action.(type) {
		case queue.Start:
			x.d.admission.finish(id, queue.Aborted)
			return abandoned{}
		case queue.Refuse:
			return abandoned{}
		}
	}
	return abandoned{}
}

// serveUnticketed answers a request that runs without a ticket. If a peer declines a
// handover, the request is offered to this agent's queue again, as long as its body
// can be replayed. queue.MaxHandOvers and the handover budget limit the number of
// handovers.
func (x *exchange) serveUnticketed() {
	for {
		switch a := x.admit().(type) {
		case admitted:
			x.runUnticketed(a.id)
			return
		case leftForPeer:
			if x.handOver(a.peer, a.maxWait) {
				return
			}
		case refused:
			peer, ok := x.choosePeer(queue.CrowdedLoad)
			if !ok || !x.d.admission.withdraw(_budgetHandOver) {
				x.answerNotRun("refused", queueRefusalProblem(a.Refuse))
				return
			}
			if x.handOver(peer, 0) {
				return
			}
		case abandoned:
			x.answerAbandoned()
			return
		}
		if !x.body.rewind() {
			x.answerNotRun("refused", notRunProblem(ReasonCrowded, "the request could not be handed over", x.d.retryAfter()))
			return
		}
	}
}

// runUnticketed runs the request, and retries it once if mayRetry allows it, at a
// peer if possible.
func (x *exchange) runUnticketed(id queue.ID) {
	err := x.run(id)
	if err != nil && x.mayRetry() {
		if peer, ok := x.d.anyPeer(); ok && x.handOver(peer, 0) {
			return
		}
		if x.body.rewind() {
			err = x.retryHere(err)
		}
	}
	if err != nil {
		x.answerRunError(err)
	}
}

// retryHere runs the request at the upstream again if it gets a slot. Otherwise it
// returns err, the error of the failed run.
func (x *exchange) retryHere(err error) error {
	a, ok := x.admit().(admitted)
	if !ok {
		return err
	}
	return x.run(a.id)
}

// mayRetry reports whether the request may be retried after a failed run. If so, it
// takes the retry from the retry budget, or from the handover budget if the request
// certainly has not run.
func (x *exchange) mayRetry() bool {
	if x.mayHaveRun && !x.idempotent() {
		return false
	}
	if x.fromPeer || x.ctx.Err() != nil || !time.Now().Before(x.deadline) {
		return false
	}
	budget := _budgetRetry
	if !x.mayHaveRun {
		budget = _budgetHandOver
	}
	return x.body.rewind() && x.d.admission.withdraw(budget)
}

// answerAbandoned answers a request whose context ended while the request waited.
func (x *exchange) answerAbandoned() {
	x.answerNotRun("abandoned", notRunProblem(ReasonCancelled, "the request was cancelled before it started", x.d.retryAfter()))
}

// answerRunError answers a request whose run failed with err before the upstream
// answered.
func (x *exchange) answerRunError(err error) {
	var notSent *notSentError
	switch {
	case errors.As(err, &notSent):
		x.answerNotRun("unreachable", notRunProblem(ReasonUnreachable, "the upstream cannot be reached", x.d.retryAfter()))
	case errors.Is(err, context.DeadlineExceeded):
		x.answerUnknown("timed_out", unknownProblem(http.StatusGatewayTimeout, "the upstream did not answer in time"))
	default:
		x.answerUnknown("broken", unknownProblem(http.StatusBadGateway, "the upstream broke off"))
	}
}

// answerNotRun settles the request as not run and answers with p. If an earlier
// attempt may have run the request, it settles and answers the outcome as unknown.
// The parameter how is the answer's label in the metrics.
func (x *exchange) answerNotRun(how string, p Problem) {
	if x.mayHaveRun {
		x.answerUnknown(how, unknownProblem(http.StatusBadGateway, "an attempt at the request broke off"))
		return
	}
	x.d.telemetry.countAnswer(how)
	x.settle(ticket.NotRun{})
	if x.renewTicket {
		x.d.issueTicket(x.w)
	}
	writeProblem(x.w, p)
}

// answerUnknown settles the outcome of the request as unknown and answers with p.
// The parameter how is the answer's label in the metrics.
func (x *exchange) answerUnknown(how string, p Problem) {
	x.d.telemetry.countAnswer(how)
	x.settle(ticket.Unknown{})
	writeProblem(x.w, p)
}
