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

// Octets and times of a trial caller's work.
const (
	_upload        = 2 << 10
	_download      = 8 << 10
	_exportSize    = 128 << 10
	_meanThinkTime = 150 * time.Millisecond
	_flowTimeout   = 5 * time.Second
	_workTimeout   = 10 * time.Second
)

// trialCaller is one caller of a try: one flow at a time, one request after
// another, until it is told to stop.
type trialCaller struct {
	tomb    *tomb.Tomb
	fleet   *fleet
	service plannedService
	path    string
	random  *rand.Rand
	results *trialResults
	numbers *atomic.Uint64
	flow    *standin.Caller
	// retryAfter is how long the last refusal asked the caller to wait.
	retryAfter time.Duration
}

// run sends requests until the try ends. A request in progress is finished.
func (c *trialCaller) run() error {
	ctx := c.tomb.Context(context.Background())
	defer c.closeFlow()
	for sleepContext(ctx, c.thinkTime()) {
		if c.flow == nil && !c.open(ctx) {
			continue
		}
		c.work()
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

// open opens a flow and reports whether it stands.
func (c *trialCaller) open(ctx context.Context) bool {
	dialing, cancel := context.WithTimeout(ctx, _flowTimeout)
	defer cancel()
	flow, err := standin.Dial(dialing, c.service.name, c.service.address, c.fleet.callerTLS())
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

// work sends one request. It is not bound to the caller's end, so that the
// end of a try cuts nothing.
func (c *trialCaller) work() {
	ctx, cancel := context.WithTimeout(context.Background(), _workTimeout)
	defer cancel()
	number := c.numbers.Add(1)
	work := standin.Work{Number: number, Path: c.path, Upload: _upload, Download: _download}
	if c.path == standin.PathLong {
		work.Download = _exportSize
	}
	answer, err := c.do(ctx, work)
	switch {
	case err == nil:
		c.results.answered(c.service.name, c.path, number, answer)
		c.retryAfter = retryAfter(answer)
	case standin.IsGoAway(err):
		c.results.goneAway(c.service.name)
		c.closeFlow()
	default:
		c.results.broken(c.service.name, number, err)
		c.closeFlow()
	}
}

// do sends one request, and again with the ticket if it is asked to have one.
func (c *trialCaller) do(ctx context.Context, work standin.Work) (standin.Answer, error) {
	answer, err := c.flow.Do(ctx, work)
	if err != nil || answer.Status != http.StatusPreconditionRequired {
		return answer, err
	}
	work.Header = http.Header{"Idempotency-Key": answer.Header["Idempotency-Key"]}
	return c.flow.Do(ctx, work)
}

func (c *trialCaller) closeFlow() {
	if c.flow != nil {
		c.flow.Close()
		c.flow = nil
	}
}

// retryAfter returns when a refusal told the caller to come back.
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

// isCrossed reports whether an answer came from another service.
func isCrossed(err error) bool {
	var crossed *standin.CrossedError
	return errors.As(err, &crossed)
}
