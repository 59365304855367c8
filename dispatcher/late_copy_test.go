package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
)

// newDuplicatingUpstream starts an upstream that answers each request with its path.
// Before it answers a later request on the same connection, it sends its previous
// answer again.
func newDuplicatingUpstream(t *testing.T) *url.URL {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		last := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return // the dispatcher has closed the connection
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
			if _, err := io.WriteString(conn, last+answer); err != nil {
				return
			}
			last = answer
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go serve(conn)
		}
	}()
	return &url.URL{Scheme: "http", Host: listener.Addr().String()}
}

// TestLateDuplicateAnswerIsDiscarded sends requests one after another to an upstream that
// sends its answers twice. Each caller must get the answer to its own request. If the
// dispatcher reused a connection, it would take the duplicate for the answer to the next
// request.
func TestLateDuplicateAnswerIsDiscarded(t *testing.T) {
	target := newDuplicatingUpstream(t)
	d := newForUpstream(t, &httptest.Server{URL: target.String()})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for i := range 5 {
			path := fmt.Sprintf("/sheet/%d", i)
			w := httptest.NewRecorder()
			d.ServeHTTP(w, httptest.NewRequest(method, path, nil))
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, w.Body.String(), path, "%s %s got the answer of another request", method, path)
		}
	}
}

var _ http.Handler = (*dispatcher.Dispatcher)(nil)
