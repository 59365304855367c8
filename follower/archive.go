package follower

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// archive reads and writes settings and changes in the platform's store.
type archive struct {
	store platform.Store
}

// head returns the head, which names the latest accepted revision, and the
// version of its object. Both are zero before the first change.
func (a archive) head(ctx context.Context) (audit.Head, platform.Version, error) {
	object, err := a.store.Get(ctx, audit.HeadKey)
	if trace.IsNotFound(err) {
		return audit.Head{}, 0, nil
	}
	if err != nil {
		return audit.Head{}, 0, err
	}
	head, err := decodeHead(object)
	return head, object.Version, err
}

// putHead replaces the head if its object has the expected version, and returns the new one.
func (a archive) putHead(ctx context.Context, head audit.Head, expected platform.Version) (platform.Version, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return 0, trace.Wrap(err, "encode settings head")
	}
	return a.store.Put(ctx, audit.HeadKey, data, expected)
}

func decodeHead(object platform.Object) (audit.Head, error) {
	var head audit.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return audit.Head{}, trace.Wrap(err, "settings head")
	}
	return head, nil
}

// tree returns the tree of the head's revision. It replays changes on base, the
// tree of baseRevision, if the head still holds all changes since then and base is part of
// its history, and on the head's snapshot otherwise. It returns a CompareFailed error if the
// result does not have the head's digest.
func (a archive) tree(ctx context.Context, head audit.Head, baseRevision settings.Revision, base settings.Tree) (settings.Tree, error) {
	changes, complete := head.After(baseRevision)
	if complete && baseRevision <= head.Revision {
		changes, err := a.loadEdits(ctx, changes)
		if err != nil {
			return settings.Tree{}, err
		}
		if tree, err := replay(base, changes, head.Digest); err == nil {
			return tree, nil
		}
	}
	base, err := a.snapshot(ctx, head.Snapshot)
	if err != nil {
		return settings.Tree{}, err
	}
	changes, _ = head.After(head.Snapshot.Revision)
	if changes, err = a.loadEdits(ctx, changes); err != nil {
		return settings.Tree{}, err
	}
	return replay(base, changes, head.Digest)
}

// replay applies the changes to the tree and returns a CompareFailed error if
// the result does not have the digest want.
func replay(tree settings.Tree, changes []audit.Change, want settings.Digest) (settings.Tree, error) {
	for _, change := range changes {
		next, err := tree.Apply(change.Edits...)
		if err != nil {
			return settings.Tree{}, trace.Wrap(err, "replay revision %d", change.Revision)
		}
		tree = next
	}
	if tree.Digest() != want {
		return settings.Tree{}, trace.CompareFailed("replayed settings have digest %d, want %d", tree.Digest(), want)
	}
	return tree, nil
}

// snapshot reads all shards of a snapshot and checks the digest of the whole.
func (a archive) snapshot(ctx context.Context, snapshot audit.Snapshot) (settings.Tree, error) {
	var tree settings.Tree
	for name, revision := range snapshot.Shards {
		object, err := a.store.Get(ctx, audit.ShardKey(revision, name))
		if err != nil {
			return settings.Tree{}, err
		}
		var shard settings.Tree
		if err := json.Unmarshal(object.Value, &shard); err != nil {
			return settings.Tree{}, trace.Wrap(err, "shard %s of revision %d", name, revision)
		}
		tree = tree.Merge(shard)
	}
	if tree.Digest() != snapshot.Digest {
		return settings.Tree{}, trace.CompareFailed("snapshot %d has digest %d, want %d", snapshot.Revision, tree.Digest(), snapshot.Digest)
	}
	return tree, nil
}

// changes returns the accepted changes after a revision, with their edits,
// oldest first. Changes that the head no longer holds are read from the
// archived batches.
func (a archive) changes(ctx context.Context, head audit.Head, after settings.Revision) ([]audit.Change, error) {
	recent, complete := head.After(after)
	var changes []audit.Change
	for revision := after + 1; !complete && revision < head.Oldest(); revision = audit.BatchOf(revision) + audit.BatchSize {
		batch, err := a.batch(ctx, revision)
		if err != nil {
			return nil, err
		}
		changes = append(changes, batch.Changes[revision-audit.BatchOf(revision):]...)
	}
	return a.loadEdits(ctx, append(changes, recent...))
}

// batch reads the archived batch that contains a revision.
func (a archive) batch(ctx context.Context, revision settings.Revision) (audit.Batch, error) {
	object, err := a.store.Get(ctx, audit.BatchKey(revision))
	if err != nil {
		return audit.Batch{}, err
	}
	var batch audit.Batch
	if err := json.Unmarshal(object.Value, &batch); err != nil {
		return audit.Batch{}, trace.Wrap(err, "audit batch of revision %d", revision)
	}
	return batch, nil
}

// loadEdits returns the changes with their edits. Edits that were too large for
// the head are read from the separate object that holds them.
func (a archive) loadEdits(ctx context.Context, changes []audit.Change) ([]audit.Change, error) {
	complete := make([]audit.Change, len(changes))
	for i, change := range changes {
		complete[i] = change
		if !change.EditsApart {
			continue
		}
		object, err := a.store.Get(ctx, audit.EditsKey(change.ID))
		if err != nil {
			return nil, trace.Wrap(err, "edits of revision %d", change.Revision)
		}
		if err := json.Unmarshal(object.Value, &complete[i].Edits); err != nil {
			return nil, trace.Wrap(err, "edits of revision %d", change.Revision)
		}
		complete[i].EditsApart = false
	}
	return complete, nil
}
