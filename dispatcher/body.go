package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// errAttemptEnded is the error when an attempt that has ended reads from the request
// body.
var errAttemptEnded = errors.New("read request body: the attempt has ended")

// _replayBytes is how many bytes of a request's body are retained for sending it
// again. A body of which more bytes have been read cannot be sent again.
const _replayBytes = 64 << 10

// body is a request body that can be sent again as long as all bytes read from it
// are retained in replay.
//
// It also prevents net/http's Transport from sending a request twice on its own: a
// Transport retries only requests that have no body or a GetBody function.
type body struct {
	source io.Reader
	// sourceMu is held during a read from source, which may block until the caller
	// sends more.
	sourceMu sync.Mutex

	mu            sync.Mutex
	replay        []byte
	sourceErr     error // of the last read from source
	truncated     bool  // replay does not hold all bytes read from source
	currentReader *bodyReader
}

// bodyReader is one attempt at sending a body.
type bodyReader struct {
	body *body
	// offset is the number of bytes of replay that the attempt has read.
	offset int
}

// newBody returns the body of a request. A request whose method usually has no body
// may arrive without a length, for example over HTTP/3. To find out whether it has a
// body, newBody then reads the first byte, and sets r.ContentLength to 0 if there
// is none.
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

// newReader returns a reader of the whole body for one attempt. Reads by earlier
// attempts fail from then on.
func (b *body) newReader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentReader = &bodyReader{body: b}
	return b.currentReader
}

// rewind ends the current attempt, whose reads then fail with errAttemptEnded. It
// reports whether the body can be sent again.
func (b *body) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentReader = nil
	return !b.truncated
}

// Read returns first the bytes that earlier attempts have read, then those that
// arrive from the caller. It fails with errAttemptEnded after rewind or a later
// newReader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, ok, err := r.readReplay(p); ok {
		return n, err
	}
	r.body.sourceMu.Lock()
	defer r.body.sourceMu.Unlock()
	// An earlier attempt may have extended replay while this one waited for sourceMu.
	if n, ok, err := r.readReplay(p); ok {
		return n, err
	}
	retain := r.body.retainNext()
	n, err := r.body.source.Read(p)
	return r.record(p[:n], err, retain)
}

// readReplay returns what can be read without a read from the source: bytes of
// replay, or an error that is already known. ok is false if there is neither.
func (r *bodyReader) readReplay(p []byte) (n int, ok bool, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.currentReader != r:
		return 0, true, errAttemptEnded
	case r.offset < len(b.replay):
		n = copy(p, b.replay[r.offset:])
		r.offset += n
		return n, true, nil
	default:
		return 0, b.sourceErr != nil, b.sourceErr
	}
}

// retainNext reports whether the bytes of the next read from the source will be
// retained. If replay is full, it marks the body as truncated.
func (b *body) retainNext() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.replay) >= _replayBytes {
		b.truncated = true
	}
	return !b.truncated
}

// record records the result of a read from the source, and returns the result for
// the reader. If retain is set, record appends the bytes to replay for the next
// attempt, even if the current attempt has ended during the read.
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
		return 0, errAttemptEnded
	}
	return len(read), err
}

// Close does nothing: the HTTP server closes the body of a request it received.
func (r *bodyReader) Close() error { return nil }
