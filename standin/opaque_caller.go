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
	// CallAnswered means that the whole answer has arrived.
	CallAnswered
	// CallReset means that a reset ended the call.
	CallReset
	// CallTimedOut means that the call was not opened or not answered in time.
	CallTimedOut
)

// OpaqueCall is a caller's opaque flow with one request. It is a state machine whose
// owner passes in the current time. It is not safe for concurrent use.
type OpaqueCall struct {
	Key flow.Key
	// Request is the text of the request. It must be unique among all calls.
	Request string
	// Timeout is how long the caller waits for the answer, from the start of the call.
	Timeout time.Duration
	// Pause is how long the caller waits after the flow has opened until it sends the request.
	Pause time.Duration
	// Send sends a packet to a router.
	Send func(packet []byte)

	State CallState
	// Began, Opened and Ended are the times at which the call started, became CallOpen,
	// and ended.
	Began, Opened, Ended time.Duration
	// Upstream is the name of the upstream that answered.
	Upstream string
	// Failed reports whether the answer was an error.
	Failed bool
	// Corrupted reports whether a packet other than a reset arrived with a wrong checksum,
	// or the answer belongs to another request.
	Corrupted bool

	seq, ack       uint32
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

// Done reports whether the call has ended.
func (c *OpaqueCall) Done() bool { return c.State >= CallAnswered }

// HandlePacket handles a packet that arrives at the caller.
func (c *OpaqueCall) HandlePacket(now time.Duration, packet []byte) {
	p, genuine := DecodeOpaque(packet)
	if c.Done() {
		if c.State == CallAnswered && genuine && p.Size > 0 {
			c.send(flow.ACK|flow.FIN, c.endSeq, nil)
		}
		return
	}
	switch {
	case p.Flags.Has(flow.RST):
		const window = 76_800 // bytes
		if c.State == CallOpen && p.Seq-c.ack > window && c.ack-p.Seq > window {
			return // The reset's sequence number is outside of the receive window.
		}
		c.State, c.Ended = CallReset, now
	case !genuine:
		c.Corrupted = true
	case p.Flags.Has(flow.SYN | flow.ACK):
		c.handleConsent(now, p)
	case len(p.Data) > 0:
		c.handleData(now, p)
	}
}

// Tick sends the retransmissions that are due, and ends the call if it has timed out.
func (c *OpaqueCall) Tick(now time.Duration) {
	switch {
	case c.Done() || now < c.nextSend && now-c.Began < c.Timeout:
	case now-c.Began >= c.Timeout, c.State == CallOpening && now-c.Began >= _openingTimeout:
		c.State, c.Ended = CallTimedOut, now
	case c.State == CallOpening:
		c.openingRetries++
		c.sendOpening()
		c.nextSend = c.Began + _secondOpeningRetry
		if c.openingRetries == 2 {
			c.nextSend = c.Began + _openingTimeout
		}
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
	c.ack = p.Seq + 1
	c.retryDelay, c.nextSend = _firstRetryDelay, now+_firstRetryDelay
	c.send(flow.ACK, c.ack, nil)
	if c.Pause > 0 {
		c.nextSend = now + c.Pause
		return
	}
	c.sendRequest()
}

func (c *OpaqueCall) handleData(now time.Duration, p OpaquePacket) {
	c.segments[p.Seq] = append([]byte(nil), p.Data...)
	if p.Flags.Has(flow.FIN) {
		c.endSeq = p.Seq + uint32(len(p.Data)) + 1
	}
	if c.endSeq == 0 {
		return
	}
	var answer []byte
	for seq := c.ack; seq != c.endSeq-1; {
		segment, ok := c.segments[seq]
		if !ok {
			return
		}
		answer = append(answer, segment...)
		seq += uint32(len(segment))
	}
	c.State, c.Ended = CallAnswered, now
	c.Upstream, _, _ = strings.Cut(string(answer), " ")
	c.Failed = strings.HasSuffix(string(answer), _errorSuffix)
	c.Corrupted = c.Corrupted || !strings.HasPrefix(string(answer), c.Upstream+" "+c.Request+" ")
	c.send(flow.ACK|flow.FIN, c.endSeq, nil)
}

func (c *OpaqueCall) sendOpening() {
	c.Send(OpaquePacket{Packet: flow.Packet{
		Source: c.Key.Caller, Destination: c.Key.Address, Flags: flow.SYN, Seq: c.seq, Ack: c.openingRetries,
	}}.Encode())
}

func (c *OpaqueCall) sendRequest() { c.send(flow.ACK, c.ack, []byte(c.Request)) }

func (c *OpaqueCall) send(flags flow.Flags, ack uint32, data []byte) {
	seq := c.seq + 1
	if len(data) == 0 && flags.Has(flow.FIN) {
		seq += uint32(len(c.Request))
	}
	c.Send(OpaquePacket{Packet: flow.Packet{
		Source: c.Key.Caller, Destination: c.Key.Address, Flags: flags, Seq: seq, Ack: ack,
	}, Data: data}.Encode())
}
