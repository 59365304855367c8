package standin

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandelionhitch.example/flow"
)

// Limits and delays of an OpaqueUpstream. The retry delays also apply to an OpaqueCall.
const (
	// _maxSegment is the maximum number of data bytes in a packet.
	_maxSegment = 1200
	// _firstRetryDelay is how long after a transmission an unacknowledged packet is
	// sent again. The delay doubles with each retry, up to _maxRetryDelay.
	_firstRetryDelay = 200 * time.Millisecond
	_maxRetryDelay   = 1600 * time.Millisecond
	// _maxRetries is the maximum number of retransmissions of a consent or an answer.
	_maxRetries = 8
	// _errorDelay is how long a request that is answered with an error takes.
	_errorDelay = time.Millisecond
)

// _errorSuffix is the end of an answer that is an error.
const _errorSuffix = " error"

// OpaqueUpstream is a fake of a server of opaque flows. Each request of a flow waits in a
// queue for one of a few slots, runs there, and is answered. An OpaqueUpstream
// is a state machine whose owner passes in the current time. It is not safe for concurrent
// use.
type OpaqueUpstream struct {
	// Name is the first word of each answer, so that a caller knows which upstream answered.
	Name string
	// Slots is the maximum number of requests that run at the same time. While all slots
	// are in use, new flows are refused if Queue or more requests are waiting.
	Slots, Queue int
	// RefusesRequests makes the upstream accept all flows, and answer a request with an error
	// within _errorDelay if it arrives while all slots are in use and Queue requests are waiting.
	RefusesRequests bool
	// RunTime returns the run time of a request that starts to run.
	RunTime func(request string) time.Duration
	// Size is the number of bytes of an answer that follow the upstream's name and the
	// request's text.
	Size int
	// Send sends a packet to the sidecar on the same host.
	Send func(packet []byte)
	// OnRun is called for each request that starts to run.
	OnRun func(key flow.Key, request string)
	// OnOpening is called for each opening packet that the upstream accepts.
	OnOpening func(key flow.Key)
	// OnStray is called for each packet of a flow that the upstream does not hold.
	OnStray func(key flow.Key)
	// ResetsNext reports whether to answer the next request with a reset.
	ResetsNext func() bool
	// FailsNext reports whether to answer the next request with an error, without
	// waiting for a slot.
	FailsNext func() bool
	// OnCorrupted is called for each packet whose checksum is wrong.
	OnCorrupted func()

	random *rand.Rand
	flows  map[flow.Key]*upstreamFlow
	// order holds the flows in the order in which they were opened, so that a run depends
	// on its seed alone.
	order   []*upstreamFlow
	running int
	waiting []*upstreamFlow
}

// upstreamFlow is the state of a flow at an OpaqueUpstream.
type upstreamFlow struct {
	key        flow.Key
	openingSeq uint32
	consentSeq uint32
	open       bool
	// data is what has arrived of a request that is not complete, and nextSeq the sequence number
	// of the byte after it.
	data    []byte
	nextSeq uint32
	request string
	// longLived is set if the flow stays open after the answer.
	longLived bool
	doneAt    time.Duration
	running   bool
	failed    bool // The answer is an error.
	refused   bool // The request has no slot.
	// answerSeq is the sequence number of the next answer.
	answerSeq    uint32
	unacked      [][]byte
	endSeq       uint32
	nextSend     time.Duration
	retryDelay   time.Duration
	retries      int
	ended        bool
	lastReceived time.Duration
}

// NewOpaqueUpstream returns an upstream without flows. Name, Slots, Queue, RunTime, Size
// and Send must be set before the first packet arrives.
func NewOpaqueUpstream(random *rand.Rand) *OpaqueUpstream {
	return &OpaqueUpstream{
		random: random, flows: make(map[flow.Key]*upstreamFlow),
		ResetsNext: func() bool { return false }, FailsNext: func() bool { return false },
		OnRun: func(flow.Key, string) {}, OnOpening: func(flow.Key) {}, OnStray: func(flow.Key) {}, OnCorrupted: func() {},
	}
}

