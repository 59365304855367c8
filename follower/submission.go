package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// _maxPutAttempts is the maximum number of attempts to write an immutable object.
const _maxPutAttempts = 5

// submission is the state of one call of Editor.Submit across its attempts.
type submission struct {
	editor *Editor
	change audit.Change
	// editsStored is true once the edits are stored in a separate object.
	editsStored bool
	// minVersion is the lowest version that the head may currently have; an
	// older head is a stale read.
	minVersion platform.Version
	// ambiguous is true while an attempt to replace the head at
	// ambiguousVersion may have succeeded or may still succeed.
	ambiguous        bool
	ambiguousVersion platform.Version
}

// attempt reads the head, judges the change, and tries to commit it. It returns
// a permanent error if the change is refused or a retry cannot succeed.
func (s *submission) attempt(ctx context.Context) (audit.Change, error) {
	state, err := s.editor.load(ctx, s.minVersion)
	if err != nil {
		return s.change, markPermanent(err)
	}
	if state.Head.IsRestored(state.epoch()) {
		return s.change, trace.ConnectionProblem(nil, "the platform's store was restored from a copy, and no balancer has confirmed the settings in it yet")
	}
	if s.change.Base > state.Head.Revision {
		return s.change, trace.ConnectionProblem(nil, "the platform returned revision %d, the change is based on %d", state.Head.Revision, s.change.Base)
	}
	later, err := s.editor.archive.changes(ctx, state.Head, s.change.Base)
	if err != nil {
		return s.change, markPermanent(err)
	}
	verdict, err := audit.Evaluate(state.Head, state.Document.Tree(), s.change, later)
	if already, ok := verdict.(audit.AlreadyCommitted); ok {
		return already.Change, nil
	}
	if state.version > s.ambiguousVersion {
		s.ambiguous = false
	}
	if err != nil {
		return s.change, backoff.Permanent(err)
	}
	return s.commit(ctx, state, verdict.(audit.Accepted).Tree)
}

// commit replaces the head on condition that its version is still that of state.
func (s *submission) commit(ctx context.Context, state State, tree settings.Tree) (audit.Change, error) {
	if err := s.checkShardSizes(tree); err != nil {
		return s.change, backoff.Permanent(err)
	}
	if err := s.storeEdits(ctx); err != nil {
		return s.change, markPermanent(err)
	}
	head := state.Head
	if head.IsFull() {
		var err error
		head, err = s.editor.archive.compactHead(ctx, state)
		if err != nil {
			return s.change, markPermanent(err)
		}
	}
	next, accepted, err := head.With(s.change, tree)
	if err != nil {
		return s.change, backoff.Permanent(err)
	}
	if !state.needsConfirmation() {
		next = next.WithEpoch(state.epoch())
	}
	version, err := s.editor.archive.putHead(ctx, next, state.version)
	switch {
	case err == nil && state.version == 0:
		return accepted, s.editor.confirmFirst(ctx, next, version)
	case err == nil:
		return accepted, nil
	case platform.IsAmbiguous(err):
		s.ambiguous, s.ambiguousVersion = true, state.version
	case trace.IsCompareFailed(err):
		s.minVersion = state.version + 1
	default:
		return s.change, markPermanent(err)
	}
	return s.change, err
}

// storeEdits writes edits that are too large for the head to a separate object.
// It returns a BadParameter error if different edits are already stored under
// the change's id.
func (s *submission) storeEdits(ctx context.Context) error {
	_, edits, err := s.change.Compact()
	if edits == nil || err != nil || s.editsStored {
		return err
	}
	store, key := s.editor.archive.store, audit.EditsKey(s.change.ID)
	if err := putImmutable(ctx, store, key, edits); err != nil {
		return err
	}
	object, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, edits) {
		return trace.BadParameter("change id %s is already used by other edits", s.change.ID)
	}
	s.editsStored = true
	return nil
}

// deleteEdits deletes the separately stored edits if err is a conflict. A conflict
// is permanent, because the conflicting changes stay in the accepted history, so
// the edits can never be needed.
func (s *submission) deleteEdits(ctx context.Context, err error) {
	var conflict *audit.ConflictError
	if !s.editsStored || !errors.As(err, &conflict) {
		return
	}
	// If the deletion fails, the unused object only takes up space.
	_ = deleteObject(ctx, s.editor.archive.store, audit.EditsKey(s.change.ID))
}

