package standin

import (
	"strings"
	"time"

	"dandelionhitch.example/flow"
)

// Times, counted from the start of a call, at which the caller sends the opening packet
// again and at which it gives up opening the flow.
const (
	_firstOpeningRetry  = 200 * time.Millisecond
	_secondOpeningRetry = 600 * time.Millisecond
	_openingTimeout     = 1400 * time.Millisecond
)

// CallState is the state of an OpaqueCall.
type CallState int

// States of a call.
const (
	// CallOpening means that the caller waits for an upstream's consent (SYN with ACK).
	CallOpening CallState = iota
	// CallOpen means that the caller waits for the answer.
	CallOpen
	// CallIdle means that the last request on a long-lived flow was answered.
	CallIdle
	// CallAnswered means that the whole answer has arrived.
	CallAnswered
	// CallReset means that a reset ended the call.
	CallReset
	// CallTimedOut means that the call was not opened or not answered in time.
	CallTimedOut
)

// OpaqueCall is a caller's opaque flow with one request or, if it is long-lived, several
// requests one after the other. It is a state machine whose owner passes in the current time.
// It is not safe for concurrent use.
type OpaqueCall struct {
	Key flow.Key
	// Request is the text of the request. It must be unique among all requests.
	Request string
	// Size is the number of bytes of a request that follow its text.
	Size int
	// LongLived keeps the flow open after an answer. Such a caller doesn't repeat a request that
	// the upstream has acknowledged.
	LongLived bool
	// Timeout is how long the caller waits for the answer, from the start of the request.
	Timeout time.Duration
	// Pause is how long the caller waits after the flow has opened until it sends the request.
	Pause time.Duration
	// Send sends a packet to a router.
	Send func(packet []byte)
	// OnEnd, if not nil, is called when a request was answered, and when the call ends otherwise.
	OnEnd func(now time.Duration)

	State CallState
	// Began and Ended are the times at which the last request started and ended; the first one
	// starts with the flow. Opened is when the call became CallOpen for the first time.
	Began, Opened, Ended time.Duration
	// Upstream is the name of the upstream that answered the last request.
	Upstream string
	// Failed reports whether that answer was an error.
	Failed bool
	// Corrupted reports whether a packet other than a reset arrived with a wrong checksum,
	// or the answer belongs to another request.
	Corrupted bool

	// seq is the sequence number of the opening packet, and requestSeq that of the last request.
	seq, requestSeq, ack uint32
	// data is the last request as it is sent, and acknowledged is set once the upstream has it.
	data           []byte
	acknowledged   bool
	openingRetries uint32
	segments       map[uint32][]byte
	endSeq         uint32
	nextSend       time.Duration
	retryDelay     time.Duration
}

// Start sends the opening packet.
func (c *OpaqueCall) Start(now time.Duration, seq uint32) {
	c.Began, c.seq, c.segments = now, seq, make(map[uint32][]byte)
	c.sendOpening()
	c.nextSend = now + _firstOpeningRetry
}

// Next sends the next request on an idle flow.
func (c *OpaqueCall) Next(now time.Duration, request string) {
	c.requestSeq += uint32(len(c.data))
	c.Request, c.State, c.Began = request, CallOpen, now
	c.begin(now)
}

// Close ends an idle flow.
func (c *OpaqueCall) Close() {
	c.State = CallAnswered
	c.send(flow.ACK|flow.FIN, c.ack)
}

// Done reports whether the call has ended.
func (c *OpaqueCall) Done() bool { return c.State >= CallAnswered }

// end ends the last request, and the call unless it is idle afterwards.
func (c *OpaqueCall) end(now time.Duration, state CallState) {
	c.State, c.Ended = state, now
	if c.OnEnd != nil {
		c.OnEnd(now)
	}
}

// HandlePacket handles a packet that arrives at the caller.
func (c *OpaqueCall) HandlePacket(now time.Duration, packet []byte) {
	p, genuine := DecodeOpaque(packet)
	if c.Done() {
		if c.State == CallAnswered && genuine && p.Size > 0 {
			ack := c.endSeq
			if c.LongLived {
				ack = c.ack
			}
			c.send(flow.ACK|flow.FIN, ack)
		}
		return
	}
	switch {
	case p.Flags.Has(flow.RST):
		const window = 76_800 // bytes
		if c.State != CallOpening && p.Seq-c.ack > window && c.ack-p.Seq > window {
			return // The reset's sequence number is outside of the receive window.
		}
		c.end(now, CallReset)
	case !genuine:
		c.Corrupted = true
	case p.Flags.Has(flow.SYN | flow.ACK):
		c.handleConsent(now, p)
	case len(p.Data) > 0:
		c.handleData(now, p)
	case c.LongLived && p.Ack == c.requestSeq+uint32(len(c.data)):
		c.acknowledged = true
	}
}

