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
	// _askAttempts is how often a peer is asked what became of a request.
	_outcomeQueryAttempts = 3
	// _askPause is the pause between two attempts.
	_outcomeQueryPause = 50 * time.Millisecond
)

// _loadNews is how long the load that a peer gave with an answer counts for
// more than what its heartbeats said.
const _answeredLoadLifetime = time.Second

// peerLoads remembers the loads that peers gave with their answers.
type peerLoads struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]peerLoad
}

type peerLoad struct {
	load       int
	recordedAt time.Time
}

// learn takes the load of a peer from its answer.
func (l *peerLoads) recordAnswer(agent netip.AddrPort, header http.Header) {
	load, err := strconv.Atoi(header.Get(_headerLoad))
	if err == nil && load >= 0 && load <= queue.MaxLoad {
		l.record(agent, load)
	}
}

// note remembers the load of a peer; one that does not answer counts as full.
func (l *peerLoads) record(agent netip.AddrPort, load int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[agent] = peerLoad{load: load, recordedAt: time.Now()}
}

// loads returns the last known loads of the peers, and forgets other agents.
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

// choosePeer returns a peer with a load lower than below to hand the request
// to, which has not had it before, and counts that against the budget.
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
	if !ok || !d.admission.withdraw(_budgetHandOver) {
		return Peer{}, false
	}
	return peers[i], true
}

// anyPeer returns a peer that does not refuse.
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

// handOver passes the request to a peer and relays its answer. It returns
// false if the request certainly did not run there and never will; then
// nothing was answered yet. The peer is asked when its answer is lost; without
// an answer the outcome is unknown.
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
		// Another copy may have reached the issuer, which alone can say more.
		x.answerUnknown("issuer_gone", unknownProblem(http.StatusConflict, "the agent that issued the ticket cannot be reached"))
	}
}

// sendToPeer sends the request to the peer's PeerHandler with the given header
// fields added, and relays the answer. It returns false if the request did not
// run there.
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

// endpoint returns the URL of a peer's PeerHandler.
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

// relayPeer relays a peer's answer, unless it says that a request handed over
// did not run. That it wants a ticket is for the caller to know.
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

// askPeer asks a peer what became of a request whose answer was lost, and
// answers with that. It returns false if the request did not run and never will.
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

// PeerHandler answers the other agents of the service. It is to be mounted on
// a listener with mutual TLS, at the root.
func (d *Dispatcher) PeerHandler() http.Handler {
	return http.HandlerFunc(d.servePeer)
}

// servePeer answers a request that another agent passed on.
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

// untaken answers a request that this run of the agent does not take. A
// hand-over is sent once, so that it has not run; nothing is known here of what
// is asked about, or of other copies under a ticket.
func (d *Dispatcher) declinedProblem(r *http.Request, detail string) Problem {
	handedOver := r.Header.Get(_headerTransfer) != "" && r.Header.Get(_headerAsk) == ""
	if !handedOver {
		return unknownProblem(http.StatusConflict, detail)
	}
	return notRunProblem(ReasonStopping, detail, d.retryAfter())
}

// servePassedOn answers a request that was passed on to this run of the agent.
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
		x.answerVerdict(reply.verdict, reply.outcome)
		return
	}
	x.takeOver(key)
}

// tellTicket answers what became of the request under a ticket, which does not
// run any more if it has not begun.
func (x *exchange) answerTicketQuery() {
	t, err := x.d.keys.Open(x.r.Header.Get(HeaderIdempotencyKey))
	if err != nil || t.Agent != x.d.self.Address || t.Incarnation != x.d.self.Incarnation {
		x.answerUnknown("unverified", unknownProblem(http.StatusConflict, "the ticket was not issued here"))
		return
	}
	x.renewTicket = true
	reply := x.d.tickets.void(t.Number)
	x.answerVerdict(reply.verdict, reply.outcome)
}

// takeOver serves a request that was handed over.
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
		x.answerVerdict(reply.verdict, reply.outcome)
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
