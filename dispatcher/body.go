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
var errAttemptSuperseded = errors.New("request body was withdrawn")

// _keptBody is how many octets of a request's body are kept for sending it
// again. A body that was read further can be sent once only.
const _replayBytes = 64 << 10

// body is a request body that can be sent again while all that was read of it
// is kept.
//
// It also keeps net/http from sending a request twice on its own: a transport
// only repeats requests whose body it knows to be empty or how to rewind.
type body struct {
	source io.Reader
	// reading is held during a read of source, which may wait for the caller.
	sourceMu sync.Mutex

	mu            sync.Mutex
	replay        []byte
	sourceErr     error // of the last read of source
	truncated     bool  // something that was read is not in kept
	currentReader *bodyReader
}

// bodyReader is one attempt at sending a body.
type bodyReader struct {
	body *body
	// offset is how much of what is kept the attempt has read.
	offset int
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
	return &body{source: r.Body}, nil
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
	b.currentReader = &bodyReader{body: b}
	return b.currentReader
}

// withdraw ends the current attempt and reports whether the body can be sent
// again.
func (b *body) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentReader = nil
	return !b.truncated
}

// Read reads from the body unless it was withdrawn from this attempt: first what
// earlier attempts have read, then what the caller sends.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, ok, err := r.readReplay(p); ok {
		return n, err
	}
	r.body.sourceMu.Lock()
	defer r.body.sourceMu.Unlock()
	// The attempt before may have read on while this one waited.
	if n, ok, err := r.readReplay(p); ok {
		return n, err
	}
	retain := r.body.retainNext()
	n, err := r.body.source.Read(p)
	return r.record(p[:n], err, retain)
}

// readKept reads what needs no read of the source; ok is false if that is nothing.
func (r *bodyReader) readReplay(p []byte) (n int, ok bool, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.currentReader != r:
		return 0, true, errAttemptSuperseded
	case r.offset < len(b.replay):
		n = copy(p, b.replay[r.offset:])
		r.offset += n
		return n, true, nil
	default:
		return 0, b.sourceErr != nil, b.sourceErr
	}
}

// reserve reports whether the next read of the source is to be kept.
func (b *body) retainNext() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.replay) >= _replayBytes {
		b.truncated = true
	}
	return !b.truncated
}

// take notes what was read of the source. It is kept also if the attempt was
// withdrawn meanwhile, for the next one.
func (r *bodyReader) record(read []byte, err error, retain bool) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sourceErr = err
	if retain {
		b.replay = append(b.replay, read...)
		r.offset += len(read)
	}
	if b.currentReader != r {
		return 0, errAttemptSuperseded
	}
	return len(read), err
}

// Close leaves the body open: it belongs to the server that received it.
func (r *bodyReader) Close() error { return nil }
