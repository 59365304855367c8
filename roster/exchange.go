package roster

import (
	"time"

	"github.com/gravitational/trace"
)

const (
	// _maxRumors is the maximum number of rumors in a message that is sent.
	_maxRumors = 256
	// _maxSyncBuckets is the maximum number of buckets that one Sync summarizes.
	_maxSyncBuckets = 16
	// _maxDeltas is the maximum number of deltas in a valid message.
	_maxDeltas = 8192
)

// An exchange between two processes A and B consists of up to three calls. Any request or
// reply may be lost, because a later exchange transfers what is still missing:
//
//	A: Push{rumors, group hashes}
//	B: PushReply{rumors, hashes of the buckets in groups that differ}
//	A: Sync{summaries of the buckets that differ}
//	B: SyncReply{entries that differ or that A lacks, keys wanted}
//	A: Push{entries wanted}
//	B: PushReply{rumors}

// Push sends entries or changes. If Groups is set, it also requests the hashes of the
// buckets in groups that differ.
type Push struct {
	Deltas []Delta `cbor:"1,keyasint,omitempty"`
	Groups []byte  `cbor:"2,keyasint,omitempty"`
}

// PushReply answers a Push.
type PushReply struct {
	Deltas  []Delta      `cbor:"1,keyasint,omitempty"`
	Buckets []BucketHash `cbor:"2,keyasint,omitempty"`
}

// Sync sends summaries of some buckets, and requests the entries that differ.
type Sync struct {
	Summaries []Summary `cbor:"1,keyasint,omitempty"`
}

// SyncReply answers a Sync. Wants are the keys of the entries that the answering process
// requests in turn.
type SyncReply struct {
	Deltas []Delta `cbor:"1,keyasint,omitempty"`
	Wants  []Key   `cbor:"2,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the size of Groups and all deltas are valid.
func (p Push) Validate() error {
	if len(p.Groups) != 0 && len(p.Groups) != GroupsSize {
		return trace.BadParameter("push: %d octets of group hashes, want %d", len(p.Groups), GroupsSize)
	}
	return validateDeltas(p.Deltas)
}

// Validate returns a BadParameter error unless the number of buckets and all deltas are valid.
func (p PushReply) Validate() error {
	if len(p.Buckets) > _buckets {
		return trace.BadParameter("push reply: %d buckets, want at most %d", len(p.Buckets), _buckets)
	}
	return validateDeltas(p.Deltas)
}

// Validate returns a BadParameter error unless the number of summaries and the summaries are valid.
func (s Sync) Validate() error {
	if len(s.Summaries) > _maxSyncBuckets {
		return trace.BadParameter("sync: %d buckets, want at most %d", len(s.Summaries), _maxSyncBuckets)
	}
	for _, summary := range s.Summaries {
		if err := summary.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Validate returns a BadParameter error unless all keys and deltas are valid.
func (s SyncReply) Validate() error {
	for _, key := range s.Wants {
		if err := key.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return validateDeltas(s.Deltas)
}

func validateDeltas(deltas []Delta) error {
	if len(deltas) > _maxDeltas {
		return trace.BadParameter("%d deltas, want at most %d", len(deltas), _maxDeltas)
	}
	for _, d := range deltas {
		if err := d.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Push returns the first message of an exchange with a process. It contains pending
// rumors and, if compare is set, the group hashes.
func (r *Roster) Push(now time.Duration, to Key, compare bool) Push {
	p := Push{Deltas: r.Rumors(now, to, _maxRumors)}
	if compare {
		p.Groups = r.Groups()
	}
	return p
}

// AnswerPush merges a Push from a process and returns the reply.
func (r *Roster) AnswerPush(now time.Duration, from Key, p Push) (PushReply, Outcome) {
	out := r.Apply(now, from, p.Deltas)
	reply := PushReply{Deltas: r.Rumors(now, from, _maxRumors)}
	if len(p.Groups) != 0 {
		reply.Buckets = r.Buckets(p.Groups)
	}
	return reply, out
}

// ApplyPushReply merges the reply to a Push. The returned Sync summarizes up to
// _maxSyncBuckets of the buckets that differ; it is empty if none does.
func (r *Roster) ApplyPushReply(now time.Duration, from Key, reply PushReply) (Sync, Outcome) {
	out := r.Apply(now, from, reply.Deltas)
	differing := r.Differing(reply.Buckets)
	if len(differing) > _maxSyncBuckets {
		// Each exchange begins at a different bucket, so that buckets that always differ
		// do not prevent the others from being compared.
		start := int(r.syncOffset) % len(differing)
		differing = append(differing[start:len(differing):len(differing)], differing[:start]...)[:_maxSyncBuckets]
		r.syncOffset += _maxSyncBuckets
	}
	return Sync{r.Summarize(differing)}, out
}

// AnswerSync returns the reply to a Sync.
func (r *Roster) AnswerSync(now time.Duration, s Sync) SyncReply {
	deltas, wants := r.Compare(now, s.Summaries)
	return SyncReply{deltas, wants}
}

// ApplySyncReply merges the reply to a Sync. The returned Push contains the entries that
// the other process wants; it is empty if there are none.
func (r *Roster) ApplySyncReply(now time.Duration, from Key, reply SyncReply) (Push, Outcome) {
	p := Push{Deltas: r.Deltas(now, reply.Wants)}
	return p, r.Apply(now, from, reply.Deltas)
}
