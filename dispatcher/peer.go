package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/ticket"
)

const (
	// _outcomeQueryAttempts is how often a peer is queried for the outcome of a
	// request whose answer was lost.
	_outcomeQueryAttempts = 3
	// _outcomeQueryPause is the pause between two such queries.
	_outcomeQueryPause = 50 * time.Millisecond
)

// _answeredLoadLifetime is how long the load that a peer reported with an answer takes
// precedence over the load from its heartbeats.
const _answeredLoadLifetime = time.Second

// peerLoads caches the loads that peers reported with their answers.
type peerLoads struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]peerLoad
}

// peerLoad is the load of one peer, from 0 to queue.MaxLoad.
type peerLoad struct {
	load       int
	recordedAt time.Time
}

// recordAnswer records the load in the header of a peer's answer, if it is valid.
func (l *peerLoads) recordAnswer(agent netip.AddrPort, header http.Header) {
	load, err := strconv.Atoi(header.Get(_headerLoad))
	if err == nil && load >= 0 && load <= queue.MaxLoad {
		l.record(agent, load)
	}
}

// record records the load of a peer now. A peer that does not answer is recorded with
// queue.MaxLoad.
func (l *peerLoads) record(agent netip.AddrPort, load int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[agent] = peerLoad{load: load, recordedAt: time.Now()}
}

// current returns the last known load of each of the peers. It removes the cache
// entries that are stale or belong to other agents.
func (l *peerLoads) current(peers []Peer) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := make([]int, len(peers))
	recent := make(map[netip.AddrPort]peerLoad, len(l.byAddress))
	for i, peer := range peers {
		loads[i] = peer.Load
		if recorded, ok := l.byAddress[peer.Address]; ok && time.Since(recorded.recordedAt) < _answeredLoadLifetime {
			loads[i] = recorded.load
			recent[peer.Address] = recorded
		}
	}
	l.byAddress = recent
	return loads
}

// choosePeer returns a peer to which to hand the request over. The peer's load is less
// than the parameter below, and the request has not been handed over to that peer yet.
// choosePeer returns false if there is no such peer or the request may not be handed
// over. It takes nothing from a budget.
func (x *exchange) choosePeer(below int) (Peer, bool) {
	d := x.d
	if d.peers == nil || x.fromPeer || x.ticket != 0 || len(x.triedPeers) >= queue.MaxHandOvers {
		return Peer{}, false
	}
	candidates := d.peers.Peers()
	var peers []Peer
	var loads []int
	for i, load := range d.loads.current(candidates) {
		if !slices.Contains(x.triedPeers, candidates[i].Address) {
			peers, loads = append(peers, candidates[i]), append(loads, load)
		}
	}
	i, ok := queue.Choose(loads, below, d.random(), d.random())
	if !ok {
		return Peer{}, false
	}
	return peers[i], true
}

// anyPeer returns a peer with a load lower than queue.MaxLoad, or false if there is
// none. It takes nothing from a budget.
func (d *Dispatcher) anyPeer() (Peer, bool) {
	if d.peers == nil {
		return Peer{}, false
	}
	peers := d.peers.Peers()
	i, ok := queue.Choose(d.loads.current(peers), queue.MaxLoad, d.random(), d.random())
	if !ok {
		return Peer{}, false
	}
	return peers[i], true
}

// handOver sends the request to a peer and relays its answer. It returns false, with
// the caller not answered yet, if the request certainly did not run at the peer and
// never will. If the peer's answer is lost, handOver queries the peer for the outcome,
// and answers that the outcome is unknown if the queries fail too.
func (x *exchange) handOver(peer Peer, maxWait time.Duration) bool {
	x.triedPeers = append(x.triedPeers, peer.Address)
	x.d.telemetry.countAnswer("handed_over")
	key := transferKey{
		Agent:       x.d.self.Address,
		Incarnation: x.d.self.Incarnation,
		Number:      ticket.Number(x.d.lastNumber.Add(1)),
	}
	to := addressee(x.d.self.Service, peer.Incarnation)
	header := http.Header{_headerTransfer: {key.String()}, _headerTo: {to}}
	if maxWait > 0 {
		header.Set(_headerMaxWait, strconv.FormatInt(maxWait.Microseconds(), 10))
	}
	return x.sendToPeer(peer.Address, header)
}

