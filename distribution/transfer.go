package distribution

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/peer"
)

const (
	// _initialWindow is the maximum number of parts in flight before any has arrived. Most
	// changes have no more parts than that.
	_initialWindow = 8
	// _maxTimeoutsPerHolder is the number of consecutive timeouts after which a process turns to
	// another holder.
	_maxTimeoutsPerHolder = 2
	// _initialBackoff is how long a holder is not asked after it failed to answer. It doubles,
	// up to _maxBackoff, with each consecutive failure.
	_initialBackoff = 250 * time.Millisecond
	_maxBackoff     = 2 * time.Second
	// _badPayloadBackoff is how long a holder is not asked after it sent an invalid payload.
	_badPayloadBackoff = 5 * time.Second
)

// candidate is another process that has named a version higher than this process has in force.
type candidate struct {
	addr    netip.Addr
	version uint64
	// near is set if the candidate is in the zone of this process.
	near bool
	// retryAt is when the candidate may next be asked, and failures is the number of
	// consecutive transfers from it that timed out.
	retryAt  time.Duration
	failures int
}

// transfer is a payload that is being received, possibly from several holders in turn.
type transfer struct {
	// holder is the process being asked, or the zero address if none can be asked now.
	holder netip.Addr
	// payload identifies the payload. Its version is zero until the first part has arrived.
	payload peer.PayloadID
	data    []byte
	// received tells for each part whether it has arrived, and missing counts the parts that
	// have not.
	received []bool
	missing  int
	// inFlight maps the index of each part that was requested and has not arrived to the time of
	// the request. It holds at most window parts.
	inFlight map[uint16]time.Duration
	window   int
	// deadline is when the holder's answer is overdue, and timeouts is the number of consecutive
	// timeouts.
	deadline time.Duration
	timeouts int
	// started is when the first holder was asked, and lastProgress when a new part last arrived.
	started, lastProgress time.Duration
	// holderCount is the number of times that a holder was chosen.
	holderCount int
}

// NoteVersion records that the process at addr has a version. The near argument tells whether
// that process is in the zone of this one. NoteVersion may start a transfer.
func (m *Member) NoteVersion(now time.Duration, version uint64, addr netip.Addr, near bool) {
	if version <= m.version() || addr == m.self || !addr.Is4() {
		return
	}
	index, known := m.findCandidate(addr)
	if !known {
		m.candidates = slices.Insert(m.candidates, index, &candidate{addr: addr})
	}
	c := m.candidates[index]
	c.near = c.near || near
	if version > c.version {
		c.version = version
	}
	if version > m.newestKnown {
		if !m.isBehind() {
			m.behindSince = now
			minDelay, maxDelay := m.askDelay()
			m.askNotBefore = now + minDelay + time.Duration(m.random.Int64N(int64(maxDelay-minDelay)+1))
		}
		m.newestKnown = version
	}
	if m.transfer == nil && !known {
		m.checkTransfer(now)
	}
}

// checkTransfer starts a transfer if there is none, chooses a holder if the transfer has
// none, or handles the holder's timeout.
func (m *Member) checkTransfer(now time.Duration) {
	t := m.transfer
	switch {
	case now < m.askNotBefore:
	case t == nil:
		m.transfer = &transfer{started: now, lastProgress: now, inFlight: make(map[uint16]time.Duration), window: _initialWindow}
		m.switchHolder(now)
	case !t.holder.IsValid():
		m.switchHolder(now)
	case now >= t.deadline:
		m.handleTimeout(now)
	}
}

// switchHolder chooses a holder and asks it. If none may be asked now, the transfer is left
// without a holder.
func (m *Member) switchHolder(now time.Duration) {
	t := m.transfer
	t.holder, t.timeouts = m.chooseHolder(now), 0
	clear(t.inFlight)
	if t.holder.IsValid() {
		t.holderCount++
		m.counts.Asked++
		m.sendAsk(now)
	}
}

