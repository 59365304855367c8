package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/settings"
)

// onePeer knows one other agent, which is idle.
type onePeer struct{ addr netip.AddrPort }

func (p onePeer) Peers() []dispatcher.Peer {
	return []dispatcher.Peer{{Address: p.addr, Incarnation: 1}}
}

func (p onePeer) Endpoint(agent netip.AddrPort) (netip.AddrPort, bool) {
	return p.addr, agent == p.addr
}

// newPair returns a dispatcher whose requests go to a peer over HTTP/2 and TLS
// on loopback because its own upstream is taken, and what it was told.
func newPair(t testing.TB, upstream http.Handler) http.Handler {
	back := httptest.NewServer(upstream)
	t.Cleanup(back.Close)
	target, err := url.Parse(back.URL)
	assert.NilError(t, err)

	peerServer := httptest.NewUnstartedServer(nil)
	addr := netip.MustParseAddrPort(peerServer.Listener.Addr().String())
	peer, err := dispatcher.New(target, policyOf,
		dispatcher.WithSelf(dispatcher.Self{Service: 7, Address: addr, Incarnation: 1}), dispatcher.WithTicketKeys(_keys))
	assert.NilError(t, err)
	peerServer.Config.Handler = peer.PeerHandler()
	peerServer.EnableHTTP2 = true
	peerServer.StartTLS()
	t.Cleanup(peerServer.Close)

	d, err := dispatcher.New(target, func() settings.Service {
		full := policyOf()
		full.Limits = settings.Limits{Slots: 1}
		return full
	}, dispatcher.WithSelf(dispatcher.Self{Service: 7, Address: newSelf(), Incarnation: 1}),
		dispatcher.WithTicketKeys(_keys), dispatcher.WithPeers(onePeer{addr}, peerServer.Client().Transport))
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, d.Close())
		assert.Check(t, peer.Close())
	})
	return d
}

func TestHandOverOverLoopback(t *testing.T) {
	const requests = 2
	arrived, release := make(chan struct{}, requests), make(chan struct{})
	d := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		// An HTTP/1 server drops what it has not read when it begins to answer.
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		_, _ = w.Write(body)
	}))
	sent := strings.Repeat("round ", 50_000)
	answers := make(chan *http.Response, requests)
	// The first takes the only slot here, the second goes to the peer.
	for range requests {
		go func() { answers <- ask(d, http.MethodPost, "/checkin", sent) }()
		select {
		case <-arrived:
		case answer := <-answers:
			t.Fatalf("answered with %s before it ran", answer.Status)
		}
	}
	close(release)
	for range requests {
		answer := <-answers
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		got, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Assert(t, string(got) == sent)
		assert.Equal(t, answer.Header.Get("Dandelionhitch-Load"), "")
	}
}

// BenchmarkRequest measures requests through a dispatcher to an upstream on
// loopback, against the same without a dispatcher.
func BenchmarkRequest(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}))
	defer upstream.Close()
	target, err := url.Parse(upstream.URL)
	assert.NilError(b, err)
	d, err := dispatcher.New(target, policyOf, dispatcher.WithSelf(dispatcher.Self{Service: 7, Address: newSelf(), Incarnation: 1}))
	assert.NilError(b, err)
	defer d.Close()
	keyOf := func() string {
		return ask(d, http.MethodPost, "/once", "").Header.Get(dispatcher.HeaderKey)
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
		{"dispatcher/ticketed", http.MethodPost, "/once", d, keyOf},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var header []string
				if c.key != nil {
					header = []string{dispatcher.HeaderKey, c.key()}
				}
				answer := ask(c.handler, c.method, c.path, "", header...)
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
	d, err := dispatcher.New(target, policyOf)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer d.Close()
	answer := ask(d, http.MethodGet, "/sheet", "")
	body, err := io.ReadAll(answer.Body)
	fmt.Println(answer.Status, string(body), err)
	// Output: 200 OK run sheet <nil>
}
