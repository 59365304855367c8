package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// errBodyWithdrawn is the error of a read from a body that is sent elsewhere.
var errBodyWithdrawn = errors.New("request body was withdrawn")

// body is a request body that knows whether anyone has begun to read it. An
// empty one can be sent any number of times.
//
// It also keeps net/http from sending a request twice on its own: a transport
// only repeats requests whose body it knows to be empty or how to rewind.
type body struct {
	mu      sync.Mutex
	source  io.Reader
	empty   bool
	touched bool
	current *bodyReader
}

// bodyReader is one attempt at sending a body.
type bodyReader struct {
	body *body
}

// newBody returns the body of a request. A request that usually has none may
// come without a length, as over HTTP/3; whether it has a body shows when the
// caller ends it.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 && usuallyEmpty(r.Method) {
		var first [1]byte
		_, err := io.ReadFull(r.Body, first[:])
		switch {
		case err == nil:
			return &body{source: io.MultiReader(bytes.NewReader(first[:]), r.Body)}, nil
		case errors.Is(err, io.EOF):
			r.ContentLength = 0
		default:
			return nil, trace.Wrap(err, "read request body")
		}
	}
	return &body{source: r.Body, empty: r.ContentLength == 0}, nil
}

// usuallyEmpty reports whether requests with the method usually have no body.
func usuallyEmpty(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	}
	return false
}

// newReader returns a reader for one attempt.
func (b *body) newReader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &bodyReader{body: b}
	return b.current
}

// withdraw ends the current attempt and reports whether the body can be sent
// again.
func (b *body) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return b.empty || !b.touched
}

// Read reads from the body unless it was withdrawn from this attempt.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.body.mu.Lock()
	if r.body.current != r {
		r.body.mu.Unlock()
		return 0, errBodyWithdrawn
	}
	r.body.touched = true
	r.body.mu.Unlock()
	return r.body.source.Read(p)
}

// Close leaves the body open: it belongs to the server that received it.
func (r *bodyReader) Close() error { return nil }