// Tick sends the retransmissions that are due, and ends the call if it has timed out.
func (c *OpaqueCall) Tick(now time.Duration) {
	switch {
	case c.State >= CallIdle || now < c.nextSend && now-c.Began < c.Timeout:
	case now-c.Began >= c.Timeout, c.State == CallOpening && now-c.Began >= _openingTimeout:
		if c.LongLived && c.State == CallOpen {
			c.send(flow.RST|flow.ACK, c.ack)
		}
		c.end(now, CallTimedOut)
	case c.State == CallOpening:
		c.openingRetries++
		c.sendOpening()
		c.nextSend = c.Began + _secondOpeningRetry
		if c.openingRetries == 2 {
			c.nextSend = c.Began + _openingTimeout
		}
	case c.acknowledged:
	default:
		c.retryDelay = min(2*c.retryDelay, _maxRetryDelay)
		c.nextSend = now + c.retryDelay
		c.sendRequest()
	}
}

func (c *OpaqueCall) handleConsent(now time.Duration, p OpaquePacket) {
	if c.State != CallOpening {
		return // The consent comes from a second upstream, which got a copy of the opening packet.
	}
	c.State, c.Opened = CallOpen, now
	c.ack, c.requestSeq = p.Seq+1, c.seq+1
	c.send(flow.ACK, c.ack)
	c.begin(now)
}

// begin sends the request, after the pause if there is one.
func (c *OpaqueCall) begin(now time.Duration) {
	c.data, c.acknowledged = encodeRequest(c.Request, c.Size, c.LongLived), false
	c.retryDelay, c.nextSend = _firstRetryDelay, now+_firstRetryDelay
	if c.Pause > 0 {
		c.nextSend = now + c.Pause
		return
	}
	c.sendRequest()
}

func (c *OpaqueCall) handleData(now time.Duration, p OpaquePacket) {
	if c.LongLived && int32(p.Seq-c.ack) < 0 {
		c.send(flow.ACK, c.ack) // a copy of an earlier answer
		return
	}
	c.segments[p.Seq] = append([]byte(nil), p.Data...)
	if p.Flags.Has(flow.FIN) {
		c.endSeq = p.Seq + uint32(len(p.Data)) + 1
	} else if c.LongLived && p.Data[len(p.Data)-1] == _answerEnd {
		c.endSeq = p.Seq + uint32(len(p.Data))
	}
	if c.endSeq == 0 {
		return
	}
	var answer []byte
	seq := c.ack
	for int32(c.endSeq-seq) > 1 || c.LongLived && seq != c.endSeq {
		segment, ok := c.segments[seq]
		if !ok {
			return
		}
		answer = append(answer, segment...)
		seq += uint32(len(segment))
	}
	c.Upstream, _, _ = strings.Cut(string(answer), " ")
	c.Failed = strings.HasSuffix(strings.TrimSuffix(string(answer), string(_answerEnd)), _errorSuffix)
	c.Corrupted = c.Corrupted || !strings.HasPrefix(string(answer), c.Upstream+" "+c.Request+" ")
	if c.LongLived {
		c.ack, c.endSeq, c.segments = c.endSeq, 0, make(map[uint32][]byte)
		c.send(flow.ACK, c.ack)
		c.end(now, CallIdle)
		return
	}
	c.send(flow.ACK|flow.FIN, c.endSeq)
	c.end(now, CallAnswered)
}

func (c *OpaqueCall) sendOpening() {
	c.Send(OpaquePacket{Packet: flow.Packet{
		Source: c.Key.Caller, Destination: c.Key.Address, Flags: flow.SYN, Seq: c.seq, Ack: c.openingRetries,
	}}.Encode())
}

func (c *OpaqueCall) sendRequest() {
	for sent := 0; sent < len(c.data); sent += _maxSegment {
		c.sendAt(c.requestSeq+uint32(sent), flow.ACK, c.ack, c.data[sent:min(sent+_maxSegment, len(c.data))])
	}
}

// send sends a packet that carries no data and follows the last request, or the opening packet.
func (c *OpaqueCall) send(flags flow.Flags, ack uint32) {
	c.sendAt(c.requestSeq+uint32(len(c.data)), flags, ack, nil)
}

func (c *OpaqueCall) sendAt(seq uint32, flags flow.Flags, ack uint32, data []byte) {
	c.Send(OpaquePacket{Packet: flow.Packet{
		Source: c.Key.Caller, Destination: c.Key.Address, Flags: flags, Seq: seq, Ack: ack,
	}, Data: data}.Encode())
}
