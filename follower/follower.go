// Package follower keeps one process up to date with the accepted settings, and
// commits operators' changes to them. The settings in force are the ones that
// the process currently uses.
//
// A Follower learns of a new revision in three ways: by watching the head in the
// platform's store, from a peer that reports its own revision (Offer), or by
// polling a random peer. It gets the changes since its own revision from the
// head or from a peer, and reads a whole tree only if it is too far behind. It
// validates the whole tree before using it, and only replaces it by a tree of a
// higher revision, so stale reads, late replies and outages never revert the
// settings in force.
//
// An Editor commits changes. A Follower and an Editor share no state other than
// the platform's store.
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

// Follower holds the document in force, whose revision never decreases. It is
// safe for concurrent use.
type Follower struct {
	tomb    tomb.Tomb
	options options
	archive archive
	updates chan struct{}
	offers  chan offer

	mu      sync.Mutex
	current currentState
	refused Refusal
}

// currentState is the document in force, with the older documents and changes
// that peers may request.
type currentState struct {
	document *settings.Document
	since    time.Time // when document was put in force
	recent   recentChanges
	previous []*settings.Document
	// lastService is the latest known state of the service given to
	// WithService. It is zero if the service has not appeared in the settings
	// yet, or if the follower follows the whole tree.
	lastService settings.Service
}

// Status describes the settings that a follower has in force.
type Status struct {
	// Revision is the revision in force; zero if there is none yet.
	Revision settings.Revision
	// Since is when that revision was put in force.
	Since time.Time
	// Refused is the last document that failed validation.
	Refused Refusal
}

// Refusal describes a document that was not put in force because it failed
// validation.
type Refusal struct {
	// Revision is the refused revision; zero if none has been refused.
	Revision settings.Revision
	// Err carries the settings.Findings.
	Err error
}

// offer records that the process at addr has a revision in force.
type offer struct {
	revision settings.Revision
	addr     netip.AddrPort
}

// New starts a follower. Close stops it.
func New(opts ...Option) *Follower {
	f := &Follower{
		options: newOptions(opts),
		updates: make(chan struct{}, 1),
		offers:  make(chan offer, _offerCapacity),
	}
	f.archive = archive{store: f.options.store}
	f.observe()
	f.tomb.Go(f.run)
	return f
}

// Close stops the follower and waits for its goroutines. Current still returns
// the last document afterwards.
func (f *Follower) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// Current returns the document in force, or nil if there is none yet.
func (f *Follower) Current() *settings.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.document
}

// Revision returns the revision in force, or zero if there is none yet.
func (f *Follower) Revision() settings.Revision { return f.Current().Revision() }

// Status returns the revision in force, when it was put in force, and the last
// refusal.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Revision: f.current.document.Revision(), Since: f.current.since, Refused: f.refused}
}

// Service returns the settings in force for a service at a place, or false if
// there is no such service. If the service given to WithService has been removed
// from the settings, Service returns its last settings, with their revision, and
// false.
func (f *Follower) Service(region service.Region, place service.Place, name service.Name) (settings.Service, bool) {
	path := settings.Path{Region: region, Place: place, Name: name}
	state := f.state()
	found, ok := state.document.Service(path)
	if !ok && path == f.options.path {
		return state.lastService, false
	}
	return found, ok
}

// lacksSettings reports whether the follower has received no settings yet, of
// the whole tree or of the service that it follows.
func (f *Follower) lacksSettings() bool {
	if !f.options.path.IsService() {
		return f.Revision() == 0
	}
	return f.state().lastService.ID == 0
}

// Updates returns a channel that receives a value after the document in force
// has changed. Its capacity is one, so several changes may produce one value.
func (f *Follower) Updates() <-chan struct{} { return f.updates }

// Offer reports that the process at addr has a revision in force, for the
// follower to fetch if it is newer. Offer does not block; it drops the offer if
// the queue is full.
func (f *Follower) Offer(revision settings.Revision, addr netip.AddrPort) {
	if revision <= f.Revision() {
		return
	}
	select {
	case f.offers <- offer{revision: revision, addr: addr}:
	default:
	}
}

// candidate is a tree that may be put in force, with the latest changes that
// led to it, if known.
type candidate struct {
	revision settings.Revision
	tree     settings.Tree
	changes  []audit.Change
}

// adopt puts a candidate in force if its revision is higher than the current
// one. It returns an error that carries settings.Findings if the tree is invalid.
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
	f.current = f.current.withDocument(document, c.changes)
	if found, ok := document.Service(f.options.path); ok {
		f.current.lastService = found
	}
	f.options.logger.Info("settings in force", zap.Uint64("revision", uint64(c.revision)))
	select {
	case f.updates <- struct{}{}:
	default:
	}
	return nil
}

// withDocument returns the state after a newer document is put in force.
func (s currentState) withDocument(document *settings.Document, changes []audit.Change) currentState {
	next := currentState{document: document, since: time.Now(), lastService: s.lastService}
	next.recent = s.recent.with(s.document.Revision(), changes)
	if s.document != nil {
		next.previous = append(next.previous, s.document)
	}
	next.previous = append(next.previous, s.previous...)
	if len(next.previous) > _maxPreviousDocuments {
		next.previous = next.previous[:_maxPreviousDocuments]
	}
	return next
}

// documentAt returns the document of a revision if it is the one in force or
// one of the previous documents still kept.
func (s currentState) documentAt(revision settings.Revision) (*settings.Document, bool) {
	if s.document.Revision() == revision {
		return s.document, s.document != nil
	}
	for _, document := range s.previous {
		if document.Revision() == revision {
			return document, true
		}
	}
	return nil, false
}

func (f *Follower) state() currentState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// context returns a context that is cancelled when the follower is closed.
func (f *Follower) context() context.Context { return f.tomb.Context(context.Background()) }