// Load returns the number of running and waiting requests.
func (u *OpaqueUpstream) Load() int { return u.running + len(u.waiting) }

// Holds reports whether the flow is open at the upstream.
func (u *OpaqueUpstream) Holds(key flow.Key) bool {
	f, ok := u.flows[key]
	return ok && f.open && !f.ended
}

// HandlePacket handles a packet from the sidecar.
func (u *OpaqueUpstream) HandlePacket(now time.Duration, packet []byte) {
	p, genuine := DecodeOpaque(packet)
	if !genuine {
		u.OnCorrupted()
		return
	}
	key := p.FromCaller()
	f := u.flows[key]
	switch {
	case p.Opening():
		u.handleOpening(now, key, p, packet)
	case f == nil:
		u.OnStray(key)
		u.bounce(packet)
	case f.ended:
		if p.Flags.Has(flow.FIN) {
			u.send(f, flow.ACK, f.endSeq, p.Seq+1, nil)
		}
	default:
		u.handleData(now, f, p, packet)
	}
}

// Tick finishes the requests and retransmits the consents and answers that are due, and
// drops flows that have been idle for too long.
func (u *OpaqueUpstream) Tick(now time.Duration) {
	u.order = slices.DeleteFunc(u.order, func(f *upstreamFlow) bool {
		switch {
		case u.flows[f.key] != f && !f.running && len(f.unacked) == 0:
			return true // replaced by a later flow with the same key
		case f.running && now >= f.doneAt:
			u.finish(now, f)
		case (len(f.unacked) > 0 || !f.open && u.flows[f.key] == f) && now >= f.nextSend:
			u.retry(now, f)
		case u.flows[f.key] == f && now-f.lastReceived > 20*time.Second:
			delete(u.flows, f.key)
			return true
		}
		return false
	})
}

func (u *OpaqueUpstream) handleOpening(now time.Duration, key flow.Key, p OpaquePacket, packet []byte) {
	f := u.flows[key]
	if f == nil || f.openingSeq != p.Seq {
		if u.full() && !u.RefusesRequests {
			u.bounce(packet)
			return
		}
		f = &upstreamFlow{key: key, openingSeq: p.Seq, consentSeq: u.random.Uint32(), lastReceived: now, nextSeq: p.Seq + 1}
		f.answerSeq = f.consentSeq + 1
		f.retryDelay, f.nextSend = _firstRetryDelay, now+_firstRetryDelay
		u.flows[key] = f
		u.order = append(u.order, f)
		u.OnOpening(key)
	}
	if !f.open {
		u.consent(f)
	}
}

func (u *OpaqueUpstream) handleData(now time.Duration, f *upstreamFlow, p OpaquePacket, packet []byte) {
	f.lastReceived = now
	if !f.open {
		if p.Ack != f.consentSeq+1 {
			u.OnStray(f.key)
			u.bounce(packet)
			return
		}
		f.open, f.retries = true, 0
	}
	if p.Flags.Has(flow.RST) {
		f.unacked, f.ended = nil, true
		return
	}
	isNew := len(p.Data) > 0 && p.Seq == f.nextSeq
	if isNew && f.request == "" && u.ResetsNext() {
		f.ended = true
		u.send(f, flow.RST, f.answerSeq, 0, nil)
		return
	}
	if isNew {
		f.nextSeq += uint32(len(p.Data))
		f.data = append(f.data, p.Data...)
		if text, longLived, complete := decodeRequest(f.data); complete {
			f.request, f.longLived, f.data, f.unacked = text, longLived, nil, nil
			u.enqueue(now, f)
		}
	}
	switch {
	case len(f.unacked) > 0 && p.Ack == f.endSeq:
		f.unacked, f.ended = nil, !f.longLived
	case f.longLived && p.Flags.Has(flow.FIN):
		f.ended, f.endSeq = true, f.answerSeq+1
		u.send(f, flow.ACK|flow.FIN, f.answerSeq, p.Seq+1, nil)
	}
	if len(p.Data) > 0 {
		u.send(f, flow.ACK, f.answerSeq, f.nextSeq, nil)
	}
}

