package roster

import (
	"time"

	"github.com/gravitational/trace"
)

const (
	// _maxRumors bounds the rumors of one message.
	_maxRumors = 256
	// _maxSyncBuckets bounds the buckets that one sync compares.
	_maxSyncBuckets = 16
	// _maxDeltas bounds the deltas of one message that is taken.
	_maxDeltas = 8192
)

// An exchange between two processes A and B has up to three calls, and each may
// be lost without harm:
//
//	A: Push{rumors, group hashes}   B: PushReply{rumors, bucket hashes of the groups that differ}
//	A: Sync{summaries of the buckets that differ}   B: SyncReply{entries that differ, keys wanted}
//	A: Push{entries wanted}         B: PushReply{rumors}

// Push tells recent changes and, if Groups is set, asks what else differs.
type Push struct {
	Deltas []Delta `cbor:"1,keyasint,omitempty"`
	Groups []byte  `cbor:"2,keyasint,omitempty"`
}

// PushReply answers a Push.
type PushReply struct {
	Deltas  []Delta      `cbor:"1,keyasint,omitempty"`
	Buckets []BucketHash `cbor:"2,keyasint,omitempty"`
}

// Sync lists what one process knows in some buckets.
type Sync struct {
	Summaries []Summary `cbor:"1,keyasint,omitempty"`
}

// SyncReply answers a Sync.
type SyncReply struct {
	Deltas []Delta `cbor:"1,keyasint,omitempty"`
	Wants  []Key   `cbor:"2,keyasint,omitempty"`
}

// Validate returns a BadParameter error unless the message is whole.
func (p Push) Validate() error {
	if len(p.Groups) != 0 && len(p.Groups) != GroupsSize {
		return trace.BadParameter("push: %d octets of group hashes, want %d", len(p.Groups), GroupsSize)
	}
	return validateDeltas(p.Deltas)
}

// Validate returns a BadParameter error unless the message is whole.
func (p PushReply) Validate() error {
	if len(p.Buckets) > _buckets {
		return trace.BadParameter("push reply: %d buckets, want at most %d", len(p.Buckets), _buckets)
	}
	return validateDeltas(p.Deltas)
}

// Validate returns a BadParameter error unless the message is whole.
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

// Validate returns a BadParameter error unless the message is whole.
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

// Push begins an exchange with a process. With compare it asks what else differs.
func (r *Roster) Push(now time.Duration, to Key, compare bool) Push {
	p := Push{Deltas: r.Rumors(now, to, _maxRumors)}
	if compare {
		p.Groups = r.Groups()
	}
	return p
}

// AnswerPush merges a process's Push and answers it.
func (r *Roster) AnswerPush(now time.Duration, from Key, p Push) (PushReply, Outcome) {
	out := r.Apply(now, from, p.Deltas)
	reply := PushReply{Deltas: r.Rumors(now, from, _maxRumors)}
	if len(p.Groups) != 0 {
		reply.Buckets = r.Buckets(p.Groups)
	}
	return reply, out
}

// TakePushReply merges the answer to a Push. The Sync lists some of the buckets
// that differ; it is empty when none does.
func (r *Roster) ApplyPushReply(now time.Duration, from Key, reply PushReply) (Sync, Outcome) {
	out := r.Apply(now, from, reply.Deltas)
	differing := r.Differing(reply.Buckets)
	if len(differing) > _maxSyncBuckets {
		// Each exchange begins at another bucket, so that one that always differs
		// does not keep the rest waiting.
		at := int(r.syncOffset) % len(differing)
		differing = append(differing[at:len(differing):len(differing)], differing[:at]...)[:_maxSyncBuckets]
		r.syncOffset += _maxSyncBuckets
	}
	return Sync{r.Summarize(differing)}, out
}

// AnswerSync answers a Sync.
func (r *Roster) AnswerSync(now time.Duration, s Sync) SyncReply {
	deltas, wants := r.Compare(now, s.Summaries)
	return SyncReply{deltas, wants}
}

// TakeSyncReply merges the answer to a Sync. The Push holds what the other
// process wants; it is empty when that is nothing.
func (r *Roster) ApplySyncReply(now time.Duration, from Key, reply SyncReply) (Push, Outcome) {
	p := Push{Deltas: r.Deltas(now, reply.Wants)}
	return p, r.Apply(now, from, reply.Deltas)
}
