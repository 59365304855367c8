// Package follower holds the settings in force in one process, and commits the
// changes of operators.
//
// A Follower learns of a new revision from a watch of the head in the
// platform's store, from another process that mentions its own revision
// (Offer), or by asking one now and then. The changes since its own revision
// come along with the head or out of another process; only a process that is
// far behind reads a whole tree. The tree is checked whole before it is used,
// and only ever replaced by one of a higher revision. So a lagging store, a
// late answer or an outage leave it where it is.
//
// An Editor writes. The two share no state but the platform's.
package follower

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// Follower holds the document in force. It only ever moves to a higher
// revision. It is safe for concurrent use.
type Follower struct {
	tomb    tomb.Tomb
	options options
	archive archive
	updates chan struct{}
	offers  chan offer

	mu      sync.Mutex
	current inForce
	refused Refusal
}

// inForce is the document in force with what other processes may ask for.
type inForce struct {
	document *settings.Document
	since    time.Time
	recent   recentChanges
	past     []*settings.Document
	// last is what was in force last of the one service that is followed, zero
	// before that and where the whole tree is followed.
	last settings.Service
}

// Status says what a follower has in force.
type Status struct {
	// Revision is the revision in force; zero before the first.
	Revision settings.Revision
	// Since is when it was put in force.
	Since time.Time
	// Refused is the last document that did not pass the check.
	Refused Refusal
}

// Refusal is a document that was not put in force.
type Refusal struct {
	// Revision is the document's revision; zero if there was none.
	Revision settings.Revision
	// Err carries the findings.
	Err error
}

// offer says that a process has a revision in force.
type offer struct {
	revision settings.Revision
	addr     netip.AddrPort
}

// New starts a follower.
func New(opts ...Option) *Follower {
	f := &Follower{
		options: newOptions(opts),
		updates: make(chan struct{}, 1),
		offers:  make(chan offer, _offerRing),
	}
	f.archive = archive{store: f.options.store}
	f.observe()
	f.tomb.Go(f.run)
	return f
}

// Close stops the follower and waits for its goroutines. The document stays.
func (f *Follower) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// Current returns the document in force, nil before the first.
func (f *Follower) Current() *settings.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.document
}

// Revision returns the revision in force, zero before the first.
func (f *Follower) Revision() settings.Revision { return f.Current().Revision() }

// Status returns the revision in force, since when, and what was refused.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Revision: f.current.document.Revision(), Since: f.current.since, Refused: f.refused}
}

// Service returns what is in force for one service at one place, or false. Of
// the service given to WithService it then returns what was in force before it
// was taken out of the settings, with the revision of that time.
func (f *Follower) Service(region service.Region, place service.Place, name service.Name) (settings.Service, bool) {
	path := settings.Path{Region: region, Place: place, Name: name}
	state := f.snapshot()
	found, ok := state.document.Service(path)
	if !ok && path == f.options.path {
		return state.last, false
	}
	return found, ok
}

// lacksSettings reports whether there was nothing in force yet of what is followed.
func (f *Follower) lacksSettings() bool {
	if !f.options.path.IsService() {
		return f.Revision() == 0
	}
	return f.snapshot().last.ID == 0
}

// Updates receives a value after the document in force has changed. Its
// capacity is one: several changes may show as one.
func (f *Follower) Updates() <-chan struct{} { return f.updates }

// Offer says that the process at addr has a revision in force. It returns at
// once; an offer is dropped while too many wait.
func (f *Follower) Offer(revision settings.Revision, addr netip.AddrPort) {
	if revision <= f.Revision() {
		return
	}
	select {
	case f.offers <- offer{revision: revision, addr: addr}:
	default:
	}
}

// candidate is a tree that may be put in force.
type candidate struct {
	revision settings.Revision
	tree     settings.Tree
	changes  []audit.Change
}

// adopt puts a candidate in force if its revision is higher and it passes the check.
func (f *Follower) adopt(c candidate) error {
	if c.revision <= f.Revision() {
		return nil
	}
	document, err := settings.NewDocument(c.revision, c.tree)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.refused = Refusal{Revision: c.revision, Err: err}
		f.options.logger.Error("settings refused", zap.Uint64("revision", uint64(c.revision)), zap.Error(err))
		return trace.Wrap(err)
	}
	if document.Revision() <= f.current.document.Revision() {
		return nil
	}
	f.current = f.current.with(document, c.changes)
	if found, ok := document.Service(f.options.path); ok {
		f.current.last = found
	}
	f.options.logger.Info("settings in force", zap.Uint64("revision", uint64(c.revision)))
	select {
	case f.updates <- struct{}{}:
	default:
	}
	return nil
}

// with returns the state after a newer document was put in force.
func (s inForce) with(document *settings.Document, changes []audit.Change) inForce {
	next := inForce{document: document, since: time.Now(), last: s.last}
	next.recent = s.recent.with(s.document.Revision(), changes)
	if s.document != nil {
		next.past = append(next.past, s.document)
	}
	next.past = append(next.past, s.past...)
	if len(next.past) > _pastDocuments {
		next.past = next.past[:_pastDocuments]
	}
	return next
}

// at returns the document of a revision if it is in force or was lately.
func (s inForce) at(revision settings.Revision) (*settings.Document, bool) {
	if s.document.Revision() == revision {
		return s.document, s.document != nil
	}
	for _, document := range s.past {
		if document.Revision() == revision {
			return document, true
		}
	}
	return nil, false
}

func (f *Follower) snapshot() inForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// context returns a context that ends when the follower does.
func (f *Follower) context() context.Context { return f.tomb.Context(context.Background()) }
