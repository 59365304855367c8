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

// _keptBody is how many octets of a request's body are kept for sending it
// again. A body that was read further can be sent once only.
const _keptBody = 64 << 10

// body is a request body that can be sent again while all that was read of it
// is kept.
//
// It also keeps net/http from sending a request twice on its own: a transport
// only repeats requests whose body it knows to be empty or how to rewind.
type body struct {
	source io.Reader
	// reading is held during a read of source, which may wait for the caller.
	reading sync.Mutex

	mu      sync.Mutex
	kept    []byte
	err     error // of the last read of source
	dropped bool  // something that was read is not in kept
	current *bodyReader
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
	b.current = &bodyReader{body: b}
	return b.current
}

// withdraw ends the current attempt and reports whether the body can be sent
// again.
func (b *body) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return !b.dropped
}

// Read reads from the body unless it was withdrawn from this attempt: first what
// earlier attempts have read, then what the caller sends.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, ok, err := r.readKept(p); ok {
		return n, err
	}
	r.body.reading.Lock()
	defer r.body.reading.Unlock()
	// The attempt before may have read on while this one waited.
	if n, ok, err := r.readKept(p); ok {
		return n, err
	}
	keep := r.body.reserve()
	n, err := r.body.source.Read(p)
	return r.take(p[:n], err, keep)
}

// readKept reads what needs no read of the source; ok is false if that is nothing.
func (r *bodyReader) readKept(p []byte) (n int, ok bool, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.current != r:
		return 0, true, errBodyWithdrawn
	case r.offset < len(b.kept):
		n = copy(p, b.kept[r.offset:])
		r.offset += n
		return n, true, nil
	default:
		return 0, b.err != nil, b.err
	}
}

// reserve reports whether the next read of the source is to be kept.
func (b *body) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.kept) >= _keptBody {
		b.dropped = true
	}
	return !b.dropped
}

// take notes what was read of the source. It is kept also if the attempt was
// withdrawn meanwhile, for the next one.
func (r *bodyReader) take(read []byte, err error, keep bool) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	if keep {
		b.kept = append(b.kept, read...)
		r.offset += len(read)
	}
	if b.current != r {
		return 0, errBodyWithdrawn
	}
	return len(read), err
}

// Close leaves the body open: it belongs to the server that received it.
func (r *bodyReader) Close() error { return nil }
