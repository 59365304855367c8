// Package dispatcher takes the requests that reach one upstream's agent and
// sees each to its one answer.
//
// The balancers choose an agent for a flow, not for a request, and know its
// load only as it was a second ago. The dispatcher decides where more is
// known: beside the upstream, for each request. It lets a request run when the
// upstream has a slot for it, hands it over to a less loaded agent before it
// has started, or refuses it at once and says when to come back. It says that
// a request was not run only when that is certain and final.
//
//	caller ──► ServeHTTP ──► admission (package queue) ──► upstream
//	               │  └───── registry (package ticket)
//	               └── hand-over, tickets of others ──► PeerHandler of another agent
//
// Requests on routes that the settings mark as non-repeatable run under a
// ticket: a request without one is answered with 428 and a new ticket in
// Idempotency-Key. A ticket that was answered with "not-run" is spent, and the
// answer carries the next one.
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

// _ticketGrace is how long a draining agent waits for a ticket that it has
// just issued to come back.
const _ticketGracePeriod = 2 * time.Second

// Dispatcher is the http.Handler in front of one upstream. It is safe for
// concurrent use.
type Dispatcher struct {
	options
	upstream  *url.URL
	policy    func() settings.Service
	telemetry telemetry
	admission *admission
	tickets   *registry[ticket.Number]
	transfers *registry[transferKey]
	inFlight  inProgress
	loads     peerLoads
	// ahead holds an element for each answer that is read ahead.
	readAheadSlots      chan struct{}
	draining   atomic.Bool
	lastIssuedNano  atomic.Int64
	lastNumber atomic.Uint64

	baseCtx context.Context
	cancelBase context.CancelFunc
}

// New returns a Dispatcher that forwards to upstream, such as
// http://127.0.0.1:8080, under the settings that policy returns. It is ready
// at once; Close ends it.
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
		return nil, trace.Wrap(err, "dispatcher ticket keys")
	}
	var err error
	if d.telemetry, err = newTelemetry(d.meter, d); err != nil {
		return nil, trace.Wrap(err, "dispatcher metrics")
	}
	if d.admission, err = newAdmission(policy, d.logger); err != nil {
		return nil, trace.Wrap(err, "dispatcher queue")
	}
	d.initTransport()
	d.tickets = newRegistry[ticket.Number](d.ticketBounds)
	d.transfers = newRegistry[transferKey](d.ticketBounds)
	d.baseCtx, d.cancelBase = context.WithCancel(context.Background())
	return d, nil
}

// setKeys makes keys if none were given, and begins the numbers of tickets and
// transfers at random, so that those of an earlier run are not mistaken for
// its own.
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

// setTransport makes the transport to the upstream if none was given. It uses each
// connection once: an upstream may send a second copy of an answer late, and the next
// request on the connection would get it. Nor does a request then meet a connection
// that the upstream is about to close.
func (d *Dispatcher) initTransport() {
	if d.transport == nil {
		d.transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
}

// ServeHTTP answers a caller's request.
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

// Leave hands requests to other agents from now on, except those that only
// this one may run. It is called as soon as the agent is to stop, while flows
// are still open.
func (d *Dispatcher) Leave() {
	d.draining.Store(true)
	d.admission.send(drain{})
}

// Drain leaves and waits until no request is in progress or ctx ends. The
// Dispatcher still answers afterwards, until Close.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.Leave()
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

// Close refuses new requests, ends those in progress and waits for them. What
// had started then has an unknown outcome; Drain first to cut nothing.
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

// retryAfter is when a caller that cannot be served here should come back.
func (d *Dispatcher) retryAfter() time.Duration {
	return queue.RetryAfter(0, d.random())
}
