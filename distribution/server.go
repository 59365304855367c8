package distribution

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/peer"
)

const (
	// Each asker that a holder serves takes one of its slots. _initialSlots is the number of
	// slots before the capacity of the link is known, and _maxSlots the maximum number.
	_initialSlots = 4
	_maxSlots     = 64
	// _initialServiceTime is the duration of serving one asker that is assumed until a transfer
	// has been measured.
	_initialServiceTime = 30 * time.Millisecond
	// A new measurement enters the moving average of the service time with a weight of one in
	// _serviceTimeDivisor.
	_serviceTimeDivisor = 4
	// A transfer that takes longer than _slowMargin plus _slowFactor times the duration of the
	// shortest transfer shows that the link or the processor is saturated: with more slots,
	// askers would only wait for each other.
	_slowFactor = 3
	_slowMargin = 40 * time.Millisecond
	// _clientTimeout is how long an asker may be silent before its slot is freed.
	_clientTimeout = 600 * time.Millisecond
	// _halveInterval is the minimum time between two halvings of the number of slots. Several
	// signs of congestion within that time count as one.
	_halveInterval = 200 * time.Millisecond
	// _minDefer and _maxDefer are the bounds of the delay that a deferred asker is told to wait.
	_minDefer = 10 * time.Millisecond
	_maxDefer = 400 * time.Millisecond
	// _relayPriorityPeriod is how long sidecars are deferred after a relay was deferred, so that
	// relays are served first.
	_relayPriorityPeriod = 100 * time.Millisecond
	// _payloadRetention is how long a payload is kept after its last use, for transfers that
	// are still in progress when a newer version comes into force. _maxPayloads is the maximum
	// number of payloads kept.
	_payloadRetention = 5 * time.Second
	_maxPayloads      = 8
)

// server is the holder's side of the distribution. It limits the number of askers served at
// a time like a TCP congestion window: the number of slots grows while transfers succeed,
// and halves when askers request parts again.
type server struct {
	// slots is the maximum number of askers that are served at a time. While it is less than
	// slowStartThreshold, it grows by one after each transfer that succeeds; otherwise, by
	// one after as many successes as there are slots. successes counts the transfers that
	// succeeded since the last change of slots.
	slots              int
	successes          int
	slowStartThreshold int
	// lastHalved is when the number of slots was last halved.
	lastHalved time.Duration
	// serviceTime is the moving average of the duration of a transfer, and minServiceTime the
	// shortest duration. It is zero if no transfer has finished.
	serviceTime    time.Duration
	minServiceTime time.Duration
	// deferredUntil is when the last deferred asker is expected to ask again.
	deferredUntil time.Duration
	// relayDeferredAt is when a relay was last deferred. Its initial value is far enough in the
	// past that no sidecar is deferred because of it.
	relayDeferredAt time.Duration
	// clients holds the askers that are being served.
	clients map[netip.Addr]*client
	// recentlyServed holds processes that have fetched the version in force from this process,
	// the most recent last.
	recentlyServed []netip.Addr
	payloads       []payload
}

// client is an asker that is being served.
type client struct {
	// payload identifies the payload that the asker is being sent, and lastAsk is when the
	// asker last asked.
	payload          peer.PayloadID
	started, lastAsk time.Duration
	// sent holds the indexes of the parts of the payload that were sent, and resent is set if
	// one of these parts was requested again.
	sent   map[uint16]bool
	resent bool
}

// payload holds the data that turns one version of the configuration, or none, into a higher
// version.
type payload struct {
	id       peer.PayloadID
	data     []byte
	lastUsed time.Duration
}

func newServer() server {
	return server{
		slots: _initialSlots, slowStartThreshold: _maxSlots, serviceTime: _initialServiceTime, relayDeferredAt: -_relayPriorityPeriod,
		clients: make(map[netip.Addr]*client),
	}
}

// handleAsk sends the requested parts to the asker, or defers the asker if it has no slot and
// no slot is free. An ask without parts is a receipt: the asker has the whole payload.
func (m *Member) handleAsk(now time.Duration, a peer.Ask) {
	s := &m.server
	if len(a.Parts) == 0 {
		s.handleReceipt(now, a.Asker)
		return
	}
	if m.version() <= a.CurrentVersion {
		m.sendDefer(a.Asker, 0)
		return
	}
	c := s.clients[a.Asker]
	if c == nil {
		if delay := s.admissionDelay(now, a.Relay); delay > 0 {
			m.sendDefer(a.Asker, delay)
			return
		}
		c = &client{started: now, sent: make(map[uint16]bool)}
		s.clients[a.Asker] = c
		m.counts.Served++
	}
	c.lastAsk = now
	if p := m.payloadFor(now, a); p != nil {
		m.sendParts(now, c, a, p)
	}
}

// sendDefer tells an asker to ask again after the given delay, which may be zero, and names
// other holders.
func (m *Member) sendDefer(asker netip.Addr, retryAfter time.Duration) {
	m.counts.Deferred++
	d := peer.Defer{Holder: m.self, Version: m.version(), RetryAfter: retryAfter}
	for i := len(m.server.recentlyServed) - 1; i >= 0 && len(d.OtherHolders) < peer.MaxOtherHolders; i-- {
		if other := m.server.recentlyServed[i]; other != asker {
			d.OtherHolders = append(d.OtherHolders, other)
		}
	}
	m.send(asker, d.Append(m.buffer[:0]))
}

