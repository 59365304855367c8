package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"dandelionhitch.example/standin"
)

// Sizes in bytes of a trial caller's requests and answers, and its timing.
const (
	_uploadSize       = 2 << 10
	_downloadSize     = 8 << 10
	_longDownloadSize = 128 << 10
	_meanThinkTime    = 150 * time.Millisecond
	_dialTimeout      = 5 * time.Second
	_requestTimeout   = 10 * time.Second
)

// trialCaller is one caller of a try. It has one flow at a time and sends one
// request after another until the try ends.
type trialCaller struct {
	tomb    *tomb.Tomb
	fleet   *fleet
	service plannedService
	path    string
	random  *rand.Rand
	results *trialResults
	// lastNumber is the number of the latest request of all callers.
	lastNumber *atomic.Uint64
	flow       *standin.Caller
	// retryAfter is the minimum time to wait before the next request. At the start, it
	// delays the first request. Later, it is the time that the last answer asked for, if
	// that answer was a refusal.
	retryAfter time.Duration
}

// run sends requests until the try ends. It completes a request in progress.
func (c *trialCaller) run() error {
	ctx := c.tomb.Context(context.Background())
	defer c.closeFlow()
	for sleepContext(ctx, c.thinkTime()) {
		if c.flow == nil && !c.openFlow(ctx) {
			continue
		}
		c.sendRequest()
	}
	return nil
}

// thinkTime returns how long the caller waits before its next request.
func (c *trialCaller) thinkTime() time.Duration {
	wait := time.Duration(c.random.ExpFloat64() * float64(_meanThinkTime))
	wait = max(wait, c.retryAfter)
	c.retryAfter = 0
	return wait
}

// openFlow opens a flow and reports whether that succeeded.
func (c *trialCaller) openFlow(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	flow, err := standin.Dial(dialCtx, c.service.name, c.service.address, c.fleet.callerTLS())
	switch {
	case err == nil:
		c.flow = flow
		return true
	case ctx.Err() != nil:
	case standin.IsRefused(err):
		c.results.flowRefused(c.service.name)
	default:
		c.results.flowFailed(c.service.name, err)
	}
	return false
}

// sendRequest sends one request and records its result. The end of the try does not
// cancel the request.
func (c *trialCaller) sendRequest() {
	ctx, cancel := context.WithTimeout(context.Background(), _requestTimeout)
	defer cancel()
	number := c.lastNumber.Add(1)
	request := standin.Request{Number: number, Path: c.path, Upload: _uploadSize, Download: _downloadSize}
	if c.path == standin.PathLong {
		request.Download = _longDownloadSize
	}
	answer, err := c.doWithTicket(ctx, request)
	switch {
	case err == nil:
		c.results.requestAnswered(c.service.name, c.path, number, answer)
		c.retryAfter = retryAfter(answer)
	case standin.IsGoAway(err):
		c.results.flowGoneAway(c.service.name)
		c.closeFlow()
	default:
		c.results.flowBroken(c.service.name, number, err)
		c.closeFlow()
	}
}

// doWithTicket sends one request. If the answer demands an idempotency key, it sends
// the request again with the ticket from that answer.
func (c *trialCaller) doWithTicket(ctx context.Context, request standin.Request) (standin.Answer, error) {
	answer, err := c.flow.Do(ctx, request)
	if err != nil || answer.Status != http.StatusPreconditionRequired {
		return answer, err
	}
	request.Header = http.Header{"Idempotency-Key": answer.Header["Idempotency-Key"]}
	return c.flow.Do(ctx, request)
}

func (c *trialCaller) closeFlow() {
	if c.flow != nil {
		c.flow.Close()
		c.flow = nil
	}
}

// retryAfter returns the Retry-After time of a refusal, or 0 for any other answer.
func retryAfter(answer standin.Answer) time.Duration {
	if !answer.Refused() {
		return 0
	}
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// isCrossed reports whether err says that an answer came from another service.
func isCrossed(err error) bool {
	var wrongService *standin.WrongServiceError
	return errors.As(err, &wrongService)
}
