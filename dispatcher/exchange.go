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

// _defaultTimeout bounds a request when neither caller nor settings do.
const _defaultTimeout = 30 * time.Second

// exchange is one request and its answer.
type exchange struct {
	d      *Dispatcher
	w      http.ResponseWriter
	r      *http.Request
	policy settings.Requests
	body   *body
	// ctx ends when the caller goes away or with Close.
	ctx         context.Context
	cancel      context.CancelFunc
	unwatchBase func() bool
	deadline    time.Time
	// bounded says that the deadline is the caller's own and also bounds the
	// transfer of the answer, not only its beginning.
	boundsTransfer bool
	// fromPeer says that another agent passed the request on, so that it
	// cannot be passed on again.
	fromPeer bool
	// maxWait is the longest wait here that the other agent allows; zero is any.
	maxWait time.Duration
	// offers counts how often the request asked for a slot here.
	offerCount int
	// handedTo are the agents that the request was handed to.
	triedPeers []netip.AddrPort
	// mayHaveRun is set once a run has begun without an answer. From then on
	// no answer says that the request did not run.
	mayHaveRun bool
	// ticket is the number of the ticket that the request runs under.
	ticket ticket.Number
	// settle records the outcome where someone may ask for it. It is called
	// once, before the answer is sent where that is the dispatcher's own.
	settle func(ticket.Outcome)
	// renew says that an answer "not-run" carries the next ticket.
	renewTicket bool
}

// newExchange returns the exchange for r. It must be ended with end.
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
	content, err := newBody(r)
	if err != nil {
		return nil, err
	}
	x := &exchange{
		d:              d,
		w:              w,
		r:              r,
		policy:         policy,
		body:           content,
		deadline:       time.Now().Add(timeout),
		boundsTransfer: hasDeadline && r.Header.Get(_headerBegin) == "",
		settle:         func(ticket.Outcome) {},
	}
	x.ctx, x.cancel = context.WithCancel(r.Context())
	x.unwatchBase = context.AfterFunc(d.baseCtx, x.cancel)
	// An HTTP/1 server reads the rest of the body before it sends the answer,
	// unless told not to; the other versions have no such step.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return x, nil
}

// timed is a context that ends at an exchange's deadline.
type attemptContext struct {
	context.Context
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// untilDeadline returns a context for one attempt at the request.
func (x *exchange) newAttemptContext() attemptContext {
	ctx, cancel := context.WithCancelCause(x.ctx)
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	return attemptContext{Context: ctx, timer: timer, cancel: cancel}
}

// answered lifts the deadline if it bounds the beginning of the answer only.
func (t attemptContext) answerStarted(x *exchange) {
	if !x.boundsTransfer {
		t.timer.Stop()
	}
}

// end frees what the context holds.
func (t attemptContext) end() {
	t.timer.Stop()
	t.cancel(nil)
}

// end frees what the exchange holds.
func (x *exchange) end() {
	x.unwatchBase()
	x.cancel()
}

// serve answers a caller's request.
func (x *exchange) serve() {
	if x.nonRepeatable() || x.carriesTicket() {
		x.serveTicketed()
		return
	}
	x.serveUnticketed()
}

// nonRepeatable reports whether the settings mark the request's route. Such a
// route needs a ticket for every method that may change something.
func (x *exchange) nonRepeatable() bool {
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return matchesRoute(x.r.URL.Path, x.policy.NonRepeatableRoutes)
}

// carriesTicket reports whether the request has a ticket. It is honoured on
// every route: settings reach agents unevenly, and where one agent asks for a
// ticket, another must not run the request outside of it.
func (x *exchange) carriesTicket() bool {
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return false
	}
	_, err := x.d.keys.Open(key)
	return !errors.Is(err, ticket.ErrForeign)
}

// idempotent reports whether the request may be repeated after it has started.
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

