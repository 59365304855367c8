package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// After the store was restored from an older copy, the head may lack accepted changes that
// are in force. No change is accepted on such a head: it would get the revision of a lost
// one, and perhaps the ID of a service that the lost one created. The processes that watch
// the head write the lost changes again, as they were accepted, and then confirm the head
// for the store's epoch. They first wait until the highest revision in force has reached
// them.

// _confirmDelay is the mean time between a watcher's first read of an unconfirmed head and
// its confirmation. Offers from peers take a second or two.
const _confirmDelay = 5 * time.Second

// epoch returns the epoch of the store in which the state was read.
func (s State) epoch() uint16 { return uint16(s.version.Epoch()) }

// needsConfirmation reports whether a watcher should confirm the head. In the first epoch
// there is nothing to confirm.
func (s State) needsConfirmation() bool {
	return s.epoch() > 0 && !s.Head.IsConfirmed(s.epoch())
}

// confirmHead writes the changes that the head in the store lacks, if it is not confirmed,
// and confirms it.
func (f *Follower) confirmHead(ctx context.Context) error {
	sleep(ctx, jitter(_confirmDelay))
	state := f.state()
	written, err := NewEditor(f.options.store).restore(ctx, state.document.Revision(), state.recent)
	if err != nil {
		return trace.Wrap(err, "confirm the settings of a restored store")
	}
	f.options.logger.Warn("settings of a restored store confirmed",
		zap.Uint64("revision", uint64(state.document.Revision())), zap.Int("changes_written", written))
	return nil
}

// restore writes the changes up to a revision that an unconfirmed head lacks, and confirms
// the head. It returns the number of changes that it wrote.
func (e *Editor) restore(ctx context.Context, revision settings.Revision, recent recentChanges) (written int, err error) {
	for {
		state, err := e.load(ctx, 0)
		switch {
		case err != nil:
			return written, err
		case !state.needsConfirmation():
			return written, nil
		case state.Head.Revision >= revision:
			_, err := e.archive.putHead(ctx, state.Head.WithEpoch(state.epoch()), state.version)
			return written, err
		}
		change, err := recent.at(state.Head.Revision + 1)
		if err != nil {
			return written, err
		}
		tree, err := state.Document.Tree().Apply(change.Edits...)
		if err != nil {
			return written, trace.Wrap(err, "apply the lost change %s", change.ID)
		}
		s := submission{editor: e, change: change}
		if _, err := s.commit(ctx, state, tree); err != nil {
			return written, err
		}
		written++
	}
}

// confirmFirst confirms the head that a first change has created. The epoch of the store is
// known only from the version of the head.
func (e *Editor) confirmFirst(ctx context.Context, head audit.Head, version platform.Version) error {
	if version.Epoch() == 0 {
		return nil
	}
	_, err := e.archive.putHead(ctx, head.WithEpoch(uint16(version.Epoch())), version)
	if trace.IsCompareFailed(err) || platform.IsAmbiguous(err) {
		return nil // confirmed by another process, or by a balancer later
	}
	return err
}

// at returns the change that created a revision, or a NotFound error.
func (r recentChanges) at(revision settings.Revision) (audit.Change, error) {
	var change audit.Change
	for _, each := range r.list {
		if each.revision == revision {
			err := json.Unmarshal(each.data, &change)
			return change, trace.Wrap(err, "change of revision %d", revision)
		}
	}
	return change, trace.NotFound("the change of revision %d is lost, and this process does not have it", revision)
}