// checkShardSizes returns a LimitExceeded error if a shard that the change edits
// would exceed the platform's maximum object size.
func (s *submission) checkShardSizes(tree settings.Tree) error {
	shards := tree.Shards()
	for _, edit := range s.change.Edits {
		name := settings.ShardOf(edit.Path)
		data, err := json.Marshal(shards[name])
		if err != nil {
			return trace.Wrap(err, "encode shard %s", name)
		}
		if len(data) > platform.MaxValueSize {
			return trace.LimitExceeded("the settings of %s have %d octets, the platform keeps up to %d", name, len(data), platform.MaxValueSize)
		}
	}
	return nil
}

// finalError returns the error of Submit after the last attempt: an
// AmbiguousError if the change may have been accepted.
func (s *submission) finalError(err error) error {
	if err == nil || !s.ambiguous {
		return trace.Wrap(err, "change %s was not accepted", s.change.ID)
	}
	return &platform.AmbiguousError{Op: "change " + string(s.change.ID) + ", put", Key: audit.HeadKey, Err: err}
}

// compactHead removes the oldest batch of changes from a full head. It writes
// the batch and the shards that have changed since the last snapshot, and deletes
// shards that were retired long enough ago. The objects that it writes depend only
// on the accepted history and are unused until the new head is committed, so
// compactHead may run several times.
func (a archive) compactHead(ctx context.Context, state State) (audit.Head, error) {
	head := state.Head
	batch := head.OldestBatch()
	data, err := json.Marshal(batch)
	if err != nil {
		return head, trace.Wrap(err, "encode audit batch")
	}
	if err := putImmutable(ctx, a.store, audit.BatchKey(batch.Changes[0].Revision), data); err != nil {
		return head, err
	}
	shards, err := a.writeSnapshot(ctx, state)
	if err != nil {
		return head, err
	}
	for _, retired := range head.Expired() {
		if err := deleteObject(ctx, a.store, audit.ShardKey(retired.Revision, retired.Shard)); err != nil {
			return head, err
		}
	}
	return head.WithSnapshot(shards), nil
}

// writeSnapshot writes the shards that have changed since the last snapshot. It
// returns the revision under which each shard of the tree is stored.
func (a archive) writeSnapshot(ctx context.Context, state State) (map[string]settings.Revision, error) {
	changes, _ := state.Head.After(state.Head.Snapshot.Revision)
	changes, err := a.loadEdits(ctx, changes)
	if err != nil {
		return nil, err
	}
	changed := make(map[string]bool)
	for _, change := range changes {
		for _, edit := range change.Edits {
			changed[settings.ShardOf(edit.Path)] = true
		}
	}
	shards := make(map[string]settings.Revision)
	for name, shard := range state.Document.Tree().Shards() {
		shards[name] = state.Head.Snapshot.Shards[name]
		if shards[name] != 0 && !changed[name] {
			continue
		}
		shards[name] = state.Head.Revision
		data, err := json.Marshal(shard)
		if err != nil {
			return nil, trace.Wrap(err, "encode shard %s", name)
		}
		if err := putImmutable(ctx, a.store, audit.ShardKey(state.Head.Revision, name), data); err != nil {
			return nil, err
		}
	}
	return shards, nil
}

// putImmutable creates an object that is never changed. It returns nil if the
// object exists already, because only one content is ever written under its key;
// storeEdits verifies this for edits, whose key contains an id chosen by the author.
func putImmutable(ctx context.Context, store platform.Store, key string, value json.RawMessage) error {
	var err error
	for range _maxPutAttempts {
		_, err = store.Put(ctx, key, value, 0)
		if err == nil || trace.IsCompareFailed(err) {
			return nil
		}
		if !platform.IsAmbiguous(err) {
			return err
		}
	}
	return trace.ConnectionProblem(err, "put %s", key)
}

// deleteObject deletes an object that is no longer needed. It ignores lost
// replies and version conflicts, after which the object at worst remains.
func deleteObject(ctx context.Context, store platform.Store, key string) error {
	object, err := store.Get(ctx, key)
	if trace.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	err = store.Delete(ctx, key, object.Version)
	if platform.IsAmbiguous(err) || trace.IsCompareFailed(err) || trace.IsNotFound(err) {
		return nil
	}
	return err
}

// markPermanent marks err as permanent unless a retry may succeed. NotFound is
// retried: a missing snapshot shard or batch means that the head that was read is
// out of date.
func markPermanent(err error) error {
	if trace.IsConnectionProblem(err) || trace.IsLimitExceeded(err) || trace.IsNotFound(err) || platform.IsAmbiguous(err) {
		return err
	}
	return backoff.Permanent(err)
}