// sendParts sends the requested parts of a payload.
func (m *Member) sendParts(now time.Duration, c *client, a peer.Ask, p *payload) {
	if c.payload != p.id {
		c.payload = p.id
		clear(c.sent)
	}
	size := uint32(len(p.data))
	for _, index := range a.Parts {
		if int(index) >= peer.PartCount(size) {
			continue
		}
		if c.sent[index] {
			c.resent = true
			m.server.halveSlots(now)
		}
		c.sent[index] = true
		offset := int(index) * peer.MaxPartData
		part := peer.Part{
			Holder: m.self, Payload: p.id, Size: size, Index: index,
			Data: p.data[offset:min(offset+peer.MaxPartData, len(p.data))],
		}
		m.send(a.Asker, part.Append(m.buffer[:0]))
	}
}

// admissionDelay returns how long an asker that has no slot must wait before it asks again,
// or zero if there is a free slot for it. Relays take precedence over sidecars, since they
// decide where flows go.
func (s *server) admissionDelay(now time.Duration, relay bool) time.Duration {
	if len(s.clients) < s.slots && (relay || now-s.relayDeferredAt >= _relayPriorityPeriod) {
		return 0
	}
	if relay {
		s.relayDeferredAt = now
	}
	s.deferredUntil = max(s.deferredUntil, now+_minDefer) + s.serviceTime/time.Duration(s.slots)
	return min(s.deferredUntil-now, _maxDefer)
}

// handleReceipt records that an asker has received the whole payload. It frees the asker's
// slot and may increase the number of slots.
func (s *server) handleReceipt(now time.Duration, asker netip.Addr) {
	c := s.clients[asker]
	if c == nil {
		return
	}
	delete(s.clients, asker)
	if s.recentlyServed = append(s.recentlyServed, asker); len(s.recentlyServed) > peer.MaxOtherHolders {
		s.recentlyServed = s.recentlyServed[1:]
	}
	elapsed := now - c.started
	s.serviceTime += (elapsed - s.serviceTime) / _serviceTimeDivisor
	if s.minServiceTime == 0 || elapsed < s.minServiceTime {
		s.minServiceTime = elapsed
	}
	if c.resent || elapsed > _slowFactor*s.minServiceTime+_slowMargin {
		return
	}
	// Below the threshold, add a slot after each success; at or above it, add one after as many
	// successes as there are slots.
	if s.successes++; s.slots < s.slowStartThreshold || s.successes >= s.slots {
		s.slots, s.successes = min(s.slots+1, _maxSlots), 0
	}
}

// halveSlots reacts to a sign of congestion: parts that were sent did not arrive.
func (s *server) halveSlots(now time.Duration) {
	if now-s.lastHalved < _halveInterval {
		return
	}
	s.lastHalved = now
	s.slots = max(s.slots/2, 1)
	s.slowStartThreshold, s.successes = s.slots, 0
}

// expire frees the slots of askers that have been silent for longer than _clientTimeout.
func (s *server) expire(now time.Duration) {
	for addr, c := range s.clients {
		if now-c.lastAsk > _clientTimeout {
			delete(s.clients, addr)
		}
	}
}

// versionChanged drops the payloads that have not been used within _payloadRetention, and
// the list of processes that have the previous version.
func (s *server) versionChanged(now time.Duration) {
	s.recentlyServed = nil
	s.payloads = slices.DeleteFunc(s.payloads, func(p payload) bool { return now-p.lastUsed > _payloadRetention })
}

// payloadFor returns the payload to send to an asker. If the asker has parts of a payload
// and this process still keeps that payload, it is returned. Otherwise the payload is the
// change from the asker's version to the version in force or, if the asker's version is not in the
// history, the whole table. payloadFor returns nil if encoding fails.
func (m *Member) payloadFor(now time.Duration, a peer.Ask) *payload {
	s := &m.server
	if a.Payload.Version > a.CurrentVersion {
		if p := s.findPayload(func(id peer.PayloadID) bool { return id == a.Payload }); p != nil {
			p.lastUsed = now
			return p
		}
	}
	base := uint64(0)
	historyIndex := slices.IndexFunc(m.history, func(r revision) bool { return r.version == a.CurrentVersion && r.sum == a.CurrentSum })
	if historyIndex >= 0 {
		base = a.CurrentVersion
	}
	if p := s.findPayload(func(id peer.PayloadID) bool { return id.Version == m.version() && id.Base == base }); p != nil {
		p.lastUsed = now
		return p
	}
	data, err := m.packFrom(historyIndex)
	if err != nil {
		m.refuse(now, "this process", err)
		return nil
	}
	id := peer.PayloadID{Version: m.version(), Base: base, Sum: xxhash.Sum64(data)}
	if len(s.payloads) >= _maxPayloads {
		s.payloads = slices.DeleteFunc(s.payloads, func(p payload) bool { return p.id.Version < m.version() })
		s.payloads = s.payloads[:min(len(s.payloads), _maxPayloads-1)]
	}
	s.payloads = append(s.payloads, payload{id: id, data: data, lastUsed: now})
	return &s.payloads[len(s.payloads)-1]
}

// packFrom returns the change from the version at an index of the history to the version in
// force, or the whole table if the index is negative.
func (m *Member) packFrom(historyIndex int) ([]byte, error) {
	if historyIndex < 0 {
		return m.current.packTable()
	}
	from, err := decodeTable(m.history[historyIndex].format, m.history[historyIndex].encoded)
	if err != nil {
		return nil, err
	}
	return packDelta(from, m.current)
}

// findPayload returns the first payload whose ID matches, or nil.
func (s *server) findPayload(matches func(peer.PayloadID) bool) *payload {
	for i := range s.payloads {
		if matches(s.payloads[i].id) {
			return &s.payloads[i]
		}
	}
	return nil
}
