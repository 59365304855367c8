package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/settings"
)

// testPolicy returns settings with 4 slots, 1 of them reserved for short requests, and
// with /once as a non-repeatable route.
func testPolicy() settings.Service {
	return settings.Service{
		ID:       7,
		Limits:   settings.Limits{Slots: 4, ReservedSlots: 1, QueueLength: 64},
		Requests: settings.Requests{NonRepeatableRoutes: []string{"/once"}, Timeout: settings.Duration(5 * time.Second)},
	}
}

// TestBodyAndTrailerAreForwardedOverLoopback checks that a body of 600 KB passes to the
// upstream and back unchanged, that the upstream gets a deadline, and that the trailer
// of the answer reaches the caller.
func TestBodyAndTrailerAreForwardedOverLoopback(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(dispatcher.HeaderDeadline) == "" {
			t.Error("the upstream got no deadline")
		}
		w.Header().Set("Trailer", "Sum")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("Sum", r.Method)
	}))
	defer upstream.Close()
	agentServer := httptest.NewServer(newForUpstream(t, upstream))
	defer agentServer.Close()

	sent := strings.Repeat("round ", 100_000)
	for range 3 {
		answer, err := http.Post(agentServer.URL+"/checkin?bin=4", "text/plain", strings.NewReader(sent))
		assert.NilError(t, err)
		got, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		answer.Body.Close()
		assert.Assert(t, string(got) == sent)
		assert.Equal(t, answer.Trailer.Get("Sum"), http.MethodPost)
	}
}

// TestBodilessRequestIsRetriedOverLoopback checks that a GET request without a body is
// retried exactly once, by the dispatcher, after the upstream aborts the connection,
// also if the request came without a length.
func TestBodilessRequestIsRetriedOverLoopback(t *testing.T) {
	var runs atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer upstream.Close()
	d := newForUpstream(t, upstream)
	for _, length := range []int64{0, -1} { // -1: length unknown, as over HTTP/3
		runs.Store(0)
		r := httptest.NewRequest(http.MethodGet, "/sheet", nil)
		r.ContentLength = length
		w := httptest.NewRecorder()
		d.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, runs.Load(), int32(2))
	}
}

// newForUpstream returns a dispatcher whose upstream is the given server.
func newForUpstream(t testing.TB, upstream *httptest.Server, opts ...dispatcher.Option) *dispatcher.Dispatcher {
	target, err := url.Parse(upstream.URL)
	assert.NilError(t, err)
	opts = append([]dispatcher.Option{dispatcher.WithTicketKeys(_ticketKeys)}, opts...)
	d, err := dispatcher.New(target, testPolicy, opts...)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, d.Close()) })
	return d
}

// onePeer implements dispatcher.Peers with a single peer, which is idle.
type onePeer struct{ addr netip.AddrPort }

func (p onePeer) Peers() []dispatcher.Peer {
	return []dispatcher.Peer{{Address: p.addr, Incarnation: 1}}
}

func (p onePeer) Endpoint(agent netip.AddrPort) (netip.AddrPort, bool) {
	return p.addr, agent == p.addr
}

// newDrainingWithPeer returns a draining dispatcher, which hands its requests over to a
// peer. They are connected by HTTP/2 and TLS on loopback, and both use the given
// upstream.
func newDrainingWithPeer(t testing.TB, upstream http.Handler) http.Handler {
	upstreamServer := httptest.NewServer(upstream)
	t.Cleanup(upstreamServer.Close)
	peerServer := httptest.NewUnstartedServer(nil)
	addr := netip.MustParseAddrPort(peerServer.Listener.Addr().String())
	peer := newForUpstream(t, upstreamServer, dispatcher.WithIdentity(dispatcher.Identity{Service: 7, Address: addr, Incarnation: 1}))
	peerServer.Config.Handler = peer.PeerHandler()
	peerServer.EnableHTTP2 = true
	peerServer.StartTLS()
	t.Cleanup(peerServer.Close)

	d := newForUpstream(t, upstreamServer, dispatcher.WithIdentity(dispatcher.Identity{Service: 7, Address: selfAddr(), Incarnation: 1}),
		dispatcher.WithPeers(onePeer{addr}, dispatcher.NewPeerTransport(peerServer.Client().Transport.(*http.Transport).TLSClientConfig)))
	d.StartDrain()
	return d
}

// TestHandOverOverLoopback checks that a handover over HTTP/2 and TLS carries the bodies of
// request and answer, and that the caller does not get the peer's load header.
func TestHandOverOverLoopback(t *testing.T) {
	d := newDrainingWithPeer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An HTTP/1 server discards the unread part of a request body when it begins
		// to answer, so the body is read first.
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		_, _ = w.Write(body)
	}))
	sent := strings.Repeat("round ", 50_000)
	answer := sendRequest(d, http.MethodPost, "/checkin", sent)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	got, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == sent)
	assert.Equal(t, answer.Header.Get("Dandelionhitch-Load"), "")
}

// BenchmarkRequest measures requests to an upstream on loopback, directly ("bare") and
// through a dispatcher.
func BenchmarkRequest(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}))
	defer upstream.Close()
	d := newForUpstream(b, upstream, dispatcher.WithIdentity(dispatcher.Identity{Service: 7, Address: selfAddr(), Incarnation: 1}))
	newKey := func() string {
		return sendRequest(d, http.MethodPost, "/once", "").Header.Get(dispatcher.HeaderIdempotencyKey)
	}
	bare := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		to, err := http.NewRequestWithContext(r.Context(), r.Method, upstream.URL+r.URL.Path, nil)
		assert.NilError(b, err)
		answer, err := http.DefaultTransport.RoundTrip(to)
		assert.NilError(b, err)
		_, _ = io.Copy(w, answer.Body)
		answer.Body.Close()
	})
	for _, c := range []struct {
		name, method, path string
		handler            http.Handler
		key                func() string
	}{
		{"bare/get", http.MethodGet, "/sheet", bare, nil},
		{"dispatcher/get", http.MethodGet, "/sheet", d, nil},
		{"dispatcher/post", http.MethodPost, "/checkin", d, nil},
		{"dispatcher/ticketed", http.MethodPost, "/once", d, newKey},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var header []string
				if c.key != nil {
					header = []string{dispatcher.HeaderIdempotencyKey, c.key()}
				}
				answer := sendRequest(c.handler, c.method, c.path, "", header...)
				if answer.StatusCode != http.StatusOK {
					b.Fatal(answer.Status)
				}
			}
		})
	}
}

func ExampleNew() {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "run sheet")
	}))
	defer upstream.Close()
	target, err := url.Parse(upstream.URL)
	if err != nil {
		fmt.Println(err)
		return
	}
	d, err := dispatcher.New(target, testPolicy)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer d.Close()
	answer := sendRequest(d, http.MethodGet, "/sheet", "")
	body, err := io.ReadAll(answer.Body)
	fmt.Println(answer.Status, string(body), err)
	// Output: 200 OK run sheet <nil>
}
