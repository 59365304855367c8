package roster

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Delta is a message with one entry, or with a change of one entry.
type Delta struct {
	// Kind and Addr identify the entry if neither Upstream nor Member is set.
	Kind Kind           `cbor:"1,keyasint,omitempty"`
	Addr netip.AddrPort `cbor:"2,keyasint,omitzero"`
	// At most one of Upstream, Member and Progress is set.
	Upstream *Upstream `cbor:"3,keyasint,omitempty"`
	Member   *Member   `cbor:"4,keyasint,omitempty"`
	Progress *Progress `cbor:"5,keyasint,omitempty"`
	// SuspectIncarnation and SuspectSeq are the RecordVersion of the highest suspected state.
	SuspectIncarnation service.Incarnation `cbor:"6,keyasint,omitempty"`
	SuspectSeq         uint64              `cbor:"7,keyasint,omitempty"`
	// Gone is the highest incarnation that has ended by verdict or announcement.
	Gone service.Incarnation `cbor:"8,keyasint,omitempty"`
	// Age is the time in seconds since the run ended. If the run has not ended, it is
	// the time in seconds since the suspicion began.
	Age uint32 `cbor:"9,keyasint,omitempty"`
}

// Progress is a change of a record within one incarnation. Its encoding is a third of
// the size of the complete record. A process without a record of the incarnation ignores
// it.
type Progress struct {
	Incarnation service.Incarnation `cbor:"1,keyasint"`
	Seq         uint64              `cbor:"2,keyasint"`
	State       service.State       `cbor:"3,keyasint"`
	Load        Load                `cbor:"4,keyasint,omitempty"`
	Revision    settings.Revision   `cbor:"5,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the delta has a valid key, record, state
// and age.
func (d Delta) Validate() error {
	if d.Age > uint32(SuspectTTL/time.Second) {
		return trace.BadParameter("delta: age %d s is over %v", d.Age, SuspectTTL)
	}
	switch {
	case d.Upstream != nil:
		return trace.Wrap(d.Upstream.Validate())
	case d.Member != nil:
		return trace.Wrap(d.Member.Validate())
	case d.Progress != nil && (d.Progress.State < service.Starting || d.Progress.State > service.Gone):
		return trace.BadParameter("delta %s: state %d is unknown", d.Addr, d.Progress.State)
	}
	return d.key().Validate()
}

// Validate returns a BadParameter error unless the kind is known and the address valid.
func (k Key) Validate() error {
	if k.Kind != KindUpstream && k.Kind != KindMember {
		return trace.BadParameter("entry %s: kind %d is unknown", k.Addr, k.Kind)
	}
	return service.CheckAddress("entry", k.Addr)
}

func (d Delta) key() Key {
	switch {
	case d.Upstream != nil:
		return UpstreamKey(d.Upstream.Data)
	case d.Member != nil:
		return MemberKey(d.Member.Data)
	}
	return Key{d.Kind, unmap(d.Addr)}
}

// createsEntry reports whether the delta is of use to a process without the entry.
func (d Delta) createsEntry() bool {
	return d.Upstream != nil || d.Member != nil || d.Gone != 0 || d.SuspectIncarnation != 0
}

// announcedGone returns the incarnation if the record or Progress in the delta announces
// that the incarnation is gone, and zero otherwise. The announcement takes effect even
// if the entry already has a newer record.
func (d Delta) announcedGone() service.Incarnation {
	switch {
	case d.Upstream != nil && d.Upstream.State == service.Gone:
		return d.Upstream.Incarnation
	case d.Member != nil && d.Member.State == service.Gone:
		return d.Member.Incarnation
	case d.Progress != nil && d.Progress.State == service.Gone:
		return d.Progress.Incarnation
	}
	return 0
}

// reportsEnd reports whether the delta contains the end of an incarnation.
func (d Delta) reportsEnd() bool { return d.Gone != 0 || d.announcedGone() != 0 }

func (d Delta) suspect() RecordVersion { return RecordVersion{d.SuspectIncarnation, d.SuspectSeq} }

func (d Delta) age() time.Duration { return time.Duration(d.Age) * time.Second }

// delta returns the complete entry.
func (e *entry) delta(now time.Duration) Delta {
	d := Delta{
		Upstream:           e.upstream,
		Member:             e.member,
		SuspectIncarnation: e.suspect.Incarnation,
		SuspectSeq:         e.suspect.Seq,
		Gone:               e.gone,
	}
	if !e.hasRecord() {
		d.Kind, d.Addr = e.key.Kind, e.key.Addr
	}
	if ttl := e.ttl(); ttl != 0 {
		age := min(max(now-e.downSince, 0), ttl)
		d.Age = uint32(age / time.Second)
	}
	return d
}

// rumorDelta returns the entry with its complete record if needsRecord is set, and with
// a Progress instead of the record otherwise.
func (e *entry) rumorDelta(now time.Duration, needsRecord bool) Delta {
	d := e.delta(now)
	if needsRecord || !e.hasRecord() {
		return d
	}
	version := e.version()
	p := &Progress{Incarnation: version.Incarnation, Seq: version.Seq, State: e.announcedState()}
	if e.upstream != nil {
		p.Load = e.upstream.Load
	} else {
		p.Revision = e.member.Revision
	}
	d.Kind, d.Addr = e.key.Kind, e.key.Addr
	d.Upstream, d.Member, d.Progress = nil, nil, p
	return d
}
