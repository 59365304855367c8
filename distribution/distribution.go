// Package distribution copies each new version of the configuration to all relays and
// sidecars. They fetch it from each other over datagrams.
//
// Every message between processes names the version that its sender has in force. A
// process that learns of a higher version asks one of the processes that have it, a
// holder, for the parts of a payload: the change from its own version or, if no change
// applies, the whole table. The process keeps the parts that have arrived, whichever holder
// sent them. If a holder does not answer in time, the process asks another. The payload is
// verified as a whole before the version comes into force, and a process never returns to a
// lower version.
//
// A holder limits the number of processes that it serves at a time to what its link and
// processor can carry. It answers the others at once with a delay after which to retry and
// with the addresses of other holders. Each process that has received a version serves it
// too, so the number of holders multiplies. Nothing here assumes a size of the fleet or
// of the configuration.
//
//	reports, offers, answers ──► NoteVersion ───┐           ┌─► Ask ─────────► holder
//	other processes ──► HandleMessage, Tick ────┼─► Member ─┼─► Part, Defer ─► askers
//	store ──► Accept ───────────────────────────┘           └─► table in force
//
// Member is a state machine without I/O: its owner passes it the time, a source of random
// numbers and the datagrams.
package distribution

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/decision"
	"dandelionhitch.example/directory"
	"dandelionhitch.example/peer"
)

const (
	// _maxHistory is the maximum number of earlier versions from which this process can send
	// a change. In the time that one change takes to reach all processes, operators make
	// fewer changes than that.
	_maxHistory = 4
	// A relay may read the store once it has lacked the newest version that it knows of for
	// longer than _maxBehind. This is a third of the shortest time within which users expect a
	// change to be in force.
	_maxBehind = time.Second
	// _storeReadSpacing is the mean time between two reads of the store by all relays
	// together, so that they read it at most ten times a second. Each relay waits for a
	// random time of up to _storeReadSpacing times the number of relays.
	_storeReadSpacing = 100 * time.Millisecond
	// _stallTimeout is how long a transfer may go without a new part, or a process without
	// an answer of a holder, before the process counts as getting nothing from its peers.
	_stallTimeout = 500 * time.Millisecond
)

// Outbox sends the messages of a Member and logs its beliefs. A message is valid only until
// ToPeer returns.
type Outbox interface {
	ToPeer(addr netip.Addr, message []byte)
	LogBelief(belief decision.Belief)
}

// Counts holds the counters of a Member since its start.
type Counts struct {
	// SentBytes and GotBytes count the bytes of messages about configurations that were sent
	// and received, without the headers of IP and UDP.
	SentBytes, GotBytes uint64
	// Served counts the transfers that this process started to serve, Deferred the asks that
	// it answered with a Defer, and Asked the times that it chose a holder to ask.
	Served, Deferred, Asked uint64
	// Whole counts the versions that arrived as a whole table, Changes those that arrived as
	// the change from an earlier version.
	Whole, Changes uint64
	// Refused counts the payloads and messages that were invalid.
	Refused uint64
}

// Member fetches and serves configurations for one process. It is not safe for concurrent
// use.
type Member struct {
	self   netip.Addr
	relay  bool
	out    Outbox
	random *rand.Rand
	// askDelay returns the range of the random delay before this process asks for a new
	// version.
	askDelay func() (minDelay, maxDelay time.Duration)

	// current is the version in force, and source tells where it came from.
	current snapshot
	source  string
	// history holds earlier versions, the most recent first.
	history []revision
	// candidates are the processes that have named a version higher than the one in force,
	// in address order. newestKnown is the highest version that any process has named.
	candidates  []*candidate
	newestKnown uint64
	// behindSince is when a process first named a version higher than the one in force, or,
	// if later, when the version in force was adopted.
	behindSince time.Duration
	// askNotBefore is when this process may first ask for the new version. Until then, the
	// holders serve processes that need it more urgently.
	askNotBefore time.Duration
	// lastAnswer is when a holder last sent a part or a Defer.
	lastAnswer time.Duration
	// storeReadAt is when this process may read the store itself, or zero if no such read is
	// needed.
	storeReadAt time.Duration
	// transfer is the transfer in progress, or nil.
	transfer   *transfer
	roundTrips roundTrip
	// wantWhole is set if a change was invalid or did not apply to the version in force. The
	// next ask is then for the whole table.
	wantWhole bool
	server    server
	counts    Counts
	// buffer is reused for the messages that are sent.
	buffer []byte
}

// revision is an earlier version of the configuration.
type revision struct {
	version, sum uint64
	format       format
	encoded      []byte
}

// Option configures a Member.
type Option func(*Member)

// WithAskDelay sets the function that returns the range of the random delay before the
// process asks for a new version. Processes that need the version more urgently are thus
// served first. By default there is no delay.
func WithAskDelay(askDelay func() (minDelay, maxDelay time.Duration)) Option {
	return func(m *Member) { m.askDelay = askDelay }
}

