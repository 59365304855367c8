package main

import (
	"fmt"
	"net/netip"
	"time"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// Opening of a flow and time budget of a request, from the pages.
const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
	budget      = 2500 * time.Millisecond
	resetWindow = 76_800
)

type callerState string

const (
	opening callerState = "opening"
	open    callerState = "open"
	failed  callerState = "failed"
	ended   callerState = "reset"
)

// caller is a consumer that keeps a flow open for many requests, with pauses between them.
type caller struct {
	w     *world
	key   flow.Key
	zone  string
	state callerState

	began       time.Duration
	copies      uint32
	seq, ack    uint32
	openingSeq  uint32
	nextRequest time.Duration
	pause       func() time.Duration

	count    int
	request  []byte
	id       string
	asked    time.Duration
	nextSend time.Duration
	delay    time.Duration
	answered int
	lastSent time.Duration
	// strays are when packets of the open flow reached other servers since the last one reached
	// its own.
	strays []time.Duration
}

// newCaller opens a flow.
func (w *world) newCaller(zone string, from, to netip.AddrPort, pause func() time.Duration) *caller {
	c := &caller{
		w: w, key: flow.Key{Caller: from, Address: to}, zone: zone, state: opening, began: w.now(),
		openingSeq: w.random.Uint32(), pause: pause,
	}
	c.seq = c.openingSeq + 1
	w.callers[c.key] = c
	c.sendOpening()
	return c
}

func (c *caller) send(flags flow.Flags, seq, ack uint32, data []byte) {
	c.lastSent = c.w.now()
	c.w.route(c.zone, c.key, standin.OpaquePacket{Packet: flow.Packet{
		Source: c.key.Caller, Destination: c.key.Address, Flags: flags, Seq: seq, Ack: ack,
	}, Data: data}.Encode())
}

func (c *caller) sendOpening() {
	c.send(flow.SYN, c.openingSeq, c.copies, nil)
	c.copies++
	c.nextSend = c.began + []time.Duration{firstCopy, secondCopy, openTimeout}[c.copies-1]
}

func (c *caller) tick(now time.Duration) {
	c.w.checkStrays(now, c)
	switch {
	case c.state == opening && now >= c.nextSend:
		if c.copies == 3 {
			c.fail("no upstream consented")
			return
		}
		c.sendOpening()
	case c.state == open && c.request == nil && now >= c.nextRequest:
		c.sendRequest(now)
	case c.state == open && c.request != nil && now-c.asked >= budget:
		c.fail("no answer to " + c.id)
	case c.state == open && c.request != nil && now >= c.nextSend:
		c.delay = min(2*c.delay, maxRetry)
		c.nextSend = now + c.delay
		c.send(flow.ACK, c.seq, c.ack, c.request)
	}
}

func (c *caller) sendRequest(now time.Duration) {
	c.count++
	c.id = fmt.Sprintf("%v-%d", c.key.Caller, c.count)
	c.request = []byte("GET /route-view HTTP/1.1\r\nHost: x\r\nRequest-Id: " + c.id + "\r\n\r\n")
	c.asked, c.delay, c.nextSend = now, firstRetry, now+firstRetry
	c.w.note("caller %v sends %s", c.key, c.id)
	c.send(flow.ACK, c.seq, c.ack, c.request)
}

func (c *caller) fail(why string) {
	c.w.note("caller %v gives up: %s", c.key, why)
	c.state, c.request = failed, nil
}

// handle handles a packet that arrives at the caller.
func (c *caller) handle(p standin.OpaquePacket, genuine bool, from netip.Addr) {
	switch {
	case c.state == failed || c.state == ended:
	case p.Flags.Has(flow.RST):
		c.handleReset(p, genuine, from)
	case !genuine:
		c.w.violation("MIXED: caller %v got a packet that its sender did not write so", c.key)
	case p.Flags.Has(flow.SYN | flow.ACK):
		if c.state == opening {
			c.state, c.ack = open, p.Seq+1
			c.nextRequest = c.w.now()
			c.send(flow.ACK, c.seq, c.ack, nil)
		}
	case len(p.Data) > 0 && p.Seq == c.ack && c.state == open:
		c.ack += uint32(len(p.Data))
		if c.request != nil {
			c.seq += uint32(len(c.request))
			c.w.note("caller %v has the answer to %s", c.key, c.id)
			c.request = nil
			c.answered++
			c.nextRequest = c.w.now() + c.pause()
		}
		c.send(flow.ACK, c.seq, c.ack, nil)
	case len(p.Data) > 0 && c.state == open: // a copy
		c.send(flow.ACK, c.seq, c.ack, nil)
	}
}

// handleReset judges a reset by the rule FLOW: on an open flow it must come from its server.
func (c *caller) handleReset(p standin.OpaquePacket, genuine bool, from netip.Addr) {
	w := c.w
	if c.state == opening {
		w.note("caller %v is reset before the flow is open", c.key)
		c.state = ended
		return
	}
	distance := int32(p.Seq - c.ack)
	valid := distance <= resetWindow && distance >= -resetWindow
	holder := w.holder(c.key)
	text := fmt.Sprintf("caller %v, open for %.1f s, gets a reset from %v (in the window: %v, written by a server: %v); waits for %q",
		c.key, (w.now() - c.began).Seconds(), w.machineName(from), valid, genuine, c.id)
	switch {
	case holder == nil || genuine && from == holder.addr:
		w.note("reset, allowed: %s", text)
	case !w.counted || w.now()-c.began > flowTTL:
		w.note("reset, not counted: %s, while %s holds the flow", text, holder.name)
	default:
		w.violation("FLOW: %s, while %s holds the flow", text, holder.name)
	}
	if valid {
		if c.request != nil {
			w.note("request %s is lost, it has run %d times", c.id, w.runs[c.id])
		}
		c.state, c.request = ended, nil
	}
}

func (w *world) machineName(addr netip.Addr) string {
	for _, m := range w.machines {
		if m.addr == addr {
			return m.name
		}
	}
	return addr.String()
}
