package follower

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// archive reads settings and changes out of the platform's store.
type archive struct {
	store platform.Store
}

// head returns the head and the version of its object; both are zero before
// the first change.
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

func decodeHead(object platform.Object) (audit.Head, error) {
	var head audit.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return audit.Head{}, trace.Wrap(err, "settings head")
	}
	return head, nil
}

// tree returns the tree of the head's revision. It starts from the tree of a
// known revision if the head's changes reach back to it, else from the snapshot.
func (a archive) tree(ctx context.Context, head audit.Head, known settings.Revision, tree settings.Tree) (settings.Tree, error) {
	changes, whole := head.After(known)
	if !whole || known > head.Revision {
		var err error
		tree, err = a.snapshot(ctx, head.Snapshot)
		if err != nil {
			return settings.Tree{}, err
		}
		changes, _ = head.After(head.Snapshot.Revision)
	}
	changes, err := a.withEdits(ctx, changes)
	if err != nil {
		return settings.Tree{}, err
	}
	return replay(tree, changes, head.Digest)
}

// replay makes the changes and checks that they lead to the expected digest.
func replay(tree settings.Tree, changes []audit.Change, want settings.Digest) (settings.Tree, error) {
	for _, change := range changes {
		next, err := tree.Apply(change.Edits...)
		if err != nil {
			return settings.Tree{}, trace.Wrap(err, "replay revision %d", change.Revision)
		}
		tree = next
	}
	if tree.Digest() != want {
		return settings.Tree{}, trace.CompareFailed("the settings have digest %d, want %d", tree.Digest(), want)
	}
	return tree, nil
}

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

// changes returns the accepted changes above a revision, with their edits,
// oldest first, out of the head and the batches that have left it.
func (a archive) changes(ctx context.Context, head audit.Head, after settings.Revision) ([]audit.Change, error) {
	recent, whole := head.After(after)
	var changes []audit.Change
	for revision := after + 1; !whole && revision < head.Oldest(); revision = audit.BatchOf(revision) + audit.BatchSize {
		batch, err := a.batch(ctx, revision)
		if err != nil {
			return nil, err
		}
		changes = append(changes, batch.Changes[revision-audit.BatchOf(revision):]...)
	}
	return a.withEdits(ctx, append(changes, recent...))
}

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

// withEdits returns the changes with the edits that are kept apart.
func (a archive) withEdits(ctx context.Context, changes []audit.Change) ([]audit.Change, error) {
	whole := make([]audit.Change, len(changes))
	for i, change := range changes {
		whole[i] = change
		if !change.EditsApart {
			continue
		}
		object, err := a.store.Get(ctx, audit.EditsKey(change.ID))
		if err != nil {
			return nil, trace.Wrap(err, "edits of revision %d", change.Revision)
		}
		if err := json.Unmarshal(object.Value, &whole[i].Edits); err != nil {
			return nil, trace.Wrap(err, "edits of revision %d", change.Revision)
		}
		whole[i].EditsApart = false
	}
	return whole, nil
}
