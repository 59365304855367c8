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

// _copyBytes is the size of the buffer that a body is copied through.
const _copyBufferBytes = 32 << 10

// _keptBodyBytes is the largest body that is kept with an outcome.
const _rememberedBodyBytes = 4 << 10

// _keptHeaders are the header fields that are kept with an outcome.
var _rememberedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag"}

// _copyBuffers holds buffers of _copyBytes.
var _copyBuffers = sync.Pool{New: func() any { return new([_copyBufferBytes]byte) }}

// notStartedError says that a request certainly did not reach its receiver.
type notSentError struct {
	err error
}

// Error describes why the request did not start.
func (e *notSentError) Error() string { return fmt.Sprintf("not started: %v", e.err) }

// Unwrap returns why the request did not start.
func (e *notSentError) Unwrap() error { return e.err }

// run sends the request to the upstream under the slot id and relays the
// answer. An error means that nothing was answered yet.
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

// resultOf says what an error of a run tells about the upstream.
func runResult(err error) queue.Result {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return queue.TimedOut
	case errors.Is(err, context.Canceled):
		return queue.Aborted
	}
	return queue.Failed
}

// unavailable reports whether a status says that the upstream cannot work.
// Other errors may lie in the request.
func unavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// sendError says what an error of a transport means for the request.
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

// outgoing returns the request as it goes on to target.
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

// safeMethod reports whether net/http would repeat the request by itself. Such
// a request gets a body, which keeps net/http from it, and which is found
// empty before it is sent.
func (x *exchange) retriedByTransport() bool {
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// relay copies an answer to the caller and settles the request. An answer that
// breaks off is broken off towards the caller too, so that it is not taken
// for the whole. It calls ended, if there is one, once the answer has been read.
func (x *exchange) relay(response *http.Response, bodyRead func()) {
	header := x.w.Header()
	for name, values := range forwardedHeader(response.Header) {
		header[name] = values
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	recorder := newAnswerRecorder(response)
	x.w.WriteHeader(response.StatusCode)
	readErr, writeErr := x.copyBody(response, recorder, bodyRead)
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

// copyBody copies the answer's body to the caller. When the caller is gone it
// reads on, to learn the outcome, as long as the request's context lasts. It
// calls ended, if there is one, once the body has been read and may still be on
// its way to the caller.
func (x *exchange) copyBody(response *http.Response, recorder *answerRecorder, bodyRead func()) (readErr, writeErr error) {
	c := &bodyCopy{
		w:         x.w,
		flusher:   http.NewResponseController(x.w),
		recorder:  recorder,
		flushEach: response.ContentLength < 0,
	}
	if bodyRead == nil {
		return c.copyStreaming(response.Body), c.err
	}
	if response.ContentLength >= 0 && response.ContentLength < _copyBufferBytes {
		return c.copyBuffered(response.Body, bodyRead), c.err
	}
	select {
	case x.d.readAheadSlots <- struct{}{}:
		defer func() { <-x.d.readAheadSlots }()
		return c.copyReadingAhead(response.Body, bodyRead), c.err
	default:
		return c.copyStreaming(response.Body), c.err
	}
}

// bodyCopy copies one answer's body.
type bodyCopy struct {
	w        io.Writer
	flusher  *http.ResponseController
	recorder *answerRecorder
	// flushes says that the caller gets each part at once, since the answer's
	// end may be far.
	flushEach bool
	// err is the error of the first write that failed.
	err error
}

// write passes a part on, unless the caller is gone.
func (c *bodyCopy) write(chunk []byte) {
	c.recorder.add(chunk)
	if c.err != nil || len(chunk) == 0 {
		return
	}
	if _, c.err = c.w.Write(chunk); c.err == nil && c.flushEach {
		// A writer that cannot flush sends the body later.
		_ = c.flusher.Flush()
	}
}

// copyWhole reads a body of less than _copyBytes before it passes it on.
func (c *bodyCopy) copyBuffered(source io.Reader, bodyRead func()) error {
	buf := _copyBuffers.Get().(*[_copyBufferBytes]byte)
	defer _copyBuffers.Put(buf)
	size := 0
	var err error
	for err == nil && size < len(buf) {
		var n int
		n, err = source.Read(buf[size:])
		size += n
	}
	bodyRead()
	c.write(buf[:size])
	if err == io.EOF {
		return nil
	}
	return err
}

// copyEach passes each part on before it reads the next one.
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

// keeping collects what is remembered of an answer.
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

// add takes the next part of the body.
func (r *answerRecorder) add(chunk []byte) {
	r.outcome.Size += int64(len(chunk))
	// A digest never returns an error.
	_, _ = r.digest.Write(chunk)
	if r.outcome.Size <= _rememberedBodyBytes {
		r.outcome.Body = append(r.outcome.Body, chunk...)
	}
}

// done returns the outcome of the whole answer.
func (r *answerRecorder) done() ticket.Done {
	r.outcome.Digest = r.digest.Sum64()
	r.outcome.Kept = r.outcome.Size <= _rememberedBodyBytes
	if !r.outcome.Kept {
		r.outcome.Body = nil
	}
	return r.outcome
}
