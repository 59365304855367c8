// Package audit holds the changes of the settings tree: who made each one,
// when, why, and what it replaced. It decides which change is accepted.
//
// The Head is the one object that commits a change. It holds the latest
// revision, the digest of its tree, the most recent changes, and the revision
// of a snapshot from which those changes lead to the tree in force. A writer
// reads it, asks Accept for the next one, and replaces it on condition that it
// is still the one that was read.
//
// Changes leave the head in batches of BatchSize with aligned revisions. A
// batch is written to its own object, whose key and content follow from the
// accepted history alone, before the head that no longer holds it is
// committed. So no change is ever in neither place, and two writers who move
// the same batch write the same thing.
//
// The package is pure: it reads no clock and no store.
package audit
