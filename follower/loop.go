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

// run takes the highest revision of a few processes and of the store, so that
// a restart with a lagging store does not put an older one in force, and then
// starts the loops.
func (f *Follower) run() error {
	ctx := f.context()
	best := f.startCandidate(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err := f.adopt(best); err != nil {
		f.options.logger.Warn("first settings", zap.Error(err))
	}
	if f.followsStore() {
		f.tomb.Go(f.loopWatch)
	}
	if f.options.fetch != nil {
		f.tomb.Go(f.loopFetch)
	}
	return nil
}

func (f *Follower) followsStore() bool {
	return f.options.store != nil && !f.options.path.IsService()
}

func (f *Follower) startCandidate(ctx context.Context) candidate {
	var best candidate
	if f.options.fetch != nil {
		best = f.askPeers(ctx)
	}
	if !f.followsStore() {
		return best
	}
	found, err := f.read(ctx, best)
	if err != nil {
		f.options.logger.Warn("read settings", zap.Error(err))
		return best
	}
	return found
}

// askPeers returns the newest settings of the first few processes that answer.
func (f *Follower) askPeers(ctx context.Context) candidate {
	var best candidate
	peers := slices.Clone(f.options.peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	answers := 0
	for _, addr := range peers[:min(len(peers), _startTries)] {
		found, err := f.fetch(ctx, addr, best)
		if err != nil {
			f.options.logger.Debug("fetch settings", zap.Stringer("addr", addr), zap.Error(err))
			continue
		}
		best = found
		answers++
		if answers == _startPeers {
			break
		}
	}
	return best
}

// read returns what the store has if it is newer than what is known.
func (f *Follower) read(ctx context.Context, known candidate) (candidate, error) {
	ctx, cancel := context.WithTimeout(ctx, _fetchTimeout)
	defer cancel()
	head, _, err := f.archive.head(ctx)
	if err != nil {
		return known, err
	}
	return f.follow(ctx, head, known)
}

// follow returns the tree of a head if it is newer than what is known.
func (f *Follower) follow(ctx context.Context, head audit.Head, known candidate) (candidate, error) {
	if head.Revision <= known.revision {
		return known, nil
	}
	tree, err := f.archive.tree(ctx, head, known.revision, known.tree)
	if err != nil {
		return known, err
	}
	changes, err := f.archive.withEdits(ctx, head.Recent)
	if err != nil {
		return known, err
	}
	return candidate{revision: head.Revision, tree: tree, changes: changes}, nil
}

// inForceCandidate returns the document in force as a base for newer ones.
func (f *Follower) inForceCandidate() candidate {
	document := f.Current()
	return candidate{revision: document.Revision(), tree: document.Tree()}
}

// loopWatch follows the head in the store.
func (f *Follower) loopWatch() error {
	ctx := f.context()
	var version platform.Version
	for ctx.Err() == nil {
		if f.idle(ctx) {
			version = 0
		}
		head, seen, err := f.nextHead(ctx, version)
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err == nil {
			err = f.followHead(ctx, head)
		}
		if err != nil && ctx.Err() == nil {
			f.options.logger.Warn("watch settings", zap.Error(err))
			sleep(ctx, jitter(_retryPause))
			continue
		}
		version = seen
	}
	return nil
}

// idle waits while others watch the head for this process, until it is time to
// read the head nevertheless. It reports whether it waited.
func (f *Follower) idle(ctx context.Context) bool {
	until := time.Now().Add(jitter(_pollInterval))
	waited := false
	for ctx.Err() == nil && !f.options.watches() && time.Now().Before(until) {
		sleep(ctx, jitter(_turnInterval))
		waited = true
	}
	return waited
}

func (f *Follower) nextHead(ctx context.Context, after platform.Version) (audit.Head, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, _watchSpan)
	defer cancel()
	object, err := f.options.store.Watch(ctx, audit.HeadKey, after)
	if err != nil {
		return audit.Head{}, 0, err
	}
	head, err := decodeHead(object)
	return head, object.Version, err
}

func (f *Follower) followHead(ctx context.Context, head audit.Head) error {
	found, err := f.follow(ctx, head, f.inForceCandidate())
	if err != nil {
		return err
	}
	return f.adopt(found)
}

// loopFetch takes up offers, and asks one process now and then, in case that
// offers were lost. One request is under way at a time.
func (f *Follower) loopFetch() error {
	ctx := f.context()
	for ctx.Err() == nil {
		timer := time.NewTimer(jitter(f.askInterval()))
		select {
		case <-ctx.Done():
		case o := <-f.offers:
			if o.revision > f.Revision() {
				f.fetchFrom(ctx, o.addr)
			}
		case <-timer.C:
			if peers := f.options.peers(); len(peers) > 0 {
				f.fetchFrom(ctx, peers[rand.IntN(len(peers))])
			}
		}
		timer.Stop()
	}
	return nil
}

// askInterval returns the mean time until one process is asked. Nobody offers a
// revision to a process that cannot take part yet for lack of settings, so it
// asks often; the jitter spreads a fleet that starts at once.
func (f *Follower) askInterval() time.Duration {
	if f.lacksSettings() {
		return _firstInterval
	}
	return _askInterval
}

func (f *Follower) fetchFrom(ctx context.Context, addr netip.AddrPort) {
	found, err := f.fetch(ctx, addr, f.inForceCandidate())
	if err == nil {
		err = f.adopt(found)
	}
	if err != nil && ctx.Err() == nil {
		f.options.logger.Debug("fetch settings", zap.Stringer("addr", addr), zap.Error(err))
	}
}

// jitter returns a span between half and one and a half of mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
