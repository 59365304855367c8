package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/service"
)

// Kind tells the two kinds of entries apart.
type Kind uint8

// The kinds of entries.
const (
	// KindUpstream is the entry of an upstream's agent.
	KindUpstream Kind = iota + 1
	// KindMember is the entry of a balancer.
	KindMember
)

// Key names an entry: its kind and its data address.
type Key struct {
	Kind Kind           `cbor:"1,keyasint"`
	Addr netip.AddrPort `cbor:"2,keyasint"`
}

// UpstreamKey names the entry of the upstream at a data address.
func UpstreamKey(addr netip.AddrPort) Key { return Key{KindUpstream, unmap(addr)} }

// MemberKey names the entry of the balancer at a data address.
func MemberKey(addr netip.AddrPort) Key { return Key{KindMember, unmap(addr)} }

// unmap gives an IPv4 address its one form.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Mark orders the states of one record.
type Mark struct {
	Incarnation service.Incarnation
	Seq         uint64
}

// Compare returns -1, 0 or 1 as m comes before, is, or comes after other.
func (m Mark) Compare(other Mark) int {
	return cmp.Or(cmp.Compare(m.Incarnation, other.Incarnation), cmp.Compare(m.Seq, other.Seq))
}

// entry is what is known at one address. Its three parts, the record, suspect
// and gone, only grow; a part that another one has overtaken is zeroed, so that
// equal knowledge has one form and one hash.
type entry struct {
	key      Key
	upstream *Upstream
	member   *Member
	// suspect is the highest state that was suspected.
	suspect Mark
	// gone is the highest incarnation that a verdict says has ended.
	gone service.Incarnation

	// fadedAt is when the run ended, if it has, else when the suspicion in force
	// came up.
	downSince time.Duration
	// servingAt is when the run was first seen to serve.
	servingAt time.Duration
	// hash is of the three parts; offered says that digests include it.
	hash     uint64
	inDigest bool
	// offeredHash is the hash that the digests include.
	digestHash uint64
}

func (e *entry) known() bool { return e.upstream != nil || e.member != nil }

func (e *entry) mark() Mark {
	switch {
	case e.upstream != nil:
		return Mark{e.upstream.Incarnation, e.upstream.Seq}
	case e.member != nil:
		return Mark{e.member.Incarnation, e.member.Seq}
	}
	return Mark{}
}

// said returns the state that the owner announced.
func (e *entry) announcedState() service.State {
	switch {
	case e.upstream != nil:
		return e.upstream.State
	case e.member != nil:
		return e.member.State
	}
	return 0
}

func (e *entry) state() service.State {
	if e.ended() {
		return service.Gone
	}
	return e.announcedState()
}

// ended says that no run is known here that has not ended.
func (e *entry) ended() bool {
	return !e.known() || e.gone >= e.mark().Incarnation
}

func (e *entry) suspected() bool {
	return !e.ended() && e.suspect.Incarnation == e.mark().Incarnation && e.suspect.Seq >= e.mark().Seq
}

// merge takes the higher of each part. It reports whether anything changed.
func (e *entry) merge(now time.Duration, d Delta) bool {
	before := *e
	e.mergeRecord(d)
	if at := d.suspect(); at.Compare(e.suspect) > 0 {
		e.suspect = at
	}
	e.gone = max(e.gone, d.Gone, d.announcedGone())
	e.normalize()
	e.updateTimes(now, d, &before)
	e.hash = e.contentHash()
	return e.hash != before.hash
}

func (e *entry) updateTimes(now time.Duration, d Delta, before *entry) {
	sameRun := before.known() && before.mark().Incarnation == e.mark().Incarnation
	if e.announcedState() == service.Serving && (!sameRun || before.announcedState() != service.Serving) {
		e.servingAt = now
	}
	if e.ttl() == 0 {
		return
	}
	// The earliest time counts, so that the age only grows. The age of a mere
	// suspicion says nothing of when a run ended.
	at := now
	if d.reportsEnd() == e.ended() {
		at -= d.age()
	}
	if !sameRun || e.ttl() != before.ttl() || at < e.downSince {
		e.downSince = at
	}
}

