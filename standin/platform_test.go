package standin_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

func newPlatform(t testing.TB, opts ...standin.PlatformOption) (*standin.Platform, *platform.Client) {
	t.Helper()
	p, err := standin.NewPlatform(opts...)
	assert.NilError(t, err)
	c := platform.NewClient(p.URL(), platform.WithRate(1e6, 1e6), platform.WithReadBudget(time.Second))
	t.Cleanup(func() {
		assert.NilError(t, c.Close())
		assert.NilError(t, p.Close())
	})
	return p, c
}

// TestPlatformMatchesModel compares the results of the client and the fake platform with
// a map while answers to writes are lost. After an ambiguous write, the test reads the
// object back to learn its version.
func TestPlatformMatchesModel(t *testing.T) {
	p, c := newPlatform(t)
	ctx := t.Context()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		prefix := fmt.Sprintf("run-%d/", run)
		model := map[string]platform.Object{}
		p.SetFaults(standin.PlatformFaults{LoseAnswers: 0.2})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := prefix + rapid.SampledFrom([]string{"a", "b/c"}).Draw(t, "key")
				expected := rapid.SampledFrom([]platform.Version{0, 1, model[key].Version}).Draw(t, "expected")
				value, _ := json.Marshal(rapid.Int().Draw(t, "value"))
				matches := expected == model[key].Version
				version, err := c.Put(ctx, key, value, expected)
				switch {
				case platform.IsAmbiguous(err):
					version = readBack(t, c, key).Version
				case matches:
					assert.NilError(t, err)
				default:
					assert.Assert(t, trace.IsCompareFailed(err), "%v", err)
				}
				if matches {
					assert.Assert(t, version > model[key].Version)
					model[key] = platform.Object{Key: key, Value: value, Version: version}
				}
			},
			"delete": func(t *rapid.T) {
				key := prefix + rapid.SampledFrom([]string{"a", "b/c"}).Draw(t, "key")
				if _, ok := model[key]; !ok {
					return
				}
				err := c.Delete(ctx, key, model[key].Version)
				assert.Assert(t, err == nil || platform.IsAmbiguous(err), "%v", err)
				delete(model, key)
			},
			"": func(t *rapid.T) {
				objects, err := c.List(ctx, prefix)
				assert.NilError(t, err)
				assert.Equal(t, len(objects), len(model))
				for _, object := range objects {
					assert.DeepEqual(t, object, model[object.Key])
					assert.DeepEqual(t, readBack(t, c, object.Key), object)
				}
			},
		})
	})
	assert.Assert(t, p.Counts().LostAnswers > 0)
}

func readBack(t assert.TestingT, c *platform.Client, key string) platform.Object {
	object, err := c.Get(context.Background(), key)
	if !trace.IsNotFound(err) {
		assert.NilError(t, err)
	}
	return object
}

// TestWriteErrorsAreClassified checks the client's error for each outcome of a write. An
// error must be ambiguous only if the write may have taken effect.
func TestWriteErrorsAreClassified(t *testing.T) {
	refused, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	refused.Close()
	tests := []struct {
		// status is the HTTP status, or 0, 1 or 2 for the failures noted below.
		status    int
		ambiguous bool
		check     func(error) bool
	}{
		{0, false, trace.IsConnectionProblem}, // The connection is refused.
		{1, true, nil},                        // The connection is closed without an answer.
		{2, true, nil},                        // The call times out.
		{200, true, nil},                      // The answer has no version.
		{404, false, trace.IsCompareFailed},   // The object to replace does not exist.
		{403, false, trace.IsAccessDenied},
		{409, false, trace.IsCompareFailed},
		{429, false, trace.IsLimitExceeded},
		{503, false, trace.IsConnectionProblem},
		{500, true, nil},
		{504, true, nil},
	}
	for _, tt := range tests {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			switch tt.status {
			case 1:
				panic(http.ErrAbortHandler)
			case 2:
				// The server detects that the client has closed the connection only after
				// the body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			default:
				w.WriteHeader(tt.status)
			}
		}))
		base, _ := url.Parse(server.URL)
		timeout := time.Minute
		if tt.status == 0 {
			base.Host = refused.Addr().String()
		}
		if tt.status == 2 {
			timeout = time.Millisecond
		}
		client := platform.NewClient(base, platform.WithCallTimeout(timeout))
		_, err := client.Put(t.Context(), "k", []byte("1"), 1)
		assert.Equal(t, platform.IsAmbiguous(err), tt.ambiguous, "status %d: %v", tt.status, err)
		assert.Assert(t, tt.check == nil || tt.check(err), "status %d: %v", tt.status, err)
		assert.Assert(t, calls.Load() <= 1, "a write was sent more than once")
		client.Close()
		server.Close()
	}
}

