package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/service"
)

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entries.
const (
	// KindUpstream is the kind of the entry of an upstream, written by its agent.
	KindUpstream Kind = iota + 1
	// KindMember is the kind of the entry of a balancer.
	KindMember
)

// Key identifies an entry by its kind and data address.
type Key struct {
	Kind Kind           `cbor:"1,keyasint"`
	Addr netip.AddrPort `cbor:"2,keyasint"`
}

// UpstreamKey returns the key of the upstream with a data address.
func UpstreamKey(addr netip.AddrPort) Key { return Key{KindUpstream, unmap(addr)} }

// MemberKey returns the key of the balancer with a data address.
func MemberKey(addr netip.AddrPort) Key { return Key{KindMember, unmap(addr)} }

// unmap converts an IPv4-mapped IPv6 address to the IPv4 address.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// RecordVersion is the version of a record. Versions order the states of one record, first
// by incarnation, then by sequence number.
type RecordVersion struct {
	Incarnation service.Incarnation
	Seq         uint64
}

// Compare returns -1, 0 or 1 if v is lower than, equal to, or higher than other.
func (v RecordVersion) Compare(other RecordVersion) int {
	return cmp.Or(cmp.Compare(v.Incarnation, other.Incarnation), cmp.Compare(v.Seq, other.Seq))
}

// entry holds the three replicated parts for one key: the record (upstream or member),
// suspect, and gone. A merge takes the higher value of each part. A part that another
// part has superseded is zeroed, so that equivalent entries are identical and have equal
// hashes.
type entry struct {
	key      Key
	upstream *Upstream
	member   *Member
	// suspect is the highest version that has been suspected.
	suspect RecordVersion
	// gone is the highest incarnation that has ended by verdict or announcement.
	gone service.Incarnation

	// downSince is the time at which the run ended, if it has ended, else the time at
	// which the current suspicion began.
	downSince time.Duration
	// servingAt is the time at which the change to the state Serving was received.
	servingAt time.Duration
	// hash is the result of contentHash.
	hash uint64
	// inDigest reports whether the digests include the entry. digestHash is the hash
	// with which they include it.
	inDigest   bool
	digestHash uint64
}

func (e *entry) hasRecord() bool { return e.upstream != nil || e.member != nil }

// version returns the version of the record, or zero if there is no record.
func (e *entry) version() RecordVersion {
	switch {
	case e.upstream != nil:
		return RecordVersion{e.upstream.Incarnation, e.upstream.Seq}
	case e.member != nil:
		return RecordVersion{e.member.Incarnation, e.member.Seq}
	}
	return RecordVersion{}
}

// announcedState returns the state in the record, or zero if there is no record.
func (e *entry) announcedState() service.State {
	switch {
	case e.upstream != nil:
		return e.upstream.State
	case e.member != nil:
		return e.member.State
	}
	return 0
}

// state returns Gone if the run has ended, else the state in the record.
func (e *entry) state() service.State {
	if e.ended() {
		return service.Gone
	}
	return e.announcedState()
}

// ended reports whether the run of the record has ended, or there is no record.
func (e *entry) ended() bool {
	return !e.hasRecord() || e.gone >= e.version().Incarnation
}

// suspected reports whether the current state of a run that has not ended is suspected.
func (e *entry) suspected() bool {
	return !e.ended() && e.suspect.Incarnation == e.version().Incarnation && e.suspect.Seq >= e.version().Seq
}

// merge replaces each part for which the delta has a higher value, and reports whether
// the entry has changed.
func (e *entry) merge(now time.Duration, d Delta) bool {
	before := *e
	e.mergeRecord(d)
	if suspect := d.suspect(); suspect.Compare(e.suspect) > 0 {
		e.suspect = suspect
	}
	e.gone = max(e.gone, d.Gone, d.announcedGone())
	e.normalize()
	e.updateTimes(now, d, &before)
	e.hash = e.contentHash()
	return e.hash != before.hash
}

// updateTimes updates servingAt and downSince after a merge.
func (e *entry) updateTimes(now time.Duration, d Delta, before *entry) {
	sameRun := before.hasRecord() && before.version().Incarnation == e.version().Incarnation
	if e.announcedState() == service.Serving && (!sameRun || before.announcedState() != service.Serving) {
		e.servingAt = now
	}
	if e.ttl() == 0 {
		return
	}
	// The earliest time is retained, so that the age never decreases. The age in the
	// delta counts only if delta and entry agree on whether the run has ended: the age
	// of a suspicion is not the time since the end of a run.
	at := now
	if d.reportsEnd() == e.ended() {
		at -= d.age()
	}
	if !sameRun || e.ttl() != before.ttl() || at < e.downSince {
		e.downSince = at
	}
}

// ttl returns how long the entry is retained after downSince. Zero means without limit.
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

// applyProgress applies a change within one incarnation to the record. It ignores the
// change if the entry has no record of that incarnation; a comparison of digests will
// transfer the complete record.
func (e *entry) applyProgress(p Progress) {
	version := e.version()
	if version.Incarnation != p.Incarnation || p.Seq <= version.Seq {
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

// record is implemented by Upstream and Member.
type record interface {
	appendTo(b []byte) []byte
	version() RecordVersion
}

func (u *Upstream) version() RecordVersion { return RecordVersion{u.Incarnation, u.Seq} }
func (m *Member) version() RecordVersion   { return RecordVersion{m.Incarnation, m.Seq} }

// newer reports whether record replaces old. Two different records with the same version
// exist only if a writer has numbered two states alike; all processes then prefer the
// same one, by the order of their encodings.
func newer(old, record record) bool {
	if order := record.version().Compare(old.version()); order != 0 {
		return order > 0
	}
	return string(record.appendTo(nil)) > string(old.appendTo(nil))
}

// normalize zeroes the parts that another part has superseded.
func (e *entry) normalize() {
	if !e.hasRecord() {
		return
	}
	version := e.version()
	if e.gone < version.Incarnation {
		e.gone = 0
	}
	if e.suspect.Compare(version) < 0 || e.suspect.Incarnation <= e.gone {
		e.suspect = RecordVersion{}
	}
}

// _hashBufferSize is the initial capacity of the buffer in contentHash, in octets. The
// encoding of most entries fits.
const _hashBufferSize = 160

// contentHash returns the hash of the key and the three parts.
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

// appendTo appends an encoding of the record without its key.
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

// appendTo appends an encoding of the record without its key.
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
