package follower_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// TestAcceptedSettingsSurviveRestoredStore guards against accepted changes that are lost,
// and whose revisions are given to other changes, when the store is restored from a copy.
func TestAcceptedSettingsSurviveRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4)
		f.commitChanges(5)
		copied := f.store.copyOf()
		f.commitChanges(3)
		for range 10 {
			f.offerRevisions()
			time.Sleep(time.Second)
		}
		before, err := follower.NewEditor(f.store).Changes(t.Context(), 0)
		assert.NilError(t, err)
		f.store.restore(copied)

		editor := follower.NewEditor(f.store)
		state, err := editor.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Document.Revision(), settings.Revision(6))
		accepted, err := editor.Submit(t.Context(), newChange(f.random, f.followers[0].Current(), "kari", nodePath(1)))
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, settings.Revision(10))
		after, err := editor.Changes(t.Context(), 0)
		assert.NilError(t, err)
		for i, change := range before {
			assert.Equal(t, after[i].ID, change.ID, "revision %d", change.Revision)
		}
		for range 10 {
			f.offerRevisions()
			time.Sleep(time.Second)
		}
		state, err = editor.Load(t.Context())
		assert.NilError(t, err)
		for i, each := range f.followers {
			assert.Equal(t, each.Revision(), settings.Revision(10), "follower %d", i)
			assert.Equal(t, each.Current().Tree().Digest(), state.Head.Digest)
		}
		f.close()
	})
}

// TestChangesWaitForConfirmedSettings guards against a change that is based on settings
// from a copy while no process has said which changes they lack.
func TestChangesWaitForConfirmedSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(1)
		editor := follower.NewEditor(s)
		_, err := editor.Submit(t.Context(), initialChange())
		assert.NilError(t, err)
		s.restore(s.copyOf())
		state, err := editor.Load(t.Context())
		assert.NilError(t, err)
		change := newChange(rand.New(rand.NewPCG(3, 3)), state.Document, "kari", nodePath(1))
		_, err = editor.Submit(t.Context(), change)
		assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
		assert.Assert(t, !platform.IsAmbiguous(err), "%v", err)

		f := follower.New(follower.WithStore(s))
		defer f.Close()
		accepted, err := editor.Submit(t.Context(), change)
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, settings.Revision(2))
	})
}

// TestFirstSettingsInLaterEpoch guards against a first change that nobody confirms, since
// no balancer runs yet.
func TestFirstSettingsInLaterEpoch(t *testing.T) {
	s := newStore(1)
	s.noDelay = true
	s.restore(s.copyOf())
	editor := follower.NewEditor(s)
	_, err := editor.Submit(t.Context(), initialChange())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	state, err := editor.Load(ctx)
	assert.NilError(t, err)
	_, err = editor.Submit(ctx, newChange(rand.New(rand.NewPCG(3, 3)), state.Document, "kari", nodePath(1)))
	assert.NilError(t, err)
}

// TestDivergedHistoryIsAdopted guards against a follower that rejects every later head
// because the head's history has other changes than those it has adopted.
func TestDivergedHistoryIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := newStore(1), newStore(2)
		for i, each := range []*store{s, other} {
			editor := follower.NewEditor(each)
			_, err := editor.Submit(t.Context(), initialChange())
			assert.NilError(t, err)
			random := rand.New(rand.NewPCG(uint64(i), 0))
			for range 2 * (i + 1) {
				commitChange(t, editor, random, nodePath(1))
			}
		}
		f := follower.New(follower.WithStore(s))
		defer f.Close()
		time.Sleep(time.Second)
		assert.Equal(t, f.Revision(), settings.Revision(3))
		s.restore(other.copyOf())
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.Revision(), settings.Revision(5))
	})
}

// TestHeadOfEarlierBuildTakesChanges guards against an upgrade after which no change is
// accepted until a balancer was upgraded, since the store was restored at some time before.
func TestHeadOfEarlierBuildTakesChanges(t *testing.T) {
	s := newStore(1)
	s.noDelay = true
	editor := follower.NewEditor(s)
	_, err := editor.Submit(t.Context(), initialChange())
	assert.NilError(t, err)
	copied := s.copyOf()
	head := copied.objects[audit.HeadKey]
	var fields map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(head.Value, &fields))
	delete(fields, "epoch")
	head.Value, err = json.Marshal(fields)
	assert.NilError(t, err)
	copied.objects[audit.HeadKey] = head
	s.restore(copied)
	commitChange(t, editor, rand.New(rand.NewPCG(3, 3)), nodePath(1))
}