// life returns how long the entry is remembered; zero is without end.
func (e *entry) ttl() time.Duration {
	switch {
	case e.ended():
		return TombstoneTTL
	case e.suspected():
		return SuspectTTL
	}
	return 0
}

func (e *entry) mergeRecord(d Delta) {
	switch {
	case d.Upstream != nil:
		if e.upstream == nil || newer(e.upstream, d.Upstream) {
			u := *d.Upstream
			e.upstream = &u
		}
	case d.Member != nil:
		if e.member == nil || newer(e.member, d.Member) {
			m := *d.Member
			e.member = &m
		}
	case d.Progress != nil:
		e.applyProgress(*d.Progress)
	}
}

// advance applies a change of the parts of a record that change within one
// incarnation. Without the record of that incarnation it has no meaning; a
// digest will bring the whole record.
func (e *entry) applyProgress(p Progress) {
	at := e.mark()
	if at.Incarnation != p.Incarnation || p.Seq <= at.Seq {
		return
	}
	switch {
	case e.upstream != nil:
		u := *e.upstream
		u.Seq, u.State, u.Load = p.Seq, p.State, p.Load
		if u.Validate() == nil {
			e.upstream = &u
		}
	case e.member != nil:
		m := *e.member
		m.Seq, m.State, m.Revision = p.Seq, p.State, p.Revision
		e.member = &m
	}
}

// record is what Upstream and Member have in common here.
type record interface {
	appendTo(b []byte) []byte
	mark() Mark
}

func (u *Upstream) mark() Mark { return Mark{u.Incarnation, u.Seq} }
func (m *Member) mark() Mark   { return Mark{m.Incarnation, m.Seq} }

// newer says whether to replace a record. Two records of one mark only exist
// if a writer broke its promise; all processes then prefer the same one.
func newer(old, record record) bool {
	if order := record.mark().Compare(old.mark()); order != 0 {
		return order > 0
	}
	return string(record.appendTo(nil)) > string(old.appendTo(nil))
}

func (e *entry) normalize() {
	if !e.known() {
		return
	}
	at := e.mark()
	if e.gone < at.Incarnation {
		e.gone = 0
	}
	if e.suspect.Compare(at) < 0 || e.suspect.Incarnation <= e.gone {
		e.suspect = Mark{}
	}
}

// _recordSize is room for the three parts of most entries, in octets.
const _hashBufferSize = 160

// sum hashes the three parts.
func (e *entry) contentHash() uint64 {
	b := make([]byte, 0, _hashBufferSize)
	b = append(b, byte(e.key.Kind))
	b = appendAddr(b, e.key.Addr)
	switch {
	case e.upstream != nil:
		b = e.upstream.appendTo(b)
	case e.member != nil:
		b = e.member.appendTo(b)
	}
	b = binary.AppendUvarint(b, uint64(e.suspect.Incarnation))
	b = binary.AppendUvarint(b, e.suspect.Seq)
	b = binary.AppendUvarint(b, uint64(e.gone))
	return xxhash.Sum64(b)
}

func (u *Upstream) appendTo(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(u.Service))
	b = appendText(b, string(u.Name))
	b = appendText(b, string(u.Place))
	b = appendAddr(b, u.Control)
	b = binary.AppendUvarint(b, uint64(u.Incarnation))
	b = binary.AppendUvarint(b, u.Seq)
	b = append(b, byte(u.State), byte(u.Load))
	return binary.AppendUvarint(b, uint64(u.Weight))
}

func (m *Member) appendTo(b []byte) []byte {
	b = appendText(b, m.Name)
	b = appendText(b, string(m.Place))
	b = appendAddr(b, m.Control)
	b = binary.AppendUvarint(b, uint64(m.Incarnation))
	b = binary.AppendUvarint(b, m.Seq)
	b = append(b, byte(m.State))
	return binary.AppendUvarint(b, uint64(m.Revision))
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendAddr(b []byte, addr netip.AddrPort) []byte {
	ip := addr.Addr().Unmap().As4()
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, addr.Port())
}
