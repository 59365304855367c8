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

// Time limits of one submission: its total duration and the range of the
// exponential backoff between attempts.
const (
	_submitTimeout    = 15 * time.Second
	_submitMinBackoff = 50 * time.Millisecond
	_submitMaxBackoff = time.Second
)

// Editor reads the accepted settings and commits changes for operators.
//
// A change is in force once a head that contains it has replaced the head that
// the editor read. Every attempt is a write conditional on the version of the
// head that was read, so at most one of several attempts at a change can
// succeed, even if replies are lost or the platform applies a write late. After
// a lost reply, the editor reads the head again: either the head contains the
// change's id, or another change has raised its version and the attempt can no
// longer succeed.
//
// An Editor is safe for concurrent use.
type Editor struct {
	archive archive

	mu     sync.Mutex
	cached *settings.Document // newest document read so far; nil before the first
}

// State is the accepted settings as one read of the head returned them.
type State struct {
	Head     audit.Head
	Document *settings.Document

	version platform.Version // of the head's object
}

// NewEditor returns an editor of the settings in store.
func NewEditor(store platform.Store) *Editor {
	return &Editor{archive: archive{store: store}}
}

// Load reads the latest accepted settings. A store that serves stale reads may
// return an older revision.
func (e *Editor) Load(ctx context.Context) (State, error) {
	state, err := e.load(ctx, 0)
	return state, trace.Wrap(err, "read settings")
}

// Changes returns the accepted changes after a revision with their edits,
// oldest first.
func (e *Editor) Changes(ctx context.Context, after settings.Revision) ([]audit.Change, error) {
	head, _, err := e.archive.head(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "read changes")
	}
	changes, err := e.archive.changes(ctx, head, after)
	return changes, trace.Wrap(err, "read changes")
}

// Submit commits a change and returns it with the revision assigned to it.
// Submit is idempotent: a change submitted again with the same id and base
// returns the revision of the first submission.
//
// The error is an audit.ConflictError if the branch has changed since the base
// revision, and carries settings.Findings if the resulting tree would be
// invalid. It is a platform.AmbiguousError if the change may or may not have
// been accepted, and a ConnectionProblem if the platform was unavailable and
// the change was certainly not accepted.
func (e *Editor) Submit(ctx context.Context, change audit.Change) (audit.Change, error) {
	if err := change.Validate(); err != nil {
		return change, err
	}
	s := submission{editor: e, change: change}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = _submitMinBackoff, _submitMaxBackoff
	accepted, err := backoff.Retry(ctx, func() (audit.Change, error) { return s.attempt(ctx) },
		backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(_submitTimeout))
	if err != nil {
		s.deleteEdits(ctx, err)
	}
	return accepted, s.finalError(err)
}

// load reads the settings. It returns a ConnectionProblem error if the store
// returns a head older than minVersion.
func (e *Editor) load(ctx context.Context, minVersion platform.Version) (State, error) {
	head, version, err := e.archive.head(ctx)
	if err != nil {
		return State{}, err
	}
	if version < minVersion {
		return State{}, trace.ConnectionProblem(nil, "the platform returned version %d of the settings, want at least %d", version, minVersion)
	}
	e.mu.Lock()
	cached := e.cached
	e.mu.Unlock()
	if cached != nil && cached.Revision() == head.Revision && cached.Tree().Digest() == head.Digest {
		return State{Head: head, Document: cached, version: version}, nil
	}
	tree, err := e.archive.tree(ctx, head, cached.Revision(), cached.Tree())
	if err != nil {
		return State{}, err
	}
	document, err := settings.NewDocument(head.Revision, tree)
	if err != nil {
		return State{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if document.Revision() > e.cached.Revision() {
		e.cached = document
	}
	return State{Head: head, Document: document, version: version}, nil
}
