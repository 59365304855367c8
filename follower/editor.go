package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// Bounds of one submission.
const (
	_submitBudget    = 15 * time.Second
	_submitPause     = 50 * time.Millisecond
	_submitPauseMost = time.Second
)

// Editor reads the accepted settings and commits changes for operators.
//
// A change is in force once the head that holds it has replaced the one that
// its writer read. Every attempt is conditional on that head's version, so of
// several attempts at one change at most one can succeed, whatever answers
// were lost and whenever the platform runs them. An attempt without an answer
// is settled by reading on: either the head holds the change's id, or it has
// moved on without it and the attempt can no longer take effect.
//
// It is safe for concurrent use.
type Editor struct {
	archive archive

	mu    sync.Mutex
	known *settings.Document
}

// State is the accepted settings at one moment.
type State struct {
	Head     audit.Head
	Document *settings.Document

	version platform.Version
}

// NewEditor returns an editor of the settings in store.
func NewEditor(store platform.Store) *Editor {
	return &Editor{archive: archive{store: store}}
}

// Load reads the settings in force. A lagging store may return older ones.
func (e *Editor) Load(ctx context.Context) (State, error) {
	state, err := e.load(ctx, 0)
	return state, trace.Wrap(err, "read the settings")
}

// Changes returns the accepted changes above a revision with their edits,
// oldest first.
func (e *Editor) Changes(ctx context.Context, after settings.Revision) ([]audit.Change, error) {
	head, _, err := e.archive.head(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "read the changes")
	}
	changes, err := e.archive.changes(ctx, head, after)
	return changes, trace.Wrap(err, "read the changes")
}

// Submit commits a change and returns it with its revision. Submitting a
// change again, with the same id and base, returns the revision that it got
// the first time.
//
// The error is an audit.ConflictError if the branch has changed since the
// base, carries settings.Findings if the tree would be wrong, is an
// AmbiguousError if it stayed unknown whether the change was accepted, and is a
// ConnectionProblem if it surely was not.
func (e *Editor) Submit(ctx context.Context, change audit.Change) (audit.Change, error) {
	if err := change.Validate(); err != nil {
		return change, err
	}
	s := submission{editor: e, change: change}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = _submitPause, _submitPauseMost
	accepted, err := backoff.Retry(ctx, func() (audit.Change, error) { return s.attempt(ctx) },
		backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(_submitBudget))
	if err != nil {
		s.discard(ctx, err)
	}
	return accepted, s.outcome(err)
}

// load reads the settings from a head whose version is at least floor.
func (e *Editor) load(ctx context.Context, floor platform.Version) (State, error) {
	head, version, err := e.archive.head(ctx)
	if err != nil {
		return State{}, err
	}
	if version < floor {
		return State{}, trace.ConnectionProblem(nil, "the platform returned version %d of the settings, %d is known", version, floor)
	}
	e.mu.Lock()
	known := e.known
	e.mu.Unlock()
	if known != nil && known.Revision() == head.Revision && known.Tree().Digest() == head.Digest {
		return State{Head: head, Document: known, version: version}, nil
	}
	tree, err := e.archive.tree(ctx, head, known.Revision(), known.Tree())
	if err != nil {
		return State{}, err
	}
	document, err := settings.NewDocument(head.Revision, tree)
	if err != nil {
		return State{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if document.Revision() > e.known.Revision() {
		e.known = document
	}
	return State{Head: head, Document: document, version: version}, nil
}