// New returns a Member without a configuration for the process at self. The relay argument
// says whether the process is a relay.
func New(self netip.Addr, relay bool, out Outbox, random *rand.Rand, opts ...Option) *Member {
	m := &Member{
		self: self, relay: relay, out: out, random: random, askDelay: func() (minDelay, maxDelay time.Duration) { return 0, 0 },
		server: newServer(),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Table returns the configuration in force.
func (m *Member) Table() directory.Table { return m.current.table }

// Source describes where the configuration in force came from.
func (m *Member) Source() string { return m.source }

// Counts returns the counters.
func (m *Member) Counts() Counts { return m.counts }

// Behind returns the highest version that a process has named, and for how long this
// process has been behind. It returns zeros if no version is higher than the one in force.
func (m *Member) Behind(now time.Duration) (version uint64, behindFor time.Duration) {
	if !m.isBehind() {
		return 0, 0
	}
	return m.newestKnown, now - m.behindSince
}

// StoreDue reports whether this process, one of the given number of relays, should read the
// configuration from the store now: it has been behind for longer than _maxBehind and gets
// nothing from its peers. Since many relays may be in that state at once, each waits for a
// random time that grows with the number of relays.
func (m *Member) StoreDue(now time.Duration, relays int) bool {
	version, behindFor := m.Behind(now)
	progressing := m.transfer != nil && now-m.transfer.lastProgress <= _stallTimeout
	answeredRecently := now-m.lastAnswer <= _stallTimeout && behindFor <= 2*_maxBehind
	if version == 0 || behindFor <= _maxBehind || progressing || answeredRecently {
		m.storeReadAt = 0
		return false
	}
	spread := max(time.Duration(relays), 1) * _storeReadSpacing
	if m.storeReadAt == 0 {
		m.storeReadAt = now + time.Duration(m.random.Int64N(int64(spread)))
	}
	if now < m.storeReadAt {
		return false
	}
	m.storeReadAt = now + max(spread, _maxBehind)
	return true
}

// Accept puts a table in force if its version is higher than the current one. It reports
// whether it did. The source argument is what the Source method returns from then on.
func (m *Member) Accept(now time.Duration, table directory.Table, source string) bool {
	if table.Version() <= m.version() {
		return false
	}
	s, err := newSnapshot(table)
	if err != nil {
		m.refuse(now, source, err)
		return false
	}
	m.adopt(now, s, source)
	return true
}

// HandleMessage handles a message about configurations from another process. It reports
// whether a higher version has come into force. The message must not be empty.
func (m *Member) HandleMessage(now time.Duration, message []byte) bool {
	m.counts.GotBytes += uint64(len(message))
	version := m.version()
	var err error
	switch peer.Kind(message[0]) {
	case peer.KindAsk:
		var a peer.Ask
		if a, err = peer.DecodeAsk(message); err == nil {
			m.handleAsk(now, a)
		}
	case peer.KindPart:
		var p peer.Part
		if p, err = peer.DecodePart(message); err == nil {
			m.handlePart(now, p)
		}
	case peer.KindDefer:
		var d peer.Defer
		if d, err = peer.DecodeDefer(message); err == nil {
			m.handleDefer(now, d)
		}
	default:
		err = trace.BadParameter("configuration: unexpected message kind %#x", message[0])
	}
	if err != nil {
		m.refuse(now, "message", err)
	}
	return m.version() > version
}

// Tick handles timeouts. It is called about every 20 ms.
func (m *Member) Tick(now time.Duration) {
	m.server.expire(now)
	if m.isBehind() {
		m.checkTransfer(now)
	}
}

// isBehind reports whether a process has named a version higher than the one in force.
func (m *Member) isBehind() bool { return m.newestKnown > m.version() }

func (m *Member) version() uint64 { return m.current.table.Version() }

// adopt puts a version in force.
func (m *Member) adopt(now time.Duration, s snapshot, source string) {
	if m.version() > 0 {
		m.history = slices.Insert(m.history, 0, revision{version: m.version(), sum: m.current.sum, format: m.current.tableFormat(), encoded: m.current.encoded})
		m.history = m.history[:min(len(m.history), _maxHistory)]
	}
	m.current, m.source, m.wantWhole = s, source, false
	m.server.versionChanged(now)
	m.candidates = slices.DeleteFunc(m.candidates, func(other *candidate) bool { return other.version <= m.version() })
	if t := m.transfer; t != nil && (t.payload.Version <= m.version() || t.payload.Base != 0 && t.payload.Base != m.version()) {
		m.transfer = nil
	}
	m.behindSince = now
}

// refuse counts and logs an invalid message or payload. The source argument says where the
// message or payload came from.
func (m *Member) refuse(now time.Duration, source string, err error) {
	m.counts.Refused++
	m.out.LogBelief(decision.Belief{
		Subject: "configuration", Name: strconv.FormatUint(m.newestKnown, 10), To: "refused", Reason: err.Error() + ", from " + source,
		Version: m.version(), Age: max(now-m.behindSince, 0),
	})
}

func (m *Member) send(to netip.Addr, message []byte) {
	m.buffer = message
	m.counts.SentBytes += uint64(len(message))
	m.out.ToPeer(to, message)
}
