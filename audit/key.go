package audit

import (
	"fmt"

	"dandelionhitch.example/settings"
)

// Keys of the objects in the platform's store. Numbers have a fixed width, so
// that a list is in order.
const (
	// HeadKey is the head's key.
	HeadKey = "settings/head"
	// SnapshotPrefix begins the keys of all shards.
	SnapshotPrefix = "settings/snapshot/"
	// BatchPrefix begins the keys of all batches.
	BatchPrefix = "audit/batch/"
	// EditsPrefix begins the keys of edits kept apart.
	EditsPrefix = "audit/edits/"
)

// ShardKey returns the key of one shard of the snapshot of a revision.
func ShardKey(revision settings.Revision, shard string) string {
	return fmt.Sprintf("%s%016d/%s", SnapshotPrefix, revision, shard)
}

// BatchKey returns the key of the batch that holds a revision.
func BatchKey(revision settings.Revision) string {
	return fmt.Sprintf("%s%016d", BatchPrefix, BatchOf(revision))
}

// EditsKey returns the key of the edits of a change, if they are kept apart.
func EditsKey(id ChangeID) string { return EditsPrefix + string(id) }
