package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/ticket"
)

// _bufferedBodyBytes is how many bytes of a ticketed request's body are read before
// the request waits for a slot, so that a request whose upload breaks off within
// these bytes does not run.
const _bufferedBodyBytes = 64 << 10

// serveTicketed answers a request that has or needs a ticket. A request under the
// ticket of another agent is forwarded to that agent, which alone may run it.
func (x *exchange) serveTicketed() {
	x.renewTicket = true
	t, err := x.d.keys.Open(x.r.Header.Get(HeaderIdempotencyKey))
	self := x.d.self
	switch {
	case errors.Is(err, ticket.ErrForeign):
		x.requireTicket()
	case err != nil:
		x.answerUnknown("unverified", unknownProblem(http.StatusConflict, "the ticket cannot be verified"))
	case t.Service != self.Service:
		x.answerUnknown("misdirected", unknownProblem(http.StatusConflict, "the ticket is for another service"))
	case t.Agent == self.Address && t.Incarnation == self.Incarnation:
		x.serveIssuedTicket(t)
	case t.Agent == self.Address || x.fromPeer:
		x.answerUnknown("issuer_gone", unknownProblem(http.StatusConflict, "the agent that issued the ticket has ended"))
	default:
		x.forwardTicket(t)
	}
}

// requireTicket answers a request without a ticket with a new ticket. A draining
// agent hands the request over to a peer, because a ticket is of use only as long as
// its issuer runs.
func (x *exchange) requireTicket() {
	if x.d.draining.Load() && !x.fromPeer {
		if peer, ok := x.d.anyPeer(); ok && x.handOver(peer, 0) {
			return
		}
	}
	x.d.telemetry.countAnswer("ticket")
	x.settle(ticket.NotRun{})
	if !x.d.issueTicket(x.w) {
		p := notRunProblem(ReasonNoTicket, "no ticket can be issued now", x.d.retryAfter())
		p.Status = http.StatusTooManyRequests
		writeProblem(x.w, p)
		return
	}
	writeProblem(x.w, Problem{
		Status:  http.StatusPreconditionRequired,
		Detail:  "repeat the request with the Idempotency-Key of this answer",
		Outcome: OutcomeNotRun,
		Reason:  ReasonNoTicket,
	})
}

// issueTicket issues a ticket and sets it in the header of the answer w. It returns
// false if no ticket can be issued now.
func (d *Dispatcher) issueTicket(w http.ResponseWriter) bool {
	now := time.Now()
	number := ticket.Number(d.lastNumber.Add(1))
	sealed, err := d.keys.Seal(ticket.Ticket{
		Service:     d.self.Service,
		Agent:       d.self.Address,
		Incarnation: d.self.Incarnation,
		Number:      number,
		Expiry:      now.Add(d.ticketBounds.Lifetime),
	})
	if err != nil || d.tickets.issue(number) != nil {
		return false
	}
	d.lastIssuedNano.Store(now.UnixNano())
	w.Header().Set(HeaderIdempotencyKey, `"`+sealed+`"`)
	return true
}

// serveIssuedTicket answers a request under a ticket that this run of the agent
// issued. The first request under the ticket runs.
func (x *exchange) serveIssuedTicket(t ticket.Ticket) {
	reply := x.d.tickets.begin(t.Number, fingerprint(x.r))
	switch v := reply.verdict.(type) {
	case ticket.Run:
		x.runTicketed(t.Number)
	case ticket.Mismatch:
		writeProblem(x.w, Problem{
			Status: http.StatusUnprocessableEntity,
			Detail: "the ticket was used before for a different request",
		})
	default:
		x.answerVerdict(v, reply.outcomes)
	}
}

// fingerprint returns a hash of the request's method and URI, by which the ledger
// detects that one ticket is used for different requests. It is never zero, because
// zero stands for no fingerprint.
func fingerprint(r *http.Request) uint64 {
	return xxhash.Sum64String(r.Method+" "+r.URL.RequestURI()) | 1
}

// runTicketed runs the request that claimed the ticket. It settles the ticket on
// every return and panic.
func (x *exchange) runTicketed(number ticket.Number) {
	settled := false
	x.ticket = number
	x.settle = func(outcome ticket.Outcome) {
		if !settled {
			settled = true
			x.d.tickets.settle(number, outcome)
		}
	}
	defer func() { x.settle(ticket.Unknown{}) }()
	if err := x.bufferBody(); err != nil {
		p := notRunProblem(ReasonMalformed, "the request's body broke off", x.d.retryAfter())
		p.Status = http.StatusBadRequest
		x.answerNotRun("broken_upload", p)
		return
	}
	switch a := x.admit().(type) {
	case admitted:
		x.detach()
		if err := x.run(a.id); err != nil {
			x.answerRunError(err)
		}
	case refused:
		x.answerNotRun("refused", queueRefusalProblem(a.Refuse))
	default:
		x.answerAbandoned()
	}
}

// bufferBody reads up to _bufferedBodyBytes of the body into memory. It returns an
// error if the upload breaks off within these bytes.
func (x *exchange) bufferBody() error {
	head, err := io.ReadAll(io.LimitReader(x.r.Body, _bufferedBodyBytes))
	if err != nil {
		return err
	}
	x.body.source = io.MultiReader(bytes.NewReader(head), x.r.Body)
	return nil
}

// detach makes the exchange's context independent of the caller's connection. The run
// then continues if the caller disconnects, so that its outcome is known when the
// caller repeats the request under the same ticket.
func (x *exchange) detach() {
	x.end()
	x.ctx, x.cancel = context.WithCancel(context.WithoutCancel(x.r.Context()))
	x.unwatchBase = context.AfterFunc(x.d.baseCtx, x.cancel)
}

// answerVerdict answers a copy of a request that, by the ledger's verdict, must not
// run. If another copy is in progress, outcomes receives the outcome of that copy, or
// is nil if too many copies wait already.
func (x *exchange) answerVerdict(verdict ticket.Verdict, outcomes <-chan ticket.Outcome) {
	switch v := verdict.(type) {
	case ticket.Settled:
		x.answerOutcome(v.Outcome)
	case ticket.InProgress:
		x.awaitOutcome(outcomes)
	default:
		x.answerUnknown("forgotten", unknownProblem(http.StatusConflict, "the ticket has expired"))
	}
}

// awaitOutcome waits until the deadline for the outcome of another copy of the request
// and answers with it, or with the answer that the request is still in progress.
func (x *exchange) awaitOutcome(outcomes <-chan ticket.Outcome) {
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	if outcomes != nil {
		select {
		case outcome := <-outcomes:
			x.answerOutcome(outcome)
			return
		case <-timer.C:
		case <-x.ctx.Done():
		}
	}
	p := unknownProblem(http.StatusConflict, "the request is still in progress")
	p.RetryAfterMS = x.d.retryAfter().Milliseconds()
	x.d.telemetry.countAnswer("in_progress")
	writeProblem(x.w, p)
}

// answerOutcome answers with the outcome of an earlier copy of the request.
func (x *exchange) answerOutcome(outcome ticket.Outcome) {
	x.d.telemetry.countAnswer("remembered")
	switch o := outcome.(type) {
	case ticket.Done:
		writeRemembered(x.w, o)
	case ticket.NotRun:
		if x.renewTicket {
			x.d.issueTicket(x.w)
		}
		writeProblem(x.w, notRunProblem(ReasonEarlier, "the request was refused before and did not run", x.d.retryAfter()))
	default:
		writeProblem(x.w, unknownProblem(http.StatusConflict, "the request broke off before"))
	}
}
