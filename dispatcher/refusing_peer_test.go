package dispatcher_test

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
)

// TestBackoffFromUnavailablePeers checks that a peer that does not answer gets no further
// handover for one second, so that requests do not wait for it, and that a peer that
// refuses with a load of zero is tried once by every request.
func TestBackoffFromUnavailablePeers(t *testing.T) {
	refusal := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{
		dispatcher.HeaderOutcome: {dispatcher.OutcomeNotRun}, "Dandelionhitch-Load": {"0"},
	}, Body: http.NoBody}
	for name, test := range map[string]struct {
		answer       *http.Response
		err          error
		wantRequests []int // handovers to the peer after five requests, and after five more a second later
	}{
		"does not answer: one handover a second": {err: &net.OpError{Op: "dial", Err: errAgentKilled}, wantRequests: []int{1, 2}},
		"refuses: one handover for each request": {answer: refusal, wantRequests: []int{5, 10}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, testPolicy,
					dispatcher.WithPeers(onePeer{selfAddr()}, transportFunc(func(*http.Request) (*http.Response, error) {
						requests++
						return test.answer, test.err
					})))
				assert.NilError(t, err)
				defer d.Close()
				d.StartDrain()
				for round, want := range test.wantRequests {
					time.Sleep(time.Duration(round) * time.Second)
					for range 5 {
						assert.Equal(t, outcome(sendRequest(d, http.MethodPost, "/plain", "")), dispatcher.OutcomeNotRun)
					}
					assert.Equal(t, requests, want)
				}
			})
		})
	}
}

// TestRequestBodyIsReplayedAfterPeerRefuses hands requests over to a peer that reads the
// body and then refuses. The requests must still run at the dispatcher's own upstream,
// with their whole body.
func TestRequestBodyIsReplayedAfterPeerRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		echo := func(r *http.Request) (*http.Response, error) {
			content, err := io.ReadAll(r.Body)
			time.Sleep(4 * time.Second)
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(content)))}, err
		}
		var refusals atomic.Int64
		refuse := func(r *http.Request) (*http.Response, error) {
			_, _ = io.Copy(io.Discard, r.Body)
			refusals.Add(1)
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{
				dispatcher.HeaderOutcome: {dispatcher.OutcomeNotRun}, "Dandelionhitch-Load": {"0"},
			}, Body: http.NoBody}, nil
		}
		d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, testPolicy,
			dispatcher.WithTransport(transportFunc(echo)),
			dispatcher.WithPeers(onePeer{selfAddr()}, transportFunc(refuse)))
		assert.NilError(t, err)
		defer d.Close()
		var wg sync.WaitGroup
		for i := range 9 {
			if i == 1 {
				// After the first request has finished, the queue knows the run time of
				// the route, from which it calculates the expected wait of the others.
				wg.Wait()
			}
			wg.Go(func() {
				answer := sendRequest(d, http.MethodPost, "/plain", "lilies", dispatcher.HeaderDeadline, "60000")
				content, _ := io.ReadAll(answer.Body)
				assert.Check(t, answer.StatusCode == http.StatusOK, "%d: %s", answer.StatusCode, content)
				assert.Check(t, string(content) == "lilies", "%s", content)
			})
		}
		wg.Wait()
		assert.Assert(t, refusals.Load() > 0)
	})
}
