package dispatcher

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
	"dandelionhitch.example/ticket"
)

// The header fields of requests and answers.
const (
	// HeaderDeadline is the time in milliseconds, from the sending of the request,
	// within which the answer is wanted; 1 or more. It is read from callers and
	// sent to the upstream and to other agents.
	HeaderDeadline = "Dandelionhitch-Deadline"
	// HeaderOutcome is the outcome of the request in an answer that the upstream
	// did not give: OutcomeNotRun, OutcomeUnknown or OutcomeDone.
	HeaderOutcome = "Dandelionhitch-Outcome"
	// HeaderReason is the reason for which a request was refused: the name of a
	// queue.Reason, or one of the reasons below.
	HeaderReason = "Dandelionhitch-Reason"
	// HeaderTicket is sent to the upstream with the number of the ticket under
	// which the request runs.
	HeaderTicket = "Dandelionhitch-Ticket"
	// HeaderIdempotencyKey carries a ticket, both in requests of callers and in
	// answers to them.
	HeaderIdempotencyKey = "Idempotency-Key"

	_headerPrefix = "Dandelionhitch-"
	// _headerTo is the addressee of a message between agents, as addressee encodes it.
	_headerTo = "Dandelionhitch-To"
	// _headerTransfer is the transferKey of a request that is handed over.
	_headerTransfer = "Dandelionhitch-Transfer"
	// _headerAsk marks a query for the outcome of a request that was sent before.
	_headerAsk = "Dandelionhitch-Ask"
	// _headerMaxWait is the longest expected wait, in microseconds, at which the
	// receiver of a handover may queue the request.
	_headerMaxWait = "Dandelionhitch-Max-Wait"
	// _headerBegin marks a request whose deadline applies only to the start of
	// the answer.
	_headerBegin = "Dandelionhitch-Begin"
	// _headerLoad is the load of the agent that answers another agent.
	_headerLoad = "Dandelionhitch-Load"
)

// The values of HeaderOutcome.
const (
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run. No agent repeats it.
	OutcomeUnknown = "unknown"
	// OutcomeDone means that the request ran, but its answer was too large to remember.
	OutcomeDone = "done"
)

// The values of HeaderReason besides the names of queue.Reason.
const (
	// ReasonStopping means that the agent is stopping or has ended.
	ReasonStopping = "stopping"
	// ReasonMalformed means that the request is malformed or its upload broke off.
	ReasonMalformed = "malformed"
	// ReasonCrowded means that the request can neither wait at this agent nor be
	// handed over.
	ReasonCrowded = "crowded"
	// ReasonCancelled means that the caller disconnected before the request started.
	ReasonCancelled = "cancelled"
	// ReasonUnreachable means that the upstream cannot be reached.
	ReasonUnreachable = "unreachable"
	// ReasonNoTicket means that the request needs a ticket.
	ReasonNoTicket = "no-ticket"
	// ReasonEarlier means that an earlier copy of the request was refused.
	ReasonEarlier = "earlier"
)

// _maxDeadline is the longest deadline and the longest wait that a header may give.
const _maxDeadline = 24 * time.Hour

// _hopByHopHeaders are the hop-by-hop header fields, which are not forwarded.
var _hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// parseDeadline returns the value of HeaderDeadline, or false if it is missing.
func parseDeadline(header http.Header) (time.Duration, bool, error) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > _maxDeadline.Milliseconds() {
		return 0, false, trace.BadParameter("%s %q: want milliseconds from 1 to %d", HeaderDeadline, text, _maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, true, nil
}

// parseMaxWait returns the longest wait that the header of a handed-over request
// allows, or zero if any wait is allowed.
func parseMaxWait(header http.Header) (time.Duration, error) {
	text := header.Get(_headerMaxWait)
	if text == "" {
		return 0, nil
	}
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us < 0 || us > _maxDeadline.Microseconds() {
		return 0, trace.BadParameter("%s %q: want microseconds from 0 to %d", _headerMaxWait, text, _maxDeadline.Microseconds())
	}
	return max(time.Microsecond, time.Duration(us)*time.Microsecond), nil
}

// setDeadline sets HeaderDeadline to the remaining time, rounded down to
// milliseconds but at least one.
func setDeadline(header http.Header, remaining time.Duration) {
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
}

// forwardedHeader returns a copy of header without the hop-by-hop fields.
func forwardedHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range _hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// stripInternal removes all header fields of the dispatcher's protocol.
func stripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, _headerPrefix) {
			delete(header, name)
		}
	}
}

// stripReserved removes the header fields that callers may not set: all fields of
// the dispatcher's protocol except HeaderDeadline.
func stripReserved(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, _headerPrefix) && name != HeaderDeadline {
			delete(header, name)
		}
	}
}

// transferKey identifies one handover: the run of the agent that hands the request
// over, and the number that this agent gave to the handover.
type transferKey struct {
	Agent       netip.AddrPort
	Incarnation service.Incarnation
	Number      ticket.Number
}

// String encodes the key as a value of _headerTransfer.
func (k transferKey) String() string {
	incarnation := strconv.FormatUint(uint64(k.Incarnation), 10)
	return k.Agent.String() + " " + incarnation + " " + strconv.FormatUint(uint64(k.Number), 10)
}

// UnmarshalText decodes a value of _headerTransfer. It returns a BadParameter error
// for a malformed value.
func (k *transferKey) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), " ")
	if len(parts) != 3 {
		return trace.BadParameter("%s %q: want an address, an incarnation and a number", _headerTransfer, text)
	}
	agent, err := netip.ParseAddrPort(parts[0])
	if err != nil {
		return trace.BadParameter("%s address %q: %v", _headerTransfer, parts[0], err)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return trace.BadParameter("%s incarnation %q: %v", _headerTransfer, parts[1], err)
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return trace.BadParameter("%s number %q: %v", _headerTransfer, parts[2], err)
	}
	*k = transferKey{Agent: agent, Incarnation: service.Incarnation(incarnation), Number: ticket.Number(number)}
	return nil
}

// addressee encodes the service and the incarnation of the agent that a message is
// for, as a value of _headerTo.
func addressee(id service.ID, incarnation service.Incarnation) string {
	return strconv.FormatUint(uint64(id), 10) + " " + strconv.FormatUint(uint64(incarnation), 10)
}
