package roster

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Delta is one entry, or a change of one, as it travels between processes.
type Delta struct {
	// Kind and Addr name the entry where no whole record does.
	Kind Kind           `cbor:"1,keyasint,omitempty"`
	Addr netip.AddrPort `cbor:"2,keyasint,omitzero"`
	// At most one of Upstream, Member and Progress is set.
	Upstream *Upstream `cbor:"3,keyasint,omitempty"`
	Member   *Member   `cbor:"4,keyasint,omitempty"`
	Progress *Progress `cbor:"5,keyasint,omitempty"`
	// SuspectIncarnation and SuspectSeq are the highest state suspected.
	SuspectIncarnation service.Incarnation `cbor:"6,keyasint,omitempty"`
	SuspectSeq         uint64              `cbor:"7,keyasint,omitempty"`
	// Gone is the highest incarnation that has ended by verdict.
	Gone service.Incarnation `cbor:"8,keyasint,omitempty"`
	// Age is how many seconds ago the run ended, where it has, else how long the
	// suspicion has been in force.
	Age uint32 `cbor:"9,keyasint,omitempty"`
}

// Progress is a change within one incarnation of a record. It costs a third of
// the whole record, and says nothing to a process that lacks it.
type Progress struct {
	Incarnation service.Incarnation `cbor:"1,keyasint"`
	Seq         uint64              `cbor:"2,keyasint"`
	State       service.State       `cbor:"3,keyasint"`
	Load        Load                `cbor:"4,keyasint,omitempty"`
	Revision    settings.Revision   `cbor:"5,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the delta is whole.
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

// Validate returns a BadParameter error unless the key is whole.
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

// tells says whether the delta holds anything for a process that has no entry.
func (d Delta) createsEntry() bool {
	return d.Upstream != nil || d.Member != nil || d.Gone != 0 || d.SuspectIncarnation != 0
}

// saidGone returns the incarnation that its owner says has ended. It counts
// even if a record that another process holds is preferred to this one.
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

func (d Delta) reportsEnd() bool { return d.Gone != 0 || d.announcedGone() != 0 }

func (d Delta) suspect() Mark { return Mark{d.SuspectIncarnation, d.SuspectSeq} }

func (d Delta) age() time.Duration { return time.Duration(d.Age) * time.Second }

// delta returns the whole entry.
func (e *entry) delta(now time.Duration) Delta {
	d := Delta{
		Upstream:           e.upstream,
		Member:             e.member,
		SuspectIncarnation: e.suspect.Incarnation,
		SuspectSeq:         e.suspect.Seq,
		Gone:               e.gone,
	}
	if !e.known() {
		d.Kind, d.Addr = e.key.Kind, e.key.Addr
	}
	if life := e.ttl(); life != 0 {
		age := min(max(now-e.downSince, 0), life)
		d.Age = uint32(age / time.Second)
	}
	return d
}

// change returns the entry without a record that others have had before.
func (e *entry) rumorDelta(now time.Duration, whole bool) Delta {
	d := e.delta(now)
	if whole || !e.known() {
		return d
	}
	at := e.mark()
	p := &Progress{Incarnation: at.Incarnation, Seq: at.Seq, State: e.announcedState()}
	if e.upstream != nil {
		p.Load = e.upstream.Load
	} else {
		p.Revision = e.member.Revision
	}
	d.Kind, d.Addr = e.key.Kind, e.key.Addr
	d.Upstream, d.Member, d.Progress = nil, nil, p
	return d
}