// full reports whether the upstream has no room for another request.
func (u *OpaqueUpstream) full() bool { return u.running >= u.Slots && len(u.waiting) >= u.Queue }

// enqueue queues a request for a slot. If FailsNext returns true, enqueue starts the
// request at once, and it fails after _errorDelay.
func (u *OpaqueUpstream) enqueue(now time.Duration, f *upstreamFlow) {
	if u.FailsNext() {
		u.running++
		f.running, f.failed, f.doneAt = true, true, now+_errorDelay
		return
	}
	if u.RefusesRequests && u.full() {
		f.running, f.failed, f.refused, f.doneAt = true, true, true, now+_errorDelay
		return
	}
	u.waiting = append(u.waiting, f)
	u.startWaiting(now)
}

// startWaiting starts waiting requests in free slots.
func (u *OpaqueUpstream) startWaiting(now time.Duration) {
	for u.running < u.Slots && len(u.waiting) > 0 {
		f := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.running++
		f.running, f.doneAt = true, now+u.RunTime(f.request)
		u.OnRun(f.key, f.request)
	}
}

func (u *OpaqueUpstream) finish(now time.Duration, f *upstreamFlow) {
	if !f.refused {
		u.running--
	}
	answer := append([]byte(u.Name+" "+f.request+" "), make([]byte, u.Size)...)
	if f.failed {
		answer = []byte(u.Name + " " + f.request + _errorSuffix)
	}
	f.running, f.failed, f.refused, f.request = false, false, false, ""
	if f.longLived {
		answer = append(answer, _answerEnd)
	}
	if f.ended { // The caller has reset the flow.
		answer = nil
	}
	for len(answer) > 0 {
		n := min(len(answer), _maxSegment)
		flags := flow.ACK
		if n == len(answer) && !f.longLived {
			flags |= flow.FIN
		}
		f.unacked = append(f.unacked, u.packet(f, flags, f.answerSeq, f.nextSeq, answer[:n]))
		f.answerSeq += uint32(n)
		answer = answer[n:]
	}
	f.endSeq = f.answerSeq
	if !f.longLived {
		f.endSeq++
	}
	f.retries, f.retryDelay, f.nextSend = 0, _firstRetryDelay, now+_firstRetryDelay
	for _, packet := range f.unacked {
		u.Send(packet)
	}
	u.startWaiting(now)
}

func (u *OpaqueUpstream) retry(now time.Duration, f *upstreamFlow) {
	if f.retries++; f.retries > _maxRetries {
		f.unacked, f.ended = nil, true
		if !f.open {
			delete(u.flows, f.key)
		}
		return
	}
	f.retryDelay = min(2*f.retryDelay, _maxRetryDelay)
	f.nextSend = now + f.retryDelay
	if !f.open {
		u.consent(f)
	}
	for _, packet := range f.unacked {
		u.Send(packet)
	}
}

func (u *OpaqueUpstream) consent(f *upstreamFlow) {
	u.send(f, flow.SYN|flow.ACK, f.consentSeq, f.openingSeq+1, nil)
}

// bounce returns a packet to the sidecar, marked as refused.
func (u *OpaqueUpstream) bounce(packet []byte) {
	p, _ := DecodeOpaque(packet)
	p.Flags |= flow.Bounced
	u.Send(p.Encode())
}

func (u *OpaqueUpstream) send(f *upstreamFlow, flags flow.Flags, seq, ack uint32, data []byte) {
	u.Send(u.packet(f, flags, seq, ack, data))
}

func (u *OpaqueUpstream) packet(f *upstreamFlow, flags flow.Flags, seq, ack uint32, data []byte) []byte {
	return OpaquePacket{Packet: flow.Packet{
		Source: f.key.Address, Destination: f.key.Caller, Flags: flags, Seq: seq, Ack: ack,
	}, Data: data}.Encode()
}
