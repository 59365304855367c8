package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/ticket"
)

// _copyBufferBytes is the size of the buffers through which answer bodies are copied.
const _copyBufferBytes = 32 << 10

// _rememberedBodyBytes is the size of the largest answer body that is remembered
// with an outcome.
const _rememberedBodyBytes = 4 << 10

// _rememberedHeaders are the header fields of an answer that are remembered with an
// outcome.
var _rememberedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag"}

// _copyBuffers is a pool of buffers of _copyBufferBytes.
var _copyBuffers = sync.Pool{New: func() any { return new([_copyBufferBytes]byte) }}

// notSentError means that a request certainly did not reach its receiver.
type notSentError struct {
	err error
}

// Error returns the message of the error.
func (e *notSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.err) }

// Unwrap returns the error that prevented the request from being sent.
func (e *notSentError) Unwrap() error { return e.err }

// run sends the request to the upstream and relays the answer. id is the ID under
// which the request holds a slot. If run returns an error, the caller has not been
// answered yet.
func (x *exchange) run(id queue.ID) error {
	ctx := x.newAttemptContext()
	defer ctx.end()
	result := queue.Aborted
	finish := sync.OnceFunc(func() { x.d.admission.finish(id, result) })
	defer finish()

	request := x.outgoingRequest(ctx, x.d.upstream, x.body)
	stripInternal(request.Header)
	if x.ticket != 0 {
		request.Header.Del(HeaderIdempotencyKey)
		request.Header.Set(HeaderTicket, strconv.FormatUint(uint64(x.ticket), 10))
	}
	setDeadline(request.Header, time.Until(x.deadline))
	response, err := x.d.transport.RoundTrip(request)
	if err != nil {
		err = classifySendError(ctx, err)
		result = runResult(err)
		var notSent *notSentError
		x.mayHaveRun = x.mayHaveRun || !errors.As(err, &notSent)
		return err
	}
	defer response.Body.Close()
	ctx.answerStarted(x)
	stripInternal(response.Header)
	result = queue.Done
	if unavailable(response.StatusCode) {
		result = queue.Failed
	}
	x.d.telemetry.countAnswer("upstream")
	x.relay(response, finish)
	return nil
}

// runResult returns the result to report to the queue for a run that failed with err.
func runResult(err error) queue.Result {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return queue.TimedOut
	case errors.Is(err, context.Canceled):
		return queue.Aborted
	}
	return queue.Failed
}

// unavailable reports whether a status means that the upstream cannot serve
// requests. The request itself may be the cause of any other error status.
func unavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// classifySendError returns a notSentError if err, the error of a transport, is a
// failure to connect. Otherwise it returns the cause of ctx if ctx has ended, or err.
func classifySendError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &notSentError{err: err}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// outgoingRequest returns the request to send to target, which is the upstream or a
// peer. b is the body of the request.
func (x *exchange) outgoingRequest(ctx context.Context, target *url.URL, b *body) *http.Request {
	targetURL := *x.r.URL
	targetURL.Scheme, targetURL.Host = target.Scheme, target.Host
	request := &http.Request{
		Method:        x.r.Method,
		URL:           &targetURL,
		Host:          x.r.Host,
		Header:        forwardedHeader(x.r.Header),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: x.r.ContentLength,
	}
	if x.r.ContentLength != 0 || x.retriedByTransport() {
		request.Body = b.newReader()
	}
	if host, _, err := net.SplitHostPort(x.r.RemoteAddr); err == nil && !x.fromPeer {
		request.Header.Add("X-Forwarded-For", host)
	}
	return request.WithContext(ctx)
}