// forwardTicket passes the request to the agent that issued its ticket.
func (x *exchange) forwardTicket(t ticket.Ticket) {
	header := http.Header{
		HeaderIdempotencyKey: x.r.Header.Values(HeaderIdempotencyKey),
		_headerTo:            {addressee(t.Service, t.Incarnation)},
	}
	x.renewTicket = false
	if !x.sendToPeer(t.Agent, header) {
		// Another copy of the request may have reached the issuer, and only the
		// issuer knows its outcome.
		x.answerUnknown("issuer_gone", unknownProblem(http.StatusConflict, "the agent that issued the ticket cannot be reached"))
	}
}

// sendToPeer sends the request to the agent's PeerHandler with the given header fields
// added, and relays the answer. It returns false, with the caller not answered yet, if
// the request did not reach the agent, or was handed over and did not run there.
func (x *exchange) sendToPeer(agent netip.AddrPort, header http.Header) bool {
	endpoint, ok := x.endpoint(agent)
	if !ok {
		return false
	}
	ctx := x.newAttemptContext()
	defer ctx.end()
	request := x.outgoingRequest(ctx, endpoint, x.body)
	setDeadline(request.Header, time.Until(x.deadline))
	if !x.boundsTransfer {
		request.Header.Set(_headerBegin, "1")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := x.d.peerTransport.RoundTrip(request)
	if err != nil {
		if x.ctx.Err() == nil {
			x.d.loads.record(agent, queue.MaxLoad)
		}
		err = classifySendError(ctx, err)
		var notSent *notSentError
		if errors.As(err, &notSent) {
			return false
		}
		return x.queryOutcome(ctx, endpoint, header)
	}
	defer response.Body.Close()
	ctx.answerStarted(x)
	x.d.loads.recordAnswer(agent, response.Header)
	return x.relayPeerAnswer(response, header)
}

// endpoint returns the URL of an agent's PeerHandler, or false if it is not known.
func (x *exchange) endpoint(agent netip.AddrPort) (*url.URL, bool) {
	if x.d.peers == nil || x.d.peerTransport == nil {
		return nil, false
	}
	addr, ok := x.d.peers.Endpoint(agent)
	if !ok {
		return nil, false
	}
	return &url.URL{Scheme: "https", Host: addr.String()}, true
}

// relayPeerAnswer relays a peer's answer to the caller. It returns false instead if the
// request was handed over and the answer says that it did not run. An answer that
// demands a ticket is relayed nevertheless, because it carries the ticket for the
// caller.
func (x *exchange) relayPeerAnswer(response *http.Response, header http.Header) bool {
	outcome := response.Header.Get(HeaderOutcome)
	handedOver := header.Get(_headerTransfer) != ""
	requiresTicket := response.StatusCode == http.StatusPreconditionRequired && !x.mayHaveRun
	if handedOver && outcome == OutcomeNotRun && !requiresTicket {
		return false
	}
	response.Header.Del(_headerLoad)
	x.relay(response, nil)
	return true
}

// queryOutcome queries a peer for the outcome of a request whose answer was lost, and
// answers the caller with the outcome. It returns false, with the caller not answered
// yet, if the request was handed over, did not run at the peer and never will.
func (x *exchange) queryOutcome(ctx context.Context, endpoint *url.URL, header http.Header) bool {
	for range _outcomeQueryAttempts {
		request := (&http.Request{
			Method: http.MethodPost,
			URL:    endpoint.JoinPath(x.r.URL.Path),
			Header: header.Clone(),
		}).WithContext(ctx)
		request.Header.Set(_headerAsk, "outcome")
		setDeadline(request.Header, time.Until(x.deadline))
		response, err := x.d.peerTransport.RoundTrip(request)
		if err == nil {
			defer response.Body.Close()
			return x.relayPeerAnswer(response, header)
		}
		select {
		case <-ctx.Done():
		case <-time.After(_outcomeQueryPause):
			continue
		}
		break
	}
	x.answerUnknown("peer_lost", unknownProblem(http.StatusBadGateway, "the agent that the request was passed to does not answer"))
	return true
}

// PeerHandler returns the handler of requests from other agents of the service. Serve
// it at the root path, on a listener with mutual TLS.
func (d *Dispatcher) PeerHandler() http.Handler {
	return http.HandlerFunc(d.servePeer)
}

// servePeer answers a request or outcome query from another agent.
func (d *Dispatcher) servePeer(w http.ResponseWriter, r *http.Request) {
	if !d.inFlight.tryAdd() {
		writeProblem(w, d.declinedProblem(r, "the agent is stopping"))
		return
	}
	defer d.inFlight.done()
	x, err := d.newExchange(w, r)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Detail: err.Error(), Outcome: OutcomeUnknown})
		return
	}
	defer x.end()
	x.fromPeer = true
	w.Header().Set(_headerLoad, strconv.Itoa(d.Load()))
	if r.Header.Get(_headerTo) != addressee(d.self.Service, d.self.Incarnation) {
		d.telemetry.countAnswer("misdirected")
		writeProblem(w, d.declinedProblem(r, "the addressed agent has ended"))
		return
	}
	x.serveForwarded()
}

