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

func TestBackoffFromUnavailablePeers(t *testing.T) {
	refuses := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{
		dispatcher.HeaderOutcome: {dispatcher.OutcomeNotRun}, "Dandelionhitch-Load": {"0"},
	}, Body: http.NoBody}
	for name, test := range map[string]struct {
		answer       *http.Response
		err          error
		wantRequests []int // how often the peer was asked after five requests, and after five more a second later
	}{
		"silent, left alone for a second": {err: &net.OpError{Op: "dial", Err: errAgentKilled}, wantRequests: []int{1, 2}},
		"refuses, asked once by each":     {answer: refuses, wantRequests: []int{5, 10}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, policyOf,
					dispatcher.WithPeers(onePeer{selfAddr()}, transportFunc(func(*http.Request) (*http.Response, error) {
						requests++
						return test.answer, test.err
					})))
				assert.NilError(t, err)
				defer d.Close()
				d.Leave()
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

// TestRequestBodyIsReplayedAfterPeerRefuses hands a request with a body to a peer that
// has no room after all. The request must still run here, with its whole body.
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
		d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, policyOf,
			dispatcher.WithTransport(transportFunc(echo)),
			dispatcher.WithPeers(onePeer{selfAddr()}, transportFunc(refuse)))
		assert.NilError(t, err)
		defer d.Close()
		var answers sync.WaitGroup
		for i := range 9 {
			if i == 1 {
				// The time that the first one runs tells the others how long they would wait.
				answers.Wait()
			}
			answers.Go(func() {
				answer := sendRequest(d, http.MethodPost, "/plain", "lilies", dispatcher.HeaderDeadline, "60000")
				content, _ := io.ReadAll(answer.Body)
				assert.Check(t, answer.StatusCode == http.StatusOK, "%d: %s", answer.StatusCode, content)
				assert.Check(t, string(content) == "lilies", "%s", content)
			})
		}
		answers.Wait()
		assert.Assert(t, refusals.Load() > 0)
	})
}
