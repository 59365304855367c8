package standin

import (
	"strings"
	"time"

	"dandelionhitch.example/flow"
)

// Waits of a stand-in caller.
const (
	_openingCopy1 = 200 * time.Millisecond
	_openingCopy2 = 600 * time.Millisecond
	_openingLimit = 1400 * time.Millisecond
)

// CallState says how far a call is.
type CallState int

// States of a call.
const (
	// CallOpening waits for an upstream's consent.
	CallOpening CallState = iota
	// CallOpen waits for the answer.
	CallOpen
	// CallAnswered got the whole answer.
	CallAnswered
	// CallReset was ended by a reset.
	CallReset
	// CallTimedOut was not opened, or not answered, in time.
	CallTimedOut
)

// OpaqueCall is a stand-in caller's flow with one request: a state machine in a
// time of its owner's. It is not safe for concurrent use.
type OpaqueCall struct {
	Key flow.Key
	// Request is the request's text. It must be unique.
	Request string
	// Timeout is how long the caller waits in all.
	Timeout time.Duration
	// Send takes what the caller sends to a router.
	Send func(packet []byte)

	State CallState
	// Began, Opened and Ended are when the state changed.
	Began, Opened, Ended time.Duration
	// By is the name of the upstream that answered, and Reply its answer.
	By string
	// Failed says that the answer was an error.
	Failed bool
	// Forged says that a packet came whose sum is wrong and that is no reset.
	Forged bool

	seq, ack uint32
	copies   uint32
	parts    map[uint32][]byte
	end      uint32
	nextSend time.Duration
	wait     time.Duration
}

// Start sends the opening packet.
func (c *OpaqueCall) Start(now time.Duration, seq uint32) {
	c.Began, c.seq, c.parts = now, seq, make(map[uint32][]byte)
	c.sendOpening()
	c.nextSend = now + _openingCopy1
}

// Done reports whether the call has ended.
func (c *OpaqueCall) Done() bool { return c.State >= CallAnswered }

// Packet takes a packet for the caller.
func (c *OpaqueCall) Packet(now time.Duration, packet []byte) {
	p, genuine := DecodeOpaque(packet)
	if c.Done() {
		if c.State == CallAnswered && genuine && p.Size > 0 {
			c.send(flow.ACK|flow.FIN, c.end, nil)
		}
		return
	}
	switch {
	case p.Flags.Has(flow.RST):
		const window = 76_800
		if c.State == CallOpen && p.Seq-c.ack > window && c.ack-p.Seq > window {
			return // outside of the window
		}
		c.State, c.Ended = CallReset, now
	case !genuine:
		c.Forged = true
	case p.Flags.Has(flow.SYN | flow.ACK):
		c.consent(now, p)
	case len(p.Data) > 0:
		c.data(now, p)
	}
}

// Tick does what is due.
func (c *OpaqueCall) Tick(now time.Duration) {
	switch {
	case c.Done() || now < c.nextSend && now-c.Began < c.Timeout:
	case now-c.Began >= c.Timeout, c.State == CallOpening && now-c.Began >= _openingLimit:
		c.State, c.Ended = CallTimedOut, now
	case c.State == CallOpening:
		c.copies++
		c.sendOpening()
		c.nextSend = c.Began + _openingCopy2
		if c.copies == 2 {
			c.nextSend = c.Began + _openingLimit
		}
	default:
		c.wait = min(2*c.wait, _lastRetry)
		c.nextSend = now + c.wait
		c.sendRequest()
	}
}

func (c *OpaqueCall) consent(now time.Duration, p OpaquePacket) {
	if c.State != CallOpening {
		return // of another upstream that got a copy
	}
	c.State, c.Opened = CallOpen, now
	c.ack = p.Seq + 1
	c.wait, c.nextSend = _firstRetry, now+_firstRetry
	c.send(flow.ACK, c.ack, nil)
	c.sendRequest()
}

func (c *OpaqueCall) data(now time.Duration, p OpaquePacket) {
	c.parts[p.Seq] = append([]byte(nil), p.Data...)
	if p.Flags.Has(flow.FIN) {
		c.end = p.Seq + uint32(len(p.Data)) + 1
	}
	if c.end == 0 {
		return
	}
	var whole []byte
	for at := c.ack; at != c.end-1; {
		part, ok := c.parts[at]
		if !ok {
			return
		}
		whole = append(whole, part...)
		at += uint32(len(part))
	}
	c.State, c.Ended = CallAnswered, now
	c.By, _, _ = strings.Cut(string(whole), " ")
	c.Failed = strings.HasSuffix(string(whole), _errorMark)
	c.Forged = c.Forged || !strings.HasPrefix(string(whole), c.By+" "+c.Request+" ")
	c.send(flow.ACK|flow.FIN, c.end, nil)
}

func (c *OpaqueCall) sendOpening() {
	c.Send(OpaquePacket{Packet: flow.Packet{
		Source: c.Key.Caller, Destination: c.Key.Address, Flags: flow.SYN, Seq: c.seq, Ack: c.copies,
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
