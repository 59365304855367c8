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

// _putTries is how often the write of an immutable object is tried.
const _putTries = 5

// submission is one change on its way to being accepted or refused.
type submission struct {
	editor *Editor
	change audit.Change
	// apart is true once the edits are kept in an object of their own.
	apart bool
	// floor is the lowest version of the head that is not known to be replaced.
	floor platform.Version
	// unanswered is true while an attempt at version unsettled may have
	// taken effect or may still do so.
	unanswered bool
	unsettled  platform.Version
}

// attempt reads the head, judges the change, and tries to commit it. It
// returns a permanent error once the change is refused.
func (s *submission) attempt(ctx context.Context) (audit.Change, error) {
	state, err := s.editor.load(ctx, s.floor)
	if err != nil {
		return s.change, retryable(err)
	}
	if s.change.Base > state.Head.Revision {
		return s.change, trace.ConnectionProblem(nil, "the platform returned revision %d, the change is based on %d", state.Head.Revision, s.change.Base)
	}
	later, err := s.editor.archive.changes(ctx, state.Head, s.change.Base)
	if err != nil {
		return s.change, retryable(err)
	}
	verdict, err := audit.Judge(state.Head, state.Document.Tree(), s.change, later)
	if already, ok := verdict.(audit.Already); ok {
		return already.Change, nil
	}
	if state.version > s.unsettled {
		s.unanswered = false
	}
	if err != nil {
		return s.change, backoff.Permanent(err)
	}
	return s.commit(ctx, state, verdict.(audit.Accepted).Tree)
}

// commit replaces the head on condition that it is still the one in state.
func (s *submission) commit(ctx context.Context, state State, tree settings.Tree) (audit.Change, error) {
	if err := s.checkShards(tree); err != nil {
		return s.change, backoff.Permanent(err)
	}
	if err := s.keepEdits(ctx); err != nil {
		return s.change, retryable(err)
	}
	head := state.Head
	if head.IsFull() {
		var err error
		head, err = s.editor.archive.relieve(ctx, state)
		if err != nil {
			return s.change, retryable(err)
		}
	}
	next, accepted, err := head.With(s.change, tree)
	if err != nil {
		return s.change, backoff.Permanent(err)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return s.change, backoff.Permanent(trace.Wrap(err, "encode settings head"))
	}
	_, err = s.editor.archive.store.Put(ctx, audit.HeadKey, data, state.version)
	switch {
	case err == nil:
		return accepted, nil
	case platform.IsAmbiguous(err):
		s.unanswered, s.unsettled = true, state.version
	case trace.IsCompareFailed(err):
		s.floor = state.version + 1
	default:
		return s.change, retryable(err)
	}
	return s.change, err
}

// keepEdits writes edits that are too large for the head. It refuses an id
// under which other edits are kept.
func (s *submission) keepEdits(ctx context.Context) error {
	_, edits, err := s.change.Compact()
	if edits == nil || err != nil || s.apart {
		return err
	}
	store, key := s.editor.archive.store, audit.EditsKey(s.change.ID)
	if err := putOnce(ctx, store, key, edits); err != nil {
		return err
	}
	object, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, edits) {
		return trace.BadParameter("change id %s is used by other edits", s.change.ID)
	}
	s.apart = true
	return nil
}

// discard deletes edits that were kept for a change that is refused for good:
// whatever is in its way came before it in the accepted history and stays there.
func (s *submission) discard(ctx context.Context, err error) {
	var conflict *audit.ConflictError
	if !s.apart || !errors.As(err, &conflict) {
		return
	}
	// What is left when this fails takes space and does no other harm.
	_ = remove(ctx, s.editor.archive.store, audit.EditsKey(s.change.ID))
}

// checkShards refuses a tree of which a shard would be too large to be kept.
func (s *submission) checkShards(tree settings.Tree) error {
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

// outcome says what is known after the last attempt.
func (s *submission) outcome(err error) error {
	if err == nil || !s.unanswered {
		return trace.Wrap(err, "change %s was not accepted", s.change.ID)
	}
	return &platform.AmbiguousError{Op: "change " + string(s.change.ID) + ", put", Key: audit.HeadKey, Err: err}
}

// relieve moves the oldest batch out of a full head: it writes the batch and
// the shards that have changed since the last snapshot, and deletes shards that
// were retired long ago. What it writes follows from the accepted history, so
// it may be done several times, and is void until the head is committed.
func (a archive) relieve(ctx context.Context, state State) (audit.Head, error) {
	head := state.Head
	batch := head.Leaving()
	data, err := json.Marshal(batch)
	if err != nil {
		return head, trace.Wrap(err, "encode audit batch")
	}
	if err := putOnce(ctx, a.store, audit.BatchKey(batch.Changes[0].Revision), data); err != nil {
		return head, err
	}
	shards, err := a.keep(ctx, state)
	if err != nil {
		return head, err
	}
	for _, retired := range head.Expired() {
		if err := remove(ctx, a.store, audit.ShardKey(retired.Revision, retired.Shard)); err != nil {
			return head, err
		}
	}
	return head.WithSnapshot(shards), nil
}

// keep writes the shards that have changed since the last snapshot.
func (a archive) keep(ctx context.Context, state State) (map[string]settings.Revision, error) {
	since, _ := state.Head.After(state.Head.Snapshot.Revision)
	since, err := a.withEdits(ctx, since)
	if err != nil {
		return nil, err
	}
	changed := make(map[string]bool)
	for _, change := range since {
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
		if err := putOnce(ctx, a.store, audit.ShardKey(state.Head.Revision, name), data); err != nil {
			return nil, err
		}
	}
	return shards, nil
}

// putOnce creates an object that is never changed. It is done if the object
// is there already: only the same content is ever written under its key.
func putOnce(ctx context.Context, store platform.Store, key string, value json.RawMessage) error {
	var err error
	for range _putTries {
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

// remove deletes an object that nobody needs. A lost answer does no harm.
func remove(ctx context.Context, store platform.Store, key string) error {
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

// retryable marks errors as permanent unless time may mend them. A snapshot
// that is gone means that the head has moved on.
func retryable(err error) error {
	if trace.IsConnectionProblem(err) || trace.IsLimitExceeded(err) || trace.IsNotFound(err) || platform.IsAmbiguous(err) {
		return err
	}
	return backoff.Permanent(err)
}