// hasPrefix reports whether the path begins with one of the prefixes, also if
// it is written in a roundabout way.
func matchesRoute(requested string, prefixes []string) bool {
	clean := path.Clean("/" + requested)
	for _, prefix := range prefixes {
		if strings.HasPrefix(clean, prefix) || strings.HasPrefix(clean+"/", prefix) {
			return true
		}
	}
	return false
}

// admitResult is the end of a request's wait for a slot: admitted, refused,
// crowded or abandoned.
type admitResult interface{ admitResult() }

// admitted says that the request holds a slot.
type admitted struct{ id queue.ID }

// refused says that the queue refused the request.
type refused struct{ queue.Refuse }

// crowded says that the request left the queue because a peer may take it sooner.
type leftForPeer struct {
	peer    Peer
	maxWait time.Duration
}

// abandoned says that the request's context ended while it waited.
type abandoned struct{}

func (admitted) admitResult()    {}
func (refused) admitResult()     {}
func (leftForPeer) admitResult() {}
func (abandoned) admitResult()   {}

// admit waits for a slot. A request that may be handed over leaves the queue
// for a less loaded peer rather than wait long.
func (x *exchange) admit() admitResult {
	began := time.Now()
	id, replies := x.d.admission.offer(x.queueRequest())
	x.offerCount++
	for {
		select {
		case action := <-replies:
			switch a := action.(type) {
			case queue.Start:
				x.d.telemetry.recordWait(time.Since(began))
				return admitted{id: id}
			case queue.Refuse:
				return refused{Refuse: a}
			case queue.Wait:
				if to, ok := x.leaveForPeer(id, a.Expected); ok {
					return to
				}
			}
		case <-x.ctx.Done():
			return x.abandon(id, replies)
		}
	}
}

// leave takes the request out of the queue if a peer may take it sooner.
func (x *exchange) leaveForPeer(id queue.ID, expected time.Duration) (leftForPeer, bool) {
	maxWait, better := queue.MaxWaitElsewhere(expected)
	if !better {
		return leftForPeer{}, false
	}
	peer, ok := x.choosePeer(queue.MaxLoad)
	if !ok || !x.d.admission.cancel(id) {
		return leftForPeer{}, false
	}
	return leftForPeer{peer: peer, maxWait: maxWait}, true
}

// ask describes the request to the queue.
func (x *exchange) queueRequest() queue.Request {
	var class queue.Class
	if matchesRoute(x.r.URL.Path, x.policy.LongRoutes) {
		class = queue.Long
	}
	return queue.Request{
		Route:    queue.RouteOf(x.r.Method, x.r.URL.Path),
		Class:    class,
		Deadline: x.d.admission.now() + time.Until(x.deadline),
		Jitter:   x.d.random(),
		Bound:    x.ticket != 0,
		MaxWait:  x.maxWait,
		Again:    x.offerCount > 0,
	}
}

// abandon takes the request out of the queue, or gives back the slot that it
// got at the same moment.
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

// servePlain answers a request that runs without a ticket. As long as it has
// not started and nobody has read its body, it goes to and fro between the
// queue here and other agents, a bounded number of times.
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
			if !ok {
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

// runPlain runs the request, and once more if that is harmless.
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

// runAgain runs the request once more if there is a slot, or returns the error
// of the run before.
func (x *exchange) retryHere(err error) error {
	a, ok := x.admit().(admitted)
	if !ok {
		return err
	}
	return x.run(a.id)
}

// mayRetry reports whether a failed run may be followed by another.
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

// answerAbandoned answers a request whose caller went away while it waited.
func (x *exchange) answerAbandoned() {
	x.answerNotRun("abandoned", notRunProblem(ReasonCancelled, "the request was cancelled before it started", x.d.retryAfter()))
}

// answerBroken answers a request whose run brought no answer.
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

// answerNotRun settles the request as not run and says so, unless an earlier
// attempt may have run it.
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

// answerUnknown settles the request as unknown and says so.
func (x *exchange) answerUnknown(how string, p Problem) {
	x.d.telemetry.countAnswer(how)
	x.settle(ticket.Unknown{})
	writeProblem(x.w, p)
}