// declinedProblem returns the answer to a request from another agent that this run of
// the agent does not accept. A handover is sent only once, so its request has not run.
// For an outcome query, or a request under a ticket, of which other copies may exist,
// this run of the agent does not know the outcome.
func (d *Dispatcher) declinedProblem(r *http.Request, detail string) Problem {
	handedOver := r.Header.Get(_headerTransfer) != "" && r.Header.Get(_headerAsk) == ""
	if !handedOver {
		return unknownProblem(http.StatusConflict, detail)
	}
	return notRunProblem(ReasonStopping, detail, d.retryAfter())
}

// serveForwarded answers a request or outcome query that is addressed to this run of
// the agent. A message with a transfer key concerns a handover, any other a ticket.
func (x *exchange) serveForwarded() {
	isQuery := x.r.Header.Get(_headerAsk) != ""
	if x.r.Header.Get(_headerTransfer) == "" {
		if isQuery {
			x.answerTicketQuery()
			return
		}
		x.serveTicketed()
		return
	}
	var key transferKey
	if err := key.UnmarshalText([]byte(x.r.Header.Get(_headerTransfer))); err != nil {
		x.answerUnknown("malformed", unknownProblem(http.StatusBadRequest, err.Error()))
		return
	}
	if isQuery {
		reply := x.d.transfers.issueVoid(key)
		x.answerVerdict(reply.verdict, reply.outcomes)
		return
	}
	x.takeOver(key)
}

// answerTicketQuery answers a query for the outcome of the request under a ticket. If
// no request has claimed the ticket yet, none can run under it afterwards.
func (x *exchange) answerTicketQuery() {
	t, err := x.d.keys.Open(x.r.Header.Get(HeaderIdempotencyKey))
	if err != nil || t.Agent != x.d.self.Address || t.Incarnation != x.d.self.Incarnation {
		x.answerUnknown("unverified", unknownProblem(http.StatusConflict, "the ticket was not issued here"))
		return
	}
	x.renewTicket = true
	reply := x.d.tickets.void(t.Number)
	x.answerVerdict(reply.verdict, reply.outcomes)
}

// takeOver answers a request that another agent handed over under the given key, and
// records its outcome for queries of that agent.
func (x *exchange) takeOver(key transferKey) {
	var err error
	if x.maxWait, err = parseMaxWait(x.r.Header); err != nil {
		x.answerUnknown("malformed", unknownProblem(http.StatusBadRequest, err.Error()))
		return
	}
	reply := x.d.transfers.issueAndBegin(key)
	if _, ok := reply.verdict.(ticket.Run); !ok {
		if reply.err != nil {
			writeProblem(x.w, notRunProblem(ReasonCrowded, "no request can be taken over now", x.d.retryAfter()))
			return
		}
		x.answerVerdict(reply.verdict, reply.outcomes)
		return
	}
	settled := false
	x.settle = func(outcome ticket.Outcome) {
		if !settled {
			settled = true
			x.d.transfers.settle(key, outcome)
		}
	}
	defer func() { x.settle(ticket.Unknown{}) }()
	x.serve()
}
