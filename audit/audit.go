// Package audit defines the audit trail of the settings tree: for each change its
// author, time, reason, and the values before and after. It also decides whether a
// proposed change is accepted.
//
// A change is committed by a conditional update of a single object, the Head. The
// head holds the latest revision, the digest of its tree, the most recent changes,
// and the revision of a snapshot from which those changes lead to the tree in
// force. A writer reads the head, checks the change with Evaluate, computes the next
// head with Head.With, and replaces the stored head only if it is still the
// version that was read.
//
// When the head is full, its oldest BatchSize changes are moved to an object of their own.
// The key and content of that object depend only on the accepted changes. The object is
// written before the shortened head is committed. So a change is always in at least one of
// the two objects, and writers that move the same batch concurrently write the same object.
//
// The package does no I/O and reads no clock.
package audit