// TestReadRetryBudget checks that reads are retried: they must succeed while half of the
// calls are refused, and must return an error in an outage or if their context is canceled.
func TestReadRetryBudget(t *testing.T) {
	p, c := newPlatform(t)
	_, err := c.Put(t.Context(), "k", []byte("1"), 0)
	assert.NilError(t, err)
	p.SetFaults(standin.PlatformFaults{Refuse: 0.5})
	for range 5 {
		_, err = c.Get(t.Context(), "k")
		assert.NilError(t, err)
	}
	p.SetFaults(standin.PlatformFaults{Outage: true})
	_, err = c.Get(t.Context(), "k")
	assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Get(ctx, "k")
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
}

// waitForCounts waits until reached is true of the platform's counts.
func waitForCounts(t *testing.T, p *standin.Platform, reached func(standin.PlatformCounts) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if counts := p.Counts(); !reached(counts) {
			return poll.Continue("%+v", counts)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestWatchResumesAfterOutage watches an object that does not change. Meanwhile, several
// watch calls time out, and then an outage aborts the waiting call. The watch must return
// the first change after the outage.
func TestWatchResumesAfterOutage(t *testing.T) {
	p, _ := newPlatform(t)
	c := platform.NewClient(p.URL(), platform.WithWatchTimeout(10*time.Millisecond))
	defer c.Close()
	version, err := c.Put(t.Context(), "k", []byte("1"), 0)
	assert.NilError(t, err)
	w := &watcher{client: c, key: "k", after: version}
	w.tomb.Go(w.run)
	waitForCounts(t, p, func(c standin.PlatformCounts) bool { return c.Watches > 2 })
	p.SetFaults(standin.PlatformFaults{Outage: true})
	waitForCounts(t, p, func(c standin.PlatformCounts) bool { return c.Aborted > 2 })
	assert.Equal(t, p.Counts().Waiting, 0)
	p.SetFaults(standin.PlatformFaults{})
	_, err = c.Put(t.Context(), "k", []byte("2"), version)
	assert.NilError(t, err)
	assert.NilError(t, w.tomb.Wait())
	assert.Equal(t, string(w.object.Value), "2")
}

type watcher struct {
	tomb   tomb.Tomb
	client *platform.Client
	key    string
	after  platform.Version
	object platform.Object
}

func (w *watcher) run() (err error) {
	w.object, err = w.client.Watch(context.Background(), w.key, w.after)
	return err
}

// TestStaleReadsReturnAnOlderVersion makes half of the reads stale. Some reads, but not
// all, must return an older version than the one just written.
func TestStaleReadsReturnAnOlderVersion(t *testing.T) {
	p, c := newPlatform(t, standin.WithPlatformSeed(7), standin.WithPlatformFaults(standin.PlatformFaults{StaleReads: 0.5}))
	var version platform.Version
	stale := 0
	for i := range 50 {
		var err error
		version, err = c.Put(t.Context(), "k", fmt.Append(nil, i), version)
		assert.NilError(t, err)
		object, err := c.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Assert(t, object.Version <= version)
		if object.Version < version {
			stale++
		}
	}
	assert.Assert(t, stale > 0 && stale < 50)
	assert.Assert(t, stale <= p.Counts().StaleReads)
}

func TestClientRejectsInvalidWrites(t *testing.T) {
	p, c := newPlatform(t)
	large := []byte(`"` + strings.Repeat("x", platform.MaxValueSize) + `"`)
	_, err := c.Put(t.Context(), "k", large, 0)
	assert.Assert(t, trace.IsLimitExceeded(err), "%v", err)
	for _, key := range []string{"", "/a", "a//b", "a/../b", "a b", "ø", strings.Repeat("x", platform.MaxKeySize+1)} {
		_, err := c.Put(t.Context(), key, []byte("1"), 0)
		assert.Assert(t, trace.IsBadParameter(err), "key %q: %v", key, err)
	}
	_, err = c.Put(t.Context(), "k", []byte("{"), 0)
	assert.Assert(t, trace.IsBadParameter(err), "%v", err)
	assert.Equal(t, p.Counts().Writes, 0)
}

// TestTokenFileIsReadForEveryCall replaces the token in the file between two calls. Each call
// must carry the token that the file holds at that time.
func TestTokenFileIsReadForEveryCall(t *testing.T) {
	var authorization atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		authorization.Store(r.Header.Get("Authorization"))
	}))
	defer server.Close()
	base, _ := url.Parse(server.URL)
	file := filepath.Join(t.TempDir(), "token")
	client := platform.NewClient(base, platform.WithTokenFile(file))
	defer client.Close()
	for _, token := range []string{"one", "two"} {
		assert.NilError(t, os.WriteFile(file, []byte(token+"\n"), 0o600))
		_ = client.Delete(t.Context(), "k", 1)
		assert.Equal(t, authorization.Load(), "Bearer "+token)
	}
}

