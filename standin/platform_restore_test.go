package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/platform"
)

// restoreWithReusedRevision restores the store from a copy of an object's first version,
// and writes another second version with the revision of the lost one. It returns the lost
// version.
func restoreWithReusedRevision(t *testing.T) (*platform.Client, platform.Version) {
	t.Helper()
	p, client := newPlatform(t)
	first, err := client.Put(t.Context(), "a/k", []byte(`"first"`), 0)
	assert.NilError(t, err)
	copied := p.Copy()
	lost, err := client.Put(t.Context(), "a/k", []byte(`"lost"`), first)
	assert.NilError(t, err)
	p.Restore(copied)
	other := platform.NewClient(p.URL())
	defer other.Close()
	object, err := other.Get(t.Context(), "a/k")
	assert.NilError(t, err)
	_, err = other.Put(t.Context(), "a/k", []byte(`"other"`), object.Version)
	assert.NilError(t, err)
	return client, lost
}

// TestWatchReturnsObjectWithReusedRevision guards against a watch that waits for a revision
// above one that a restored store has given out again.
func TestWatchReturnsObjectWithReusedRevision(t *testing.T) {
	client, lost := restoreWithReusedRevision(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	object, err := client.Watch(ctx, "a/k", lost)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), `"other"`)
}

// TestConditionalWritesFailAfterRestore guards against writes whose condition is met by a
// revision that a restored store has given out again.
func TestConditionalWritesFailAfterRestore(t *testing.T) {
	client, lost := restoreWithReusedRevision(t)
	_, err := client.Get(t.Context(), "a/k")
	assert.NilError(t, err)
	_, err = client.Put(t.Context(), "a/k", []byte(`"mine"`), lost)
	assert.Assert(t, trace.IsCompareFailed(err), "%v", err)
	err = client.Delete(t.Context(), "a/k", lost)
	assert.Assert(t, trace.IsCompareFailed(err), "%v", err)
	object, err := client.Get(t.Context(), "a/k")
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), `"other"`)
}