// chooseHolder returns a candidate that may be asked now, chosen at random from those with
// the highest version, where candidates in the zone of this process take precedence. It
// returns the zero address if there is none.
func (m *Member) chooseHolder(now time.Duration) netip.Addr {
	var best []*candidate
	for _, c := range m.candidates {
		switch {
		case now < c.retryAt:
		case len(best) == 0 || c.version > best[0].version || c.version == best[0].version && c.near && !best[0].near:
			best = append(best[:0], c)
		case c.version == best[0].version && c.near == best[0].near:
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return netip.Addr{}
	}
	return best[m.random.IntN(len(best))].addr
}

// candidate returns the candidate at addr, or nil.
func (m *Member) candidate(addr netip.Addr) *candidate {
	index, known := m.findCandidate(addr)
	if !known {
		return nil
	}
	return m.candidates[index]
}

// findCandidate returns the index of the candidate at addr, or where it is to be inserted.
func (m *Member) findCandidate(addr netip.Addr) (index int, known bool) {
	return slices.BinarySearchFunc(m.candidates, addr, func(c *candidate, addr netip.Addr) int { return c.addr.Compare(addr) })
}

// sendAsk requests missing parts from the holder, so that at most window parts are in flight.
func (m *Member) sendAsk(now time.Duration) {
	t := m.transfer
	a := peer.Ask{Asker: m.self, Relay: m.relay, CurrentVersion: m.version(), CurrentSum: m.current.sum, Payload: t.payload}
	if m.wantWhole {
		a.CurrentVersion, a.CurrentSum = 0, 0
	}
	count := peer.MaxParts
	if t.payload.Version > 0 {
		count = len(t.received)
	}
	for index := 0; index < count && len(t.inFlight) < t.window && len(a.Parts) < peer.MaxPartsPerAsk; index++ {
		if t.payload.Version > 0 && t.received[index] {
			continue
		}
		if _, requested := t.inFlight[uint16(index)]; !requested {
			t.inFlight[uint16(index)] = now
			a.Parts = append(a.Parts, uint16(index))
		}
	}
	if len(a.Parts) == 0 {
		return
	}
	t.deadline = now + m.roundTrips.timeout()<<t.timeouts
	m.send(t.holder, a.Append(m.buffer[:0]))
}

// handlePart stores a part of a payload. It completes the transfer if no part is missing, or
// requests more parts.
func (m *Member) handlePart(now time.Duration, p peer.Part) {
	t := m.transfer
	if t == nil || p.Payload.Version <= m.version() || p.Payload.Base != 0 && p.Payload.Base != m.version() {
		return
	}
	m.lastAnswer = now
	if p.Payload != t.payload && !t.restart(now, p) {
		return
	}
	if askedAt, ok := t.inFlight[p.Index]; ok {
		m.roundTrips.observe(now - askedAt)
		delete(t.inFlight, p.Index)
	}
	if t.received[p.Index] {
		return
	}
	t.received[p.Index] = true
	copy(t.data[int(p.Index)*peer.MaxPartData:], p.Data)
	t.missing--
	t.lastProgress, t.timeouts, t.deadline = now, 0, now+m.roundTrips.timeout()
	if c := m.candidate(p.Holder); c != nil {
		c.failures = 0
	}
	switch {
	case t.missing == 0:
		m.complete(now, p.Holder)
	case len(t.inFlight) <= t.window/2:
		t.window = min(t.window+1, peer.MaxPartsPerAsk)
		m.sendAsk(now)
	}
}

// restart makes the transfer receive the payload of part p instead of the current payload. It
// does so only if p is from the current holder and one of these holds: no part of the current
// payload has arrived, p's payload leads to a higher version, or the transfer has stalled. It
// reports whether it did.
func (t *transfer) restart(now time.Duration, p peer.Part) bool {
	hasParts := t.missing < len(t.received)
	progressing := now-t.lastProgress <= _stallTimeout
	if p.Holder != t.holder || hasParts && progressing && p.Payload.Version <= t.payload.Version {
		return false
	}
	t.payload = p.Payload
	t.data = make([]byte, p.Size)
	t.received = make([]bool, peer.PartCount(p.Size))
	t.missing = len(t.received)
	for index := range t.inFlight {
		if int(index) >= len(t.received) {
			delete(t.inFlight, index)
		}
	}
	return true
}

// complete verifies the payload and puts its version in force.
func (m *Member) complete(now time.Duration, holder netip.Addr) {
	t := m.transfer
	m.transfer = nil
	s, err := unpack(t.data, m.current)
	if err == nil && s.table.Version() != t.payload.Version {
		err = trace.BadParameter("configuration %d: payload holds configuration %d", t.payload.Version, s.table.Version())
	}
	if err != nil {
		m.wantWhole = t.payload.Base > 0
		if c := m.candidate(holder); c != nil && !m.wantWhole {
			c.retryAt = now + _badPayloadBackoff
		}
		m.refuse(now, holder.String(), err)
		return
	}
	if t.payload.Base > 0 {
		m.counts.Changes++
	} else {
		m.counts.Whole++
	}
	receipt := peer.Ask{Asker: m.self, Relay: m.relay, CurrentVersion: s.table.Version(), CurrentSum: s.sum, Payload: t.payload}
	m.send(holder, receipt.Append(m.buffer[:0]))
	m.out.LogBelief(decision.Belief{
		Subject: "configuration", Name: strconv.FormatUint(s.table.Version(), 10), To: "fetched",
		Reason: fmt.Sprintf("%d bytes from %d holders, the last %v, based on version %d",
			len(t.data), t.holderCount, holder, t.payload.Base),
		Version: s.table.Version(), Age: now - t.started,
	})
	m.adopt(now, s, "process "+holder.String())
	if m.isBehind() {
		m.checkTransfer(now)
	}
}

// handleTimeout handles a holder that has not answered in time. It shrinks the window and
// asks again or, after several timeouts, turns to another holder.
func (m *Member) handleTimeout(now time.Duration) {
	t := m.transfer
	t.timeouts++
	t.window = max(t.window/2, 1)
	clear(t.inFlight)
	if t.timeouts < _maxTimeoutsPerHolder {
		m.sendAsk(now)
		return
	}
	if c := m.candidate(t.holder); c != nil {
		c.retryAt = now + min(_initialBackoff<<min(c.failures, 8), _maxBackoff)
		c.failures++
	}
	m.switchHolder(now)
}

// handleDefer handles a holder's request to ask again later. It adds the other holders that
// the request names to the candidates.
func (m *Member) handleDefer(now time.Duration, d peer.Defer) {
	c := m.candidate(d.Holder)
	if c == nil {
		return
	}
	c.retryAt = now + d.RetryAfter
	if d.Version <= m.version() {
		m.candidates = slices.DeleteFunc(m.candidates, func(other *candidate) bool { return other == c })
	} else {
		c.version, m.lastAnswer = d.Version, now
	}
	for _, other := range d.OtherHolders {
		m.NoteVersion(now, d.Version, other, false)
	}
	if t := m.transfer; t != nil && t.holder == d.Holder {
		m.switchHolder(now)
	}
}
