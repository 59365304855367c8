package audit

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// BatchSize is how many changes an audit object holds.
const BatchSize = 32

// _shardRetention is for how many revisions a retired shard is kept.
const _shardRetention = 4 * BatchSize

// _maxRecent is how many changes the head may hold before a batch leaves it.
const _maxRecent = 2 * BatchSize

// Head is the state that commits a change. It is immutable. The zero Head is
// the state before the first change.
type Head struct {
	// Revision is the revision of the tree in force.
	Revision settings.Revision `json:"revision"`
	// Digest is the digest of that tree.
	Digest settings.Digest `json:"digest"`
	// Snapshot is the newest tree that is kept whole.
	Snapshot Snapshot `json:"snapshot"`
	// Recent are the latest changes, in order, ending with Revision.
	Recent []Change `json:"recent"`
	// RetiredIDs are the numbers that no other service may get.
	RetiredIDs RetiredIDs `json:"retired_ids,omitempty"`
}

// Snapshot says where the tree of one revision is kept.
type Snapshot struct {
	Revision settings.Revision `json:"revision"`
	Digest   settings.Digest   `json:"digest"`
	// Shards name the parts of the tree and the revision under which each is
	// kept. A shard that has not changed keeps its older revision.
	Shards map[string]settings.Revision `json:"shards,omitempty"`
	// Retired are shards that newer ones have replaced and that are not deleted yet.
	Retired []RetiredShard `json:"retired,omitempty"`
}

// RetiredShard is a shard that the snapshot no longer uses. It is kept for a
// while, for readers who hold an older head.
type RetiredShard struct {
	Shard    string            `json:"shard"`
	Revision settings.Revision `json:"revision"`
	// At is the revision of the snapshot that no longer uses it.
	At settings.Revision `json:"at"`
}

// Validate returns a BadParameter error unless the head is consistent.
func (h Head) Validate() error {
	first := h.Oldest()
	for i, change := range h.Recent {
		if change.Revision != first+settings.Revision(i) {
			return trace.BadParameter("settings head: change %s has revision %d, want %d", change.ID, change.Revision, first+settings.Revision(i))
		}
	}
	switch {
	case len(h.Recent) > _maxRecent:
		return trace.BadParameter("settings head: %d changes, want up to %d", len(h.Recent), _maxRecent)
	case settings.Revision(len(h.Recent)) > h.Revision:
		return trace.BadParameter("settings head: more changes than revisions")
	case h.Snapshot.Revision > h.Revision || h.Snapshot.Revision+1 < first:
		return trace.BadParameter("settings head: the changes from %d do not follow snapshot %d", first, h.Snapshot.Revision)
	}
	return nil
}

// UnmarshalJSON decodes and checks a head.
func (h *Head) UnmarshalJSON(data []byte) error {
	type plain Head
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return trace.Wrap(err, "decode settings head")
	}
	if err := Head(decoded).Validate(); err != nil {
		return err
	}
	*h = Head(decoded)
	return nil
}

// Oldest returns the revision of the oldest change in the head, or the next
// revision if there is none.
func (h Head) Oldest() settings.Revision {
	return h.Revision + 1 - settings.Revision(len(h.Recent))
}

// After returns the head's changes above a revision, and whether they are all
// that there are.
func (h Head) After(revision settings.Revision) ([]Change, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	if revision+1 < h.Oldest() {
		return h.Recent, false
	}
	return h.Recent[revision+1-h.Oldest():], true
}

// Find returns the change with an id if the head holds it.
func (h Head) Find(id ChangeID) (Change, bool) {
	i := slices.IndexFunc(h.Recent, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return h.Recent[i], true
}

// IsFull reports whether a batch has to leave the head before the next change.
func (h Head) IsFull() bool { return len(h.Recent) >= _maxRecent }

// Leaving returns the batch that WithSnapshot removes from a full head.
func (h Head) Leaving() Batch {
	return Batch{Changes: h.Recent[:BatchSize:BatchSize]}
}

// WithSnapshot returns the head without its oldest batch, with a newer
// snapshot: the tree of the head's own revision.
// Expired shards are taken off the list of the retired ones.
func (h Head) WithSnapshot(shards map[string]settings.Revision) Head {
	retired := slices.DeleteFunc(slices.Clone(h.Snapshot.Retired), h.isExpired)
	for _, name := range slices.Sorted(maps.Keys(h.Snapshot.Shards)) {
		if revision := h.Snapshot.Shards[name]; shards[name] != revision {
			retired = append(retired, RetiredShard{Shard: name, Revision: revision, At: h.Revision})
		}
	}
	h.Snapshot = Snapshot{Revision: h.Revision, Digest: h.Digest, Shards: shards, Retired: retired}
	h.Recent = h.Recent[BatchSize:]
	return h
}

// Expired returns the retired shards that may be deleted.
func (h Head) Expired() []RetiredShard {
	return slices.DeleteFunc(slices.Clone(h.Snapshot.Retired), func(r RetiredShard) bool { return !h.isExpired(r) })
}

func (h Head) isExpired(r RetiredShard) bool { return r.At+_shardRetention <= h.Revision }

// With returns the head after an accepted change that leads to a tree, and the
// change as it was accepted. The head holds it without its edits if they have
// to be kept apart.
func (h Head) With(change Change, tree settings.Tree) (Head, Change, error) {
	change.Revision = h.Revision + 1
	compact, _, err := change.Compact()
	if err != nil {
		return h, change, err
	}
	h.Revision = change.Revision
	h.Digest = tree.Digest()
	h.RetiredIDs = h.RetiredIDs.withRetired(change.Edits)
	h.Recent = append(slices.Clone(h.Recent), compact)
	return h, change, nil
}

// Batch is a run of accepted changes, kept in one object.
type Batch struct {
	Changes []Change `json:"changes"`
}

// BatchOf returns the first revision of the batch that holds a revision.
// Batches begin at 1, 1+BatchSize, and so on.
func BatchOf(revision settings.Revision) settings.Revision {
	return (revision-1)/BatchSize*BatchSize + 1
}

// UnmarshalJSON decodes and checks a batch.
func (b *Batch) UnmarshalJSON(data []byte) error {
	type plain Batch
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return trace.Wrap(err, "decode audit batch")
	}
	if len(decoded.Changes) != BatchSize {
		return trace.BadParameter("audit batch: %d changes, want %d", len(decoded.Changes), BatchSize)
	}
	first := BatchOf(decoded.Changes[0].Revision)
	for i, change := range decoded.Changes {
		if change.Revision != first+settings.Revision(i) {
			return trace.BadParameter("audit batch: revision %d, want %d", change.Revision, first+settings.Revision(i))
		}
	}
	*b = Batch(decoded)
	return nil
}