// retriedByTransport reports whether net/http's Transport would on its own retry a
// request with this method and no body. To prevent that, such a request gets a body
// reader even if it has no body: the transport finds the body empty before it sends
// the request, but does not retry it.
func (x *exchange) retriedByTransport() bool {
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// relay copies an answer to the caller and settles the request. If the answer breaks
// off, relay aborts the answer to the caller by a panic with http.ErrAbortHandler,
// so that the caller does not take the truncated answer for a complete one.
// See copyBody for onBodyRead.
func (x *exchange) relay(response *http.Response, onBodyRead func()) {
	header := x.w.Header()
	for name, values := range forwardedHeader(response.Header) {
		header[name] = values
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	recorder := newAnswerRecorder(response)
	x.w.WriteHeader(response.StatusCode)
	readErr, writeErr := x.copyBody(response, recorder, onBodyRead)
	if readErr != nil {
		x.settle(ticket.Unknown{})
	} else {
		x.settle(recorder.done())
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
}

// copyBody copies the answer's body to the caller. After a failed write to the
// caller it continues to read the body, to learn the outcome, until the request's
// context ends.
//
// onBodyRead, if not nil, is called as soon as the whole body has been read, which
// may be before the caller has received it. It is not called if a long body is copied
// without reading ahead, because _maxReadAheadAnswers other answers are read ahead
// already.
func (x *exchange) copyBody(response *http.Response, recorder *answerRecorder, onBodyRead func()) (readErr, writeErr error) {
	c := &bodyCopy{
		w:         x.w,
		flusher:   http.NewResponseController(x.w),
		recorder:  recorder,
		flushEach: response.ContentLength < 0,
	}
	if onBodyRead == nil {
		return c.copyStreaming(response.Body), c.err
	}
	if response.ContentLength >= 0 && response.ContentLength < _copyBufferBytes {
		return c.copyBuffered(response.Body, onBodyRead), c.err
	}
	select {
	case x.d.readAheadSlots <- struct{}{}:
		defer func() { <-x.d.readAheadSlots }()
		return c.copyReadingAhead(response.Body, onBodyRead), c.err
	default:
		return c.copyStreaming(response.Body), c.err
	}
}

// bodyCopy copies one answer's body.
type bodyCopy struct {
	w        io.Writer
	flusher  *http.ResponseController
	recorder *answerRecorder
	// flushEach makes write flush each chunk to the caller. It is set if the length
	// of the answer is unknown, because the next chunk may then arrive much later.
	flushEach bool
	// err is the error of the first failed write to the caller.
	err error
}

// write records a chunk and writes it to the caller, unless a write has failed
// before.
func (c *bodyCopy) write(chunk []byte) {
	c.recorder.add(chunk)
	if c.err != nil || len(chunk) == 0 {
		return
	}
	if _, c.err = c.w.Write(chunk); c.err == nil && c.flushEach {
		// The error is ignored: a writer that cannot flush sends the chunk later.
		_ = c.flusher.Flush()
	}
}

// copyBuffered reads a body of less than _copyBufferBytes completely before it
// writes it to the caller.
func (c *bodyCopy) copyBuffered(source io.Reader, onBodyRead func()) error {
	buf := _copyBuffers.Get().(*[_copyBufferBytes]byte)
	defer _copyBuffers.Put(buf)
	size := 0
	var err error
	for err == nil && size < len(buf) {
		var n int
		n, err = source.Read(buf[size:])
		size += n
	}
	onBodyRead()
	c.write(buf[:size])
	if err == io.EOF {
		return nil
	}
	return err
}

// copyStreaming writes each chunk to the caller before it reads the next one.
func (c *bodyCopy) copyStreaming(source io.Reader) error {
	buf := _copyBuffers.Get().(*[_copyBufferBytes]byte)
	defer _copyBuffers.Put(buf)
	for {
		n, err := source.Read(buf[:])
		c.write(buf[:n])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// answerRecorder collects the parts of an answer that are remembered with its
// outcome.
type answerRecorder struct {
	outcome ticket.Done
	digest  *xxhash.Digest
}

func newAnswerRecorder(response *http.Response) *answerRecorder {
	r := &answerRecorder{digest: xxhash.New()}
	r.outcome = ticket.Done{Status: response.StatusCode, Header: make(map[string][]string)}
	for _, name := range _rememberedHeaders {
		if values := response.Header.Values(name); len(values) > 0 {
			r.outcome.Header[name] = values
		}
	}
	return r
}

// add records the next chunk of the body.
func (r *answerRecorder) add(chunk []byte) {
	r.outcome.Size += int64(len(chunk))
	// Write on an xxhash.Digest never returns an error.
	_, _ = r.digest.Write(chunk)
	if r.outcome.Size <= _rememberedBodyBytes {
		r.outcome.Body = append(r.outcome.Body, chunk...)
	}
}

// done returns the outcome after the whole answer has been recorded. It omits a body
// of more than _rememberedBodyBytes.
func (r *answerRecorder) done() ticket.Done {
	r.outcome.Digest = r.digest.Sum64()
	r.outcome.Kept = r.outcome.Size <= _rememberedBodyBytes
	if !r.outcome.Kept {
		r.outcome.Body = nil
	}
	return r.outcome
}
