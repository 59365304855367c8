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
	// HeaderDeadline is how many milliseconds the answer is worth waiting for,
	// counted from the sending of the request; 1 or more. It is read from
	// callers and passed on to the upstream and to other agents.
	HeaderDeadline = "Dandelionhitch-Deadline"
	// HeaderOutcome says in an answer what became of the request, where the
	// answer is not the upstream's own: OutcomeNotRun, OutcomeUnknown or OutcomeDone.
	HeaderOutcome = "Dandelionhitch-Outcome"
	// HeaderReason says in an answer why a request was refused: the name of a
	// queue.Reason, or one of the reasons below.
	HeaderReason = "Dandelionhitch-Reason"
	// HeaderTicket tells the upstream the number of the ticket that a request runs under.
	HeaderTicket = "Dandelionhitch-Ticket"
	// HeaderKey carries a ticket, from callers and to them.
	HeaderIdempotencyKey = "Idempotency-Key"

	_headerPrefix   = "Dandelionhitch-"
	_headerTo       = "Dandelionhitch-To"
	_headerTransfer = "Dandelionhitch-Transfer"
	_headerAsk      = "Dandelionhitch-Ask"
	// _headerMaxWait is the longest wait in microseconds for which an agent
	// takes a request over.
	_headerMaxWait = "Dandelionhitch-Max-Wait"
	// _headerBegin says that the deadline bounds only the beginning of the answer.
	_headerBegin = "Dandelionhitch-Begin"
	// _headerLoad is the load of the agent that answers another.
	_headerLoad = "Dandelionhitch-Load"
)

// The values of HeaderOutcome.
const (
	// OutcomeNotRun says that the request did not run and never will.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that the request may have run and is not repeated.
	OutcomeUnknown = "unknown"
	// OutcomeDone says that the request ran, but its answer was too large to remember.
	OutcomeDone = "done"
)

// The values of HeaderReason besides those of the queue.
const (
	// ReasonStopping says that the agent is stopping or has ended.
	ReasonStopping = "stopping"
	// ReasonMalformed says that the request, or its upload, is broken.
	ReasonMalformed = "malformed"
	// ReasonCrowded says that the request can neither wait here nor be handed over.
	ReasonCrowded = "crowded"
	// ReasonCancelled says that the caller went away before the request started.
	ReasonCancelled = "cancelled"
	// ReasonUnreachable says that the upstream cannot be reached.
	ReasonUnreachable = "unreachable"
	// ReasonNoTicket says that the request needs a ticket.
	ReasonNoTicket = "no-ticket"
	// ReasonEarlier says that an earlier copy of the request was refused.
	ReasonEarlier = "earlier"
)

// _maxDeadline bounds the deadline that a caller can ask for.
const _maxDeadline = 24 * time.Hour

// _hopHeaders are the header fields that concern one connection only.
var _hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// deadlineOf returns the time span that a request gives for its answer.
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

// maxWaitOf returns the longest wait that a request handed over allows, or
// zero for any.
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

// setDeadline tells the next receiver how much of the time span is left.
func setDeadline(header http.Header, remaining time.Duration) {
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
}

// passedOn returns a copy of the header fields that go on to the next receiver.
func forwardedHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range _hopHeaders {
		out.Del(name)
	}
	return out
}

// stripOwn removes the header fields that only agents may set.
func stripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, _headerPrefix) {
			delete(header, name)
		}
	}
}

// stripCaller removes the header fields that callers may not set.
func stripReserved(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, _headerPrefix) && name != HeaderDeadline {
			delete(header, name)
		}
	}
}

// transferKey names one hand-over: who hands over, and its number there.
type transferKey struct {
	Agent       netip.AddrPort
	Incarnation service.Incarnation
	Number      ticket.Number
}

// String encodes the key as a header value.
func (k transferKey) String() string {
	incarnation := strconv.FormatUint(uint64(k.Incarnation), 10)
	return k.Agent.String() + " " + incarnation + " " + strconv.FormatUint(uint64(k.Number), 10)
}

// UnmarshalText decodes and checks the key's header value.
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

// addressee encodes which run of which service's agent a message is for.
func addressee(id service.ID, incarnation service.Incarnation) string {
	return strconv.FormatUint(uint64(id), 10) + " " + strconv.FormatUint(uint64(incarnation), 10)
}
