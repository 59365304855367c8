package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"dandelionhitch.example/datagram"
	"dandelionhitch.example/flow"
	"dandelionhitch.example/standin"
)

// Retransmission, from the page on flows.
const (
	firstRetry = 200 * time.Millisecond
	maxRetry   = 1600 * time.Millisecond
	maxRetries = 8
)

// server is a sound server: it consents to flows, retransmits what is not acknowledged, runs
// the requests of each flow one after the other in its slots, and bounces the packets of flows
// that it does not hold.
type server struct {
	m       *machine
	socket  *datagram.Socket
	slots   int
	work    time.Duration
	flows   map[flow.Key]*serverFlow
	running int
	waiting []*serverFlow

	id       string
	born     int64
	sequence uint64
	state    string
	acked    bool
	// down is set while the server's process is not running.
	down bool
	life int
	// clock is by how much the machine's time of day is off.
	clock time.Duration
	// drainAcked is when the sidecar has acknowledged that the server drains, or zero.
	drainAcked time.Duration
}

// crash ends the server's process: its flows are gone, and nothing listens at its address.
func (s *server) crash() {
	s.m.w.note("%s: the server crashes", s.m.name)
	s.down = true
	s.flows, s.waiting, s.running = make(map[flow.Key]*serverFlow), nil, 0
	// Closing the socket waits for its handler, which may wait for the world's lock.
	go func(socket *datagram.Socket) { _ = socket.Close() }(s.socket)
}

// startAgain starts another life of the server, whose start it reads from the machine's clock.
func (s *server) startAgain() error {
	s.life++
	s.id = fmt.Sprintf("i-%s-%d", s.m.name, s.life)
	s.born, s.sequence, s.state, s.acked, s.drainAcked = time.Now().Add(s.clock).UnixMilli(), 0, "ready", false, 0
	if err := s.listen(); err != nil {
		return err
	}
	s.down = false
	s.m.w.note("%s: the server starts again as %s, born %d", s.m.name, s.id, s.born)
	return nil
}

// listen opens the socket at which the server takes packets.
func (s *server) listen() error {
	socket, err := datagram.Listen(s.m.at(s.m.w.ports.upstream), func(b []byte) {
		s.m.w.mu.Lock()
		defer s.m.w.mu.Unlock()
		if !s.down {
			s.handle(append([]byte(nil), b...))
		}
	})
	s.socket = socket
	return err
}

// serverFlow is a flow at a server, opening or open.
type serverFlow struct {
	key                    flow.Key
	openingSeq, consentSeq uint32
	open, closed           bool
	// received is the next sequence number of the caller, and next that of the server.
	received, next uint32
	request        string
	doneAt         time.Duration
	running        bool
	// unacked is the packet that the caller has not acknowledged, and ackAfter the
	// acknowledgement number that covers it.
	unacked  []byte
	ackAfter uint32
	nextSend time.Duration
	delay    time.Duration
	retries  int
}

func newServer(m *machine) *server {
	return &server{
		m: m, slots: 4, work: 10 * time.Millisecond, flows: make(map[flow.Key]*serverFlow),
		id: "i-" + m.name, born: time.Now().UnixMilli(), state: "ready",
	}
}

func (s *server) send(b []byte) { s.socket.Send(s.m.at(s.m.w.ports.outbound), b) }

func (s *server) packet(f *serverFlow, flags flow.Flags, seq uint32, data []byte) []byte {
	return standin.OpaquePacket{Packet: flow.Packet{
		Source: f.key.Address, Destination: f.key.Caller, Flags: flags, Seq: seq, Ack: f.received,
	}, Data: data}.Encode()
}

// sendReliably sends a packet and repeats it until it is acknowledged.
func (s *server) sendReliably(f *serverFlow, packet []byte, ackAfter uint32) {
	f.unacked, f.ackAfter, f.delay, f.retries = packet, ackAfter, firstRetry, 0
	f.nextSend = s.m.w.now() + f.delay
	s.send(packet)
}

// handle handles a packet that the sidecar has delivered.
func (s *server) handle(b []byte) {
	p, genuine := standin.DecodeOpaque(b)
	if !genuine {
		s.m.w.violation("UNASKED: %s got a packet that its sender did not write so", s.m.name)
		return
	}
	key := p.FromCaller()
	f := s.flows[key]
	switch {
	case p.Opening():
		s.handleOpening(key, f, p)
	case f == nil || !f.open && p.Ack != f.consentSeq+1:
		s.bounce(p)
	default:
		s.handleOpen(f, p)
	}
}

