package standin

import (
	"math/rand/v2"
	"time"

	"dandelionhitch.example/flow"
)

// Sizes and waits of a stand-in upstream.
const (
	// _segment is the most data in a packet, in bytes.
	_segment = 1200
	// _firstRetry is when a packet that was not acknowledged is sent again; the
	// wait doubles up to _lastRetry.
	_firstRetry = 200 * time.Millisecond
	_lastRetry  = 1600 * time.Millisecond
	// _maxRetries bounds the repetitions of an upstream's packet.
	_maxRetries = 8
	// _errorTime is how long an answer takes that is an error.
	_errorTime = time.Millisecond
)

// _errorMark ends an answer that is an error.
const _errorMark = " error"

// OpaqueUpstream is a stand-in for a server of opaque flows: it answers each
// flow's one request after some work, in a few slots with a queue before them.
// It is a state machine in a time of its owner's; it is not safe for concurrent use.
type OpaqueUpstream struct {
	// Name is what its answers begin with, so that a caller can tell who answered.
	Name string
	// Slots is how many requests it works on at a time; Queue is how many wait.
	Slots, Queue int
	// Work returns how long the next request takes, and Size how large its answer is.
	Work func() time.Duration
	Size int
	// Send takes what it sends to the sidecar beside it.
	Send func(packet []byte)
	// Ran is told of each request that begins to run.
	Ran func(key flow.Key, request string)
	// Opening is told of each opening packet that it accepts.
	Opening func(key flow.Key)
	// Stray is told of each packet of a flow that it does not hold.
	Stray func(key flow.Key)
	// Fails reports whether the next request is answered with a reset.
	Fails func() bool
	// Errs reports whether the next request is answered with an error, at once.
	Errs func() bool
	// Forged is told of each packet whose sum is wrong.
	Forged func()

	random  *rand.Rand
	flows   map[flow.Key]*upstreamFlow
	running int
	waiting []*upstreamFlow
}

type upstreamFlow struct {
	key      flow.Key
	opening  uint32
	consent  uint32
	open     bool
	request  string
	done     time.Duration
	working  bool
	failed   bool
	unacked  [][]byte
	end      uint32
	nextSend time.Duration
	wait     time.Duration
	tries    int
	ended    bool
	idle     time.Duration
}

// NewOpaqueUpstream returns an upstream without flows. Its fields must be set
// before its first packet.
func NewOpaqueUpstream(random *rand.Rand) *OpaqueUpstream {
	return &OpaqueUpstream{
		random: random, flows: make(map[flow.Key]*upstreamFlow),
		Fails: func() bool { return false }, Errs: func() bool { return false },
		Ran: func(flow.Key, string) {}, Opening: func(flow.Key) {}, Stray: func(flow.Key) {}, Forged: func() {},
	}
}

// Load returns the requests that it works on and those that wait.
func (u *OpaqueUpstream) Load() int { return u.running + len(u.waiting) }

// Holds reports whether the flow is open here.
func (u *OpaqueUpstream) Holds(key flow.Key) bool {
	f, ok := u.flows[key]
	return ok && f.open && !f.ended
}

// Packet takes a packet from the sidecar.
func (u *OpaqueUpstream) Packet(now time.Duration, packet []byte) {
	p, genuine := DecodeOpaque(packet)
	if !genuine {
		u.Forged()
		return
	}
	key := p.FromCaller()
	f := u.flows[key]
	switch {
	case p.Opening():
		u.open(now, key, p, packet)
	case f == nil:
		u.Stray(key)
		u.bounce(packet)
	case f.ended:
		if p.Flags.Has(flow.FIN) {
			u.send(f, flow.ACK, f.end, p.Seq+1, nil)
		}
	default:
		u.data(now, f, p, packet)
	}
}

// Tick does what is due.
func (u *OpaqueUpstream) Tick(now time.Duration) {
	for key, f := range u.flows {
		switch {
		case f.working && now >= f.done:
			u.finish(now, f)
		case len(f.unacked) > 0 && now >= f.nextSend:
			u.retry(now, f)
		case now-f.idle > 20*time.Second:
			delete(u.flows, key)
		}
	}
}

func (u *OpaqueUpstream) open(now time.Duration, key flow.Key, p OpaquePacket, packet []byte) {
	f := u.flows[key]
	if f == nil || f.opening != p.Seq {
		if u.running >= u.Slots && len(u.waiting) >= u.Queue {
			u.bounce(packet)
			return
		}
		f = &upstreamFlow{key: key, opening: p.Seq, consent: u.random.Uint32(), idle: now}
		u.flows[key] = f
		u.Opening(key)
	}
	if !f.open {
		u.send(f, flow.SYN|flow.ACK, f.consent, p.Seq+1, nil)
	}
}

func (u *OpaqueUpstream) data(now time.Duration, f *upstreamFlow, p OpaquePacket, packet []byte) {
	f.idle = now
	if !f.open {
		if p.Ack != f.consent+1 {
			u.Stray(f.key)
			u.bounce(packet)
			return
		}
		f.open = true
	}
	if len(p.Data) > 0 && f.request == "" && u.Fails() {
		f.ended = true
		u.send(f, flow.RST, f.consent+1, 0, nil)
		return
	}
	if len(p.Data) > 0 && f.request == "" {
		f.request = string(p.Data)
		u.begin(now, f)
	}
	if len(f.unacked) > 0 && p.Ack == f.end {
		f.unacked, f.ended = nil, true
	}
	if len(p.Data) > 0 {
		u.send(f, flow.ACK, f.consent+1, p.Seq+uint32(len(p.Data)), nil)
	}
}

// begin answers a request with an error, or has it wait for a slot.
func (u *OpaqueUpstream) begin(now time.Duration, f *upstreamFlow) {
	if u.Errs() {
		u.running++
		f.working, f.failed, f.done = true, true, now+_errorTime
		return
	}
	u.waiting = append(u.waiting, f)
	u.next(now)
}

// next gives free slots to waiting requests.
func (u *OpaqueUpstream) next(now time.Duration) {
	for u.running < u.Slots && len(u.waiting) > 0 {
		f := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.running++
		f.working, f.done = true, now+u.Work()
		u.Ran(f.key, f.request)
	}
}

func (u *OpaqueUpstream) finish(now time.Duration, f *upstreamFlow) {
	f.working = false
	u.running--
	answer := append([]byte(u.Name+" "+f.request+" "), make([]byte, u.Size)...)
	if f.failed {
		answer = []byte(u.Name + " " + f.request + _errorMark)
	}
	seq := f.consent + 1
	for len(answer) > 0 {
		n := min(len(answer), _segment)
		flags := flow.ACK
		if n == len(answer) {
			flags |= flow.FIN
		}
		f.unacked = append(f.unacked, u.packet(f, flags, seq, f.opening+1+uint32(len(f.request)), answer[:n]))
		seq += uint32(n)
		answer = answer[n:]
	}
	f.end = seq + 1
	f.wait, f.nextSend = _firstRetry, now+_firstRetry
	for _, packet := range f.unacked {
		u.Send(packet)
	}
	u.next(now)
}

func (u *OpaqueUpstream) retry(now time.Duration, f *upstreamFlow) {
	if f.tries++; f.tries > _maxRetries {
		f.unacked, f.ended = nil, true
		return
	}
	f.wait = min(2*f.wait, _lastRetry)
	f.nextSend = now + f.wait
	for _, packet := range f.unacked {
		u.Send(packet)
	}
}

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
