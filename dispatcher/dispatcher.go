// Package dispatcher implements the HTTP reverse proxy of an agent, which
// serves the requests for one upstream.
//
// Balancers choose an agent per flow, not per request, and their view of an
// agent's load is about one second old. The dispatcher runs beside the upstream
// and decides again for each request: it runs the request when the upstream has
// a free slot, hands it over to a less loaded agent before it has started, or
// refuses it immediately with a Retry-After. It gives each request exactly one
// answer, and reports the outcome "not-run" only if the request did not run and
// never will.
//
//	caller ──► ServeHTTP ──► admission (package queue) ──► upstream
//	               │  └───── registry (package ticket)
//	               └── handovers, tickets of other agents ──► PeerHandler of another agent
//
// Requests on routes that the settings mark as non-repeatable run under a
// ticket, an idempotency key that an agent issues. A request without a ticket is
// answered with status 428 and a new ticket in the Idempotency-Key header field.
// A ticket whose request was answered with "not-run" cannot be used again, and
// that answer carries a new ticket.
package dispatcher

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/ticket"
)

// _ticketGracePeriod is how long a draining agent keeps serving after it issued
// its last ticket, so that the caller can repeat its request with the ticket.
const _ticketGracePeriod = 2 * time.Second

// Dispatcher is the http.Handler in front of one upstream: it decides whether a
// request runs there, waits, goes to another agent or is refused. It is safe for
// concurrent use.
type Dispatcher struct {
	options
	upstream  *url.URL
	policy    func() settings.Service
	telemetry telemetry
	admission *admission
	// tickets records the requests under the tickets that this agent issued.
	tickets *registry[ticket.Number]
	// transfers records the requests that were taken over from other agents.
	transfers *registry[transferKey]
	inFlight  inProgress
	loads     peerLoads
	// readAheadSlots is a semaphore that holds an element for each answer that
	// is read ahead.
	readAheadSlots chan struct{}
	// draining is set by StartDrain.
	draining atomic.Bool
	// lastIssuedNano is the Unix time in nanoseconds of the last issue of a ticket.
	lastIssuedNano atomic.Int64
	// lastNumber is the last number given to a ticket or a handover.
	lastNumber atomic.Uint64

	// baseCtx is cancelled by Close, and ends the context of every exchange.
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// New returns a Dispatcher that forwards to upstream, such as
// http://127.0.0.1:8080, under the settings that policy returns. It serves
// immediately; call Close to release its resources.
func New(upstream *url.URL, policy func() settings.Service, opts ...Option) (*Dispatcher, error) {
	d := &Dispatcher{options: defaultOptions(), upstream: upstream, policy: policy}
	d.loads.byAddress = make(map[netip.AddrPort]peerLoad)
	d.readAheadSlots = make(chan struct{}, _maxReadAheadAnswers)
	for _, opt := range opts {
		opt.apply(&d.options)
	}
	if upstream == nil || upstream.Host == "" {
		return nil, trace.BadParameter("dispatcher upstream %v: want a URL with a host", upstream)
	}
	if err := d.initKeys(); err != nil {
		return nil, trace.Wrap(err, "initialize dispatcher ticket keys")
	}
	var err error
	if d.telemetry, err = newTelemetry(d.meter, d); err != nil {
		return nil, trace.Wrap(err, "register dispatcher metrics")
	}
	if d.admission, err = newAdmission(policy, d.logger); err != nil {
		return nil, trace.Wrap(err, "create dispatcher queue")
	}
	d.initTransport()
	d.tickets = newRegistry[ticket.Number](d.ticketBounds)
	d.transfers = newRegistry[transferKey](d.ticketBounds)
	d.baseCtx, d.cancelBase = context.WithCancel(context.Background())
	return d, nil
}

// initKeys generates ticket keys if none were given. It also sets the first
// number of tickets and transfers at random, so that the numbers of an earlier
// run of the agent are not mistaken for those of this run.
func (d *Dispatcher) initKeys() error {
	var random [32 + 8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	d.lastNumber.Store(binary.BigEndian.Uint64(random[32:]))
	if d.keys != nil {
		return nil
	}
	keys, err := ticket.NewKeys(1, ticket.Key{Number: 1, Ticket: random[:32]})
	d.keys = keys
	return err
}

// initTransport creates the transport to the upstream if none was given. The
// transport uses each connection for one request only. On a reused connection, a
// late duplicate of an answer from the upstream would be taken for the answer to
// the next request, and a request could fail because the upstream is just closing
// the connection.
func (d *Dispatcher) initTransport() {
	if d.transport == nil {
		d.transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
}

// ServeHTTP serves a caller's request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.inFlight.tryAdd() {
		writeProblem(w, notRunProblem(ReasonStopping, "the agent is stopping", d.retryAfter()))
		return
	}
	defer d.inFlight.done()
	stripReserved(r.Header)
	x, err := d.newExchange(w, r)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Detail: err.Error(), Outcome: OutcomeNotRun, Reason: ReasonMalformed})
		return
	}
	defer x.end()
	x.serve()
}

// Load returns how loaded the upstream is, from 0 (idle) to 7 (refusing).
func (d *Dispatcher) Load() int { return int(d.admission.load.Load()) }

// StartDrain starts draining: from now on requests are handed over to other agents, or
// refused if none takes them, except requests under a ticket of this agent, which
// may run nowhere else. Call it as soon as the agent is to stop, while flows are
// still open.
func (d *Dispatcher) StartDrain() {
	d.draining.Store(true)
	d.admission.send(drain{})
}

// Drain calls StartDrain, waits until the grace period of the last issued ticket is
// over, and then until no request is in progress. If ctx ends before, Drain returns
// the error of ctx. The Dispatcher answers requests until Close, also after Drain.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.StartDrain()
	issued := time.Unix(0, d.lastIssuedNano.Load())
	grace := time.NewTimer(time.Until(issued.Add(_ticketGracePeriod)))
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "drain dispatcher")
	}
	select {
	case <-d.inFlight.idle():
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "drain dispatcher")
	}
}

// Close refuses new requests, cancels those in progress and waits until they have
// returned. The outcome of a cancelled request that had started is unknown; call
// Drain first to let requests finish.
func (d *Dispatcher) Close() error {
	d.inFlight.close()
	d.cancelBase()
	<-d.inFlight.idle()
	errs := []error{d.admission.close(), d.tickets.close(), d.transfers.close(), d.telemetry.close()}
	if t, ok := d.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	return trace.NewAggregate(errs...)
}

// retryAfter returns the jittered delay after which a refused caller should retry.
func (d *Dispatcher) retryAfter() time.Duration {
	return queue.RetryAfter(0, d.random())
}
