package dispatcher_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/settings"
)

// policyOf returns settings with 4 slots, 1 of them reserved, and /once as
// non-repeatable.
func policyOf() settings.Service {
	return settings.Service{
		ID:       7,
		Limits:   settings.Limits{Slots: 4, ReservedSlots: 1, QueueLength: 64},
		Requests: settings.Requests{NonRepeatableRoutes: []string{"/once"}, Timeout: settings.Duration(5 * time.Second)},
	}
}

func TestRequestsAreForwardedWholeOverLoopback(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(dispatcher.HeaderDeadline) == "" {
			t.Error("the upstream got no deadline")
		}
		w.Header().Set("Trailer", "Sum")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("Sum", r.Method)
	}))
	defer upstream.Close()
	target, err := url.Parse(upstream.URL)
	assert.NilError(t, err)
	d, err := dispatcher.New(target, policyOf)
	assert.NilError(t, err)
	front := httptest.NewServer(d)
	defer front.Close()

	sent := strings.Repeat("round ", 100_000)
	for range 3 {
		answer, err := http.Post(front.URL+"/checkin?bin=4", "text/plain", strings.NewReader(sent))
		assert.NilError(t, err)
		got, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		answer.Body.Close()
		assert.Assert(t, string(got) == sent)
		assert.Equal(t, answer.Trailer.Get("Sum"), http.MethodPost)
	}
	assert.NilError(t, d.Close())
}
