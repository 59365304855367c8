package dispatcher

import (
	"errors"
	"io"
	"sync"
)

// errBodyWithdrawn is the error of a read from a body that is sent elsewhere.
var errBodyWithdrawn = errors.New("request body was withdrawn")

// body is a request body that knows whether anyone has begun to read it.
//
// It also keeps net/http from sending a request twice on its own: a transport
// only repeats requests whose body it knows to be empty or how to rewind.
type body struct {
	mu      sync.Mutex
	source  io.Reader
	touched bool
	current *bodyReader
}

// bodyReader is one attempt at sending a body.
type bodyReader struct {
	body *body
}

// newReader returns a reader for one attempt.
func (b *body) newReader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &bodyReader{body: b}
	return b.current
}

// withdraw ends the current attempt and reports whether the body can be sent
// again because nothing has read from it.
func (b *body) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return !b.touched
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
