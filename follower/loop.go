package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
)

// run puts in force the highest revision found at a few peers and in the store,
// and then starts the loops. It asks peers as well as the store so that a process
// that restarts while the store serves stale reads does not start with an older
// revision than its peers have.
func (f *Follower) run() error {
	ctx := f.context()
	newest := f.initialCandidate(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err := f.adopt(newest); err != nil {
		f.options.logger.Warn("failed to adopt settings at startup", zap.Error(err))
	}
	if f.usesStore() {
		f.tomb.Go(f.loopWatch)
	}
	if f.options.fetch != nil {
		f.tomb.Go(f.loopFetch)
	}
	return nil
}

// usesStore reports whether the follower reads and watches the head. A follower
// of a single service does not.
func (f *Follower) usesStore() bool {
	return f.options.store != nil && !f.options.path.IsService()
}

// initialCandidate returns the newest settings of a few peers and the store.
func (f *Follower) initialCandidate(ctx context.Context) candidate {
	var newest candidate
	if f.options.fetch != nil {
		newest = f.fetchFromPeers(ctx)
	}
	if !f.usesStore() {
		return newest
	}
	found, err := f.readStore(ctx, newest)
	if err != nil {
		f.options.logger.Warn("failed to read settings from the store", zap.Error(err))
		return newest
	}
	return found
}

// fetchFromPeers queries peers in random order and returns the newest settings
// among the first _startupReplies replies.
func (f *Follower) fetchFromPeers(ctx context.Context) candidate {
	var newest candidate
	peers := slices.Clone(f.options.peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	replies := 0
	for _, addr := range peers[:min(len(peers), _startupRequests)] {
		found, err := f.fetch(ctx, addr, newest)
		if err != nil {
			f.options.logger.Debug("failed to fetch settings", zap.Stringer("addr", addr), zap.Error(err))
			continue
		}
		newest = found
		replies++
		if replies == _startupReplies {
			break
		}
	}
	return newest
}

// readStore returns the settings in the store, or current if they are not newer.
func (f *Follower) readStore(ctx context.Context, current candidate) (candidate, error) {
	ctx, cancel := context.WithTimeout(ctx, _fetchTimeout)
	defer cancel()
	head, _, err := f.archive.head(ctx)
	if err != nil {
		return current, err
	}
	return f.loadHead(ctx, head, current)
}

// loadHead returns the settings that a head describes, or current if they are
// not newer.
func (f *Follower) loadHead(ctx context.Context, head audit.Head, current candidate) (candidate, error) {
	if head.Revision <= current.revision {
		return current, nil
	}
	tree, err := f.archive.tree(ctx, head, current.revision, current.tree)
	if err != nil {
		return current, err
	}
	changes, err := f.archive.loadEdits(ctx, head.Recent)
	if err != nil {
		return current, err
	}
	return candidate{revision: head.Revision, tree: tree, changes: changes}, nil
}

// currentCandidate returns the document in force as the base that newer changes
// are applied to.
func (f *Follower) currentCandidate() candidate {
	document := f.Current()
	return candidate{revision: document.Revision(), tree: document.Tree()}
}

// loopWatch watches the head in the store and adopts each new revision.
func (f *Follower) loopWatch() error {
	ctx := f.context()
	var version platform.Version
	for ctx.Err() == nil {
		if f.waitUnlessWatcher(ctx) {
			version = 0 // read the current head at once
		}
		head, headVersion, err := f.watchHead(ctx, version)
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err == nil {
			err = f.adoptHead(ctx, head)
		}
		if err == nil && (State{Head: head, version: headVersion}).needsConfirmation() {
			err = f.confirmHead(ctx)
		}
		if err != nil && ctx.Err() == nil {
			f.options.logger.Warn("failed to watch settings", zap.Error(err))
			sleep(ctx, jitter(_retryDelay))
			continue
		}
		version = headVersion
	}
	return nil
}

// waitUnlessWatcher blocks while this process is not one of those that watch the
// head, for at most about _pollInterval, after which the head is read anyway. It
// reports whether it blocked.
func (f *Follower) waitUnlessWatcher(ctx context.Context) bool {
	deadline := time.Now().Add(jitter(_pollInterval))
	waited := false
	for ctx.Err() == nil && !f.options.isWatcher() && time.Now().Before(deadline) {
		sleep(ctx, jitter(_watcherCheckInterval))
		waited = true
	}
	return waited
}

// watchHead waits for a version of the head newer than after, for at most
// _watchTimeout.
func (f *Follower) watchHead(ctx context.Context, after platform.Version) (audit.Head, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, _watchTimeout)
	defer cancel()
	object, err := f.options.store.Watch(ctx, audit.HeadKey, after)
	if err != nil {
		return audit.Head{}, 0, err
	}
	head, err := decodeHead(object)
	return head, object.Version, err
}

func (f *Follower) adoptHead(ctx context.Context, head audit.Head) error {
	found, err := f.loadHead(ctx, head, f.currentCandidate())
	if err != nil {
		return err
	}
	return f.adopt(found)
}

// loopFetch fetches settings from peers that offer a newer revision. It also
// polls a random peer periodically, in case an offer was lost. At most one
// request is in flight.
func (f *Follower) loopFetch() error {
	ctx := f.context()
	for ctx.Err() == nil {
		timer := time.NewTimer(jitter(f.fetchInterval()))
		select {
		case <-ctx.Done():
		case o := <-f.offers:
			if o.revision > f.Revision() {
				f.fetchAndAdopt(ctx, o.addr)
			}
		case <-timer.C:
			if peers := f.options.peers(); len(peers) > 0 {
				f.fetchAndAdopt(ctx, peers[rand.IntN(len(peers))])
			}
		}
		timer.Stop()
	}
	return nil
}

// fetchInterval returns the mean interval between polls of a peer. A process
// without settings is not a member of the fleet yet and gets no offers, so it
// polls more often. Jitter spreads the polls of processes that start together.
func (f *Follower) fetchInterval() time.Duration {
	if f.lacksSettings() {
		return _initialFetchInterval
	}
	return _fetchInterval
}

func (f *Follower) fetchAndAdopt(ctx context.Context, addr netip.AddrPort) {
	found, err := f.fetch(ctx, addr, f.currentCandidate())
	if err == nil {
		err = f.adopt(found)
	}
	if err != nil && ctx.Err() == nil {
		f.options.logger.Debug("failed to fetch settings", zap.Stringer("addr", addr), zap.Error(err))
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