// TestMutualTLS calls a server that requires a client certificate. A call without a
// certificate must fail, and one with a certificate must be answered.
func TestMutualTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	defer server.Close()
	base, _ := url.Parse(server.URL)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	config := &tls.Config{RootCAs: roots}
	for _, certificates := range [][]tls.Certificate{nil, server.TLS.Certificates} {
		config.Certificates = certificates
		client := platform.NewClient(base, platform.WithTLS(config.Clone()), platform.WithReadBudget(time.Millisecond))
		_, err := client.Get(t.Context(), "k")
		assert.Equal(t, trace.IsNotFound(err), certificates != nil, "%v", err)
		client.Close()
	}
}

func FuzzObject(f *testing.F) {
	f.Add([]byte(`{"key":"a/b","value":{"x":1},"version":7}`))
	f.Add([]byte(`{"key":"../a","value":null,"version":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var object platform.Object
		if json.Unmarshal(data, &object) != nil {
			return
		}
		assert.NilError(t, platform.CheckKey(object.Key))
		again, err := json.Marshal(object)
		assert.NilError(t, err)
		var back platform.Object
		assert.NilError(t, json.Unmarshal(again, &back))
	})
}

func FuzzStoredObject(f *testing.F) {
	f.Add([]byte(`{"meta":{"name":"leader","revision":412,"createRevision":9,"finalizers":[],"deleting":false},"spec":{"x":1},"status":null}`))
	f.Add([]byte(`{"meta":{"name":""},"spec":1}`))
	f.Add([]byte(`{"meta":7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var object platform.StoredObject
		if json.Unmarshal(data, &object) != nil {
			return
		}
		assert.Assert(t, object.Meta.Name != "")
		again, err := json.Marshal(object)
		assert.NilError(t, err)
		var back platform.StoredObject
		assert.NilError(t, json.Unmarshal(again, &back))
		assert.Equal(t, back.Meta.Revision, object.Meta.Revision)
	})
}

func FuzzSplitKey(f *testing.F) {
	f.Add("settings/snapshot/7")
	f.Add("k")
	f.Fuzz(func(t *testing.T, key string) {
		if platform.CheckKey(key) != nil {
			return
		}
		kind, name := platform.SplitKey(key)
		assert.Assert(t, kind != "" && name != "" && !strings.Contains(name, "/"))
		if !strings.HasPrefix(key, kind+"/") && strings.Contains(key, "/") {
			t.Fatalf("key %q has kind %q", key, kind)
		}
	})
}

// TestWatchAfterHistoryWasDropped watches an object whose last change is older than the
// events that the store retains. The watch must return the object's next change.
func TestWatchAfterHistoryWasDropped(t *testing.T) {
	p, c := newPlatform(t, standin.WithPlatformHistory(3))
	version, err := c.Put(t.Context(), "a/watched", []byte("1"), 0)
	assert.NilError(t, err)
	for i := range 10 {
		_, err := c.Put(t.Context(), fmt.Sprintf("a/other-%d", i), []byte("1"), 0)
		assert.NilError(t, err)
	}
	w := &watcher{client: c, key: "a/watched", after: version}
	w.tomb.Go(w.run)
	waitForCounts(t, p, func(c standin.PlatformCounts) bool { return c.Waiting == 1 })
	_, err = c.Put(t.Context(), "a/watched", []byte("2"), version)
	assert.NilError(t, err)
	assert.NilError(t, w.tomb.Wait())
	assert.Equal(t, string(w.object.Value), "2")
}

// TestWatchReturnsObjectCreatedLater watches an object that does not exist yet. The watch
// must return the object once it is created.
func TestWatchReturnsObjectCreatedLater(t *testing.T) {
	p, c := newPlatform(t)
	w := &watcher{client: c, key: "config/main"}
	w.tomb.Go(w.run)
	waitForCounts(t, p, func(c standin.PlatformCounts) bool { return c.Waiting == 1 })
	_, err := c.Put(t.Context(), "config/main", []byte("1"), 0)
	assert.NilError(t, err)
	assert.NilError(t, w.tomb.Wait())
	assert.Equal(t, string(w.object.Value), "1")
}
