package audit

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// BatchSize is the number of changes in a Batch.
const BatchSize = 32

// _shardRetention is the number of revisions after which a retired shard expires.
const _shardRetention = 4 * BatchSize

// _maxRecent is the maximum number of changes in the head.
const _maxRecent = 2 * BatchSize

// Head is the object whose update commits a change. It is immutable: methods
// return modified copies. The zero Head is the state before the first change.
type Head struct {
	// Revision is the revision of the tree in force.
	Revision settings.Revision `json:"revision"`
	// Digest is the digest of that tree.
	Digest settings.Digest `json:"digest"`
	// Snapshot locates the latest complete tree in the store.
	Snapshot Snapshot `json:"snapshot"`
	// Recent holds the latest changes in the order of their revisions, up to
	// Revision.
	Recent []Change `json:"recent"`
	// RetiredIDs holds the service IDs that no other service may use.
	RetiredIDs RetiredIDs `json:"retired_ids,omitempty"`
	// Epoch is one more than the store's epoch in which the head was confirmed, or zero if a
	// build wrote it that does not distinguish epochs. A head from an older copy of the store
	// has an earlier epoch than the object that holds it, and may lack accepted changes.
	Epoch uint32 `json:"epoch,omitempty"`
}

// Snapshot describes where the tree of one revision is stored.
type Snapshot struct {
	Revision settings.Revision `json:"revision"`
	Digest   settings.Digest   `json:"digest"`
	// Shards maps the name of each shard of the tree to the revision under which it
	// is stored. A shard that did not change since an earlier snapshot keeps its
	// revision.
	Shards map[string]settings.Revision `json:"shards,omitempty"`
	// Retired holds the shards that were replaced or removed but not deleted yet.
	Retired []RetiredShard `json:"retired,omitempty"`
}

// RetiredShard is a shard that the snapshot no longer uses. It is retained for
// _shardRetention revisions, for readers that hold an older head.
type RetiredShard struct {
	Shard    string            `json:"shard"`
	Revision settings.Revision `json:"revision"`
	// At is the revision of the first snapshot that does not use the shard.
	At settings.Revision `json:"at"`
}

// Validate returns a BadParameter error if the head is inconsistent.
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

// UnmarshalJSON decodes and validates a head.
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
// revision if the head holds no changes.
func (h Head) Oldest() settings.Revision {
	return h.Revision + 1 - settings.Revision(len(h.Recent))
}

// After returns the changes in the head with a revision above the given one, and whether
// these are all accepted changes above that revision. If not, the others are in batches.
func (h Head) After(revision settings.Revision) ([]Change, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	if revision+1 < h.Oldest() {
		return h.Recent, false
	}
	return h.Recent[revision+1-h.Oldest():], true
}

// Find returns the change with the ID and whether the head holds it.
func (h Head) Find(id ChangeID) (Change, bool) {
	i := slices.IndexFunc(h.Recent, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return h.Recent[i], true
}

// IsFull reports whether a batch must be removed from the head before the next
// change is added.
func (h Head) IsFull() bool { return len(h.Recent) >= _maxRecent }

// OldestBatch returns the oldest batch of a full head, which WithSnapshot removes.
func (h Head) OldestBatch() Batch {
	return Batch{Changes: h.Recent[:BatchSize:BatchSize]}
}

// WithSnapshot returns the head without its oldest batch and with a snapshot of the tree at
// the head's revision. shards maps the name of each shard of that tree to the revision
// under which it is stored. Shards that only the previous snapshot uses are added to the
// list of retired shards, and the expired entries of that list are removed.
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

// Expired returns the retired shards that are past their retention and may be
// deleted.
func (h Head) Expired() []RetiredShard {
	return slices.DeleteFunc(slices.Clone(h.Snapshot.Retired), func(r RetiredShard) bool { return !h.isExpired(r) })
}

func (h Head) isExpired(r RetiredShard) bool { return r.At+_shardRetention <= h.Revision }

// With returns the head after an accepted change, and that change with its
// revision. tree is the tree with the change applied. If the edits must be stored
// separately, the head holds the change without them. With returns a LimitExceeded
// error if the edits exceed MaxEditsSize.
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

// WithEpoch returns the head as confirmed in an epoch of the store.
func (h Head) WithEpoch(epoch uint16) Head {
	h.Epoch = uint32(epoch) + 1
	return h
}

// IsConfirmed reports whether the head was confirmed in an epoch of the store.
func (h Head) IsConfirmed(epoch uint16) bool { return h.Epoch == uint32(epoch)+1 }

// IsRestored reports whether the head was confirmed in another epoch of the store, so that
// it comes from a copy.
func (h Head) IsRestored(epoch uint16) bool { return h.Epoch > 0 && !h.IsConfirmed(epoch) }

// Batch holds BatchSize accepted changes with consecutive revisions. It is stored
// in one object.
type Batch struct {
	Changes []Change `json:"changes"`
}

// BatchOf returns the first revision of the batch that contains the revision.
// Batches begin at revisions 1, 1+BatchSize, 1+2*BatchSize, and so on.
func BatchOf(revision settings.Revision) settings.Revision {
	return (revision-1)/BatchSize*BatchSize + 1
}

// UnmarshalJSON decodes and validates a batch.
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