func (s *server) handleOpening(key flow.Key, f *serverFlow, p standin.OpaquePacket) {
	if f == nil || f.openingSeq != p.Seq {
		f = &serverFlow{key: key, openingSeq: p.Seq, consentSeq: s.m.w.random.Uint32(), received: p.Seq + 1}
		f.next = f.consentSeq + 1
		s.flows[key] = f
		s.m.w.note("%s takes the opening packet of %v", s.m.name, key)
		s.m.w.checkDrain(s, key)
	}
	if !f.open {
		s.sendReliably(f, s.packet(f, flow.SYN|flow.ACK, f.consentSeq, nil), f.consentSeq+1)
	}
}

// bounce returns a packet of a flow that the server does not hold.
func (s *server) bounce(p standin.OpaquePacket) {
	s.m.w.noteStray(s.m, p.FromCaller())
	p.Flags |= flow.Bounced
	s.send(p.Encode())
}

func (s *server) handleOpen(f *serverFlow, p standin.OpaquePacket) {
	if c := s.m.w.callers[f.key]; c != nil {
		c.strays = nil
	}
	if !f.open {
		f.open = true
		s.m.w.note("%s has %v open", s.m.name, f.key)
	}
	if f.unacked != nil && int32(p.Ack-f.ackAfter) >= 0 {
		f.unacked = nil
	}
	switch {
	case len(p.Data) == 0:
	case p.Seq == f.received && f.request == "":
		f.received += uint32(len(p.Data))
		f.request = requestID(string(p.Data))
		s.waiting = append(s.waiting, f)
		s.startWaiting()
	case p.Seq != f.received: // a copy of a packet that has arrived
		s.send(s.packet(f, flow.ACK, f.next, nil))
	}
}

func requestID(data string) string {
	_, rest, _ := strings.Cut(data, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func (s *server) startWaiting() {
	for s.running < s.slots && len(s.waiting) > 0 {
		f := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		f.running, f.doneAt = true, s.m.w.now()+s.work
		s.m.w.runs[f.request]++
		s.m.w.note("%s runs %s", s.m.name, f.request)
		if s.m.w.runs[f.request] > 1 {
			s.m.w.violation("request %s runs again, at %s", f.request, s.m.name)
		}
	}
}

// tick ends requests and repeats packets that are not acknowledged.
func (s *server) tick(now time.Duration) {
	if s.down {
		return
	}
	for _, f := range s.flows {
		if f.running && now >= f.doneAt {
			f.running = false
			s.running--
			body := s.m.name + " " + f.request
			data := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body))
			f.request = ""
			seq := f.next
			f.next += uint32(len(data))
			s.sendReliably(f, s.packet(f, flow.ACK, seq, data), f.next)
			s.startWaiting()
		}
		if f.unacked == nil || now < f.nextSend {
			continue
		}
		if f.retries++; f.retries > maxRetries {
			f.unacked = nil
			if !f.open {
				delete(s.flows, f.key) // the caller never acknowledged the consent
			}
			continue
		}
		f.delay = min(2*f.delay, maxRetry)
		f.nextSend = now + f.delay
		s.send(f.unacked)
	}
}

// runHeartbeats sends a status report at each interval.
func (s *server) runHeartbeats() {
	w := s.m.w
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for w.ctx.Err() == nil {
		began := time.Now()
		w.mu.Lock()
		if s.down {
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.sequence++
		id, state := s.id, s.state
		body := heartbeatBody(s, state)
		target := fmt.Sprintf("http://%v/-/instances/%s", netip.AddrPortFrom(s.m.addr, w.ports.control), id)
		w.mu.Unlock()
		request, err := http.NewRequest(http.MethodPut, target, body)
		if err == nil {
			response, err := client.Do(request)
			if err == nil {
				response.Body.Close()
				w.mu.Lock()
				s.noteAnswer(id, state, response.StatusCode)
				w.mu.Unlock()
			}
		}
		s.awaitNext(id, state, began.Add(heartbeatInterval))
	}
}

// noteAnswer records the answer to a status report.
func (s *server) noteAnswer(id, state string, status int) {
	if id != s.id || status != http.StatusOK {
		return
	}
	s.acked = true
	if state == "draining" && s.drainAcked == 0 {
		s.drainAcked = s.m.w.now()
		s.m.w.note("%s: %s has the ack that it drains", s.m.name, id)
	}
}

// awaitNext waits until the next status report is due, which is at once after a start or a
// change of the state.
func (s *server) awaitNext(id, state string, next time.Time) {
	for time.Now().Before(next) && s.m.w.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		s.m.w.mu.Lock()
		changed := s.id != id || s.state != state || s.down
		s.m.w.mu.Unlock()
		if changed {
			return
		}
	}
}
