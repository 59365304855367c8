package audit

import (
	"fmt"

	"dandelionhitch.example/settings"
)

// Keys of the objects in the platform's store. Revisions in keys have a fixed
// width, so that keys sort by revision.
const (
	// HeadKey is the key of the Head.
	HeadKey = "settings/head"
	// SnapshotPrefix is the prefix of the keys of all shards.
	SnapshotPrefix = "settings/snapshot/"
	// BatchPrefix is the prefix of the keys of all batches.
	BatchPrefix = "audit/batch/"
	// EditsPrefix is the prefix of the keys of edits that are not stored in the
	// head.
	EditsPrefix = "audit/edits/"
)

// ShardKey returns the key of the shard that was stored with the snapshot of the
// revision.
func ShardKey(revision settings.Revision, shard string) string {
	return fmt.Sprintf("%s%016d/%s", SnapshotPrefix, revision, shard)
}

// BatchKey returns the key of the batch that contains the revision.
func BatchKey(revision settings.Revision) string {
	return fmt.Sprintf("%s%016d", BatchPrefix, BatchOf(revision))
}

// EditsKey returns the key of the edits of a change with EditsApart set.
func EditsKey(id ChangeID) string { return EditsPrefix + string(id) }
