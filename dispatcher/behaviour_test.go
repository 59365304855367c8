package dispatcher_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/dispatcher"
	"dandelionhitch.example/queue"
	"dandelionhitch.example/settings"
)

// newWithoutPeers returns a dispatcher without peers. serve acts as its upstream.
func newWithoutPeers(t testing.TB, policy settings.Service, serve func(*http.Request) (*http.Response, error)) *dispatcher.Dispatcher {
	d, err := dispatcher.New(&url.URL{Scheme: "http", Host: "upstream"}, func() settings.Service { return policy },
		dispatcher.WithIdentity(dispatcher.Identity{Service: 7, Address: selfAddr(), Incarnation: 1}),
		dispatcher.WithTransport(transportFunc(serve)))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, d.Close()) })
	return d
}

// sendRequest sends one request to d and returns the answer. The elements of header are
// alternately names and values.
func sendRequest(d http.Handler, method, target, body string, header ...string) *http.Response {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result()
}

// respondAfter returns an upstream that answers each request with status and body
// after delay, or with the context's error if the request is cancelled earlier.
func respondAfter(delay time.Duration, status int, body string) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		if r.Body != nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
		w := httptest.NewRecorder()
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
		return w.Result(), nil
	}
}

// outcome returns the value of HeaderOutcome in an answer.
func outcome(answer *http.Response) string { return answer.Header.Get(dispatcher.HeaderOutcome) }

// TestFullQueueRefusesImmediately checks that a request is refused at once, with the
// outcome not-run, while the only slot is in use and the queue is full. The refusals'
// Retry-After values must differ, so that callers do not all retry at the same time.
func TestFullQueueRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := testPolicy()
		policy.Limits = settings.Limits{Slots: 1, QueueLength: 1}
		d := newWithoutPeers(t, policy, respondAfter(time.Second, http.StatusOK, ""))
		sentAt := time.Now()
		answers := make(chan *http.Response, 10)
		for range cap(answers) {
			go func() { answers <- sendRequest(d, http.MethodPost, "/checkin", "") }()
			synctest.Wait()
		}
		retryAfters := make(map[int]bool)
		for range 8 {
			answer := <-answers
			assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, outcome(answer), dispatcher.OutcomeNotRun)
			assert.Equal(t, answer.Header.Get(dispatcher.HeaderReason), queue.Full.String())
			seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
			assert.NilError(t, err)
			retryAfters[seconds] = true
		}
		assert.Equal(t, time.Since(sentAt), time.Duration(0), "refusals were delayed")
		assert.Assert(t, len(retryAfters) > 1, "all refusals have the same Retry-After: %v", retryAfters)
		for range 2 {
			assert.Equal(t, (<-answers).StatusCode, http.StatusOK)
		}
	})
}

// slowCaller is a caller whose connection blocks every write of the answer's body until
// unblocked is closed.
type slowCaller struct {
	*httptest.ResponseRecorder
	unblocked chan struct{}
}

func (c slowCaller) Write(p []byte) (int, error) {
	<-c.unblocked
	return c.ResponseRecorder.Write(p)
}

// TestSlowCallerHoldsNoSlotForBufferedAnswer checks that an answer which fits into the
// dispatcher's buffers releases its slot before a slow caller has received the answer.
// Otherwise, a few slow callers would block the upstream: in this test, the second
// request could not run while the first caller reads nothing. A larger answer holds the
// slot. An answer that breaks off must break off at the caller too.
func TestSlowCallerHoldsNoSlotForBufferedAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		size      int
		hasLength bool // the answer has a Content-Length
		breaksOff bool // the answer's body ends with an error
		holdsSlot bool // the slot is held until the caller has received the answer
	}{
		"small":                  {size: 20 << 10, hasLength: true},
		"small, broken":          {size: 20 << 10, hasLength: true, breaksOff: true},
		"length unknown":         {size: 64 << 10},
		"length unknown, broken": {size: 64 << 10, breaksOff: true},
		"64 KB":                  {size: 64 << 10, hasLength: true},
		"large":                  {size: 1 << 20, hasLength: true, holdsSlot: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				policy := testPolicy()
				policy.Limits = settings.Limits{Slots: 1, QueueLength: 1}
				d := newWithoutPeers(t, policy, func(r *http.Request) (*http.Response, error) {
					answer := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Header: make(http.Header)}
					if test.hasLength {
						answer.ContentLength = int64(test.size)
					}
					content := io.Reader(strings.NewReader(strings.Repeat("x", test.size)))
					if test.breaksOff {
						content = io.MultiReader(content, iotest.ErrReader(io.ErrUnexpectedEOF))
					}
					answer.Body = io.NopCloser(content)
					return answer, nil
				})
				slow := slowCaller{ResponseRecorder: httptest.NewRecorder(), unblocked: make(chan struct{})}
				second := slowCaller{ResponseRecorder: httptest.NewRecorder(), unblocked: make(chan struct{})}
				var panics [2]any
				var wg sync.WaitGroup
				for i, caller := range []slowCaller{slow, second} {
					wg.Go(func() {
						defer func() { panics[i] = recover() }()
						d.ServeHTTP(caller, httptest.NewRequest(http.MethodGet, "/sheet", nil))
					})
					synctest.Wait()
				}
				close(second.unblocked)
				synctest.Wait()
				assert.Equal(t, second.Body.Len() == 0, test.holdsSlot)
				close(slow.unblocked)
				wg.Wait()
				for i, caller := range []slowCaller{slow, second} {
					assert.Equal(t, caller.Body.Len(), test.size)
					assert.Equal(t, panics[i] != nil, test.breaksOff, "ServeHTTP panicked with %v", panics[i])
				}
			})
		})
	}
}

// TestDeadlineAndCancellationReachUpstream checks that the upstream receives the
// deadline of a request, that the upstream's work is cancelled at the deadline and when
// the caller disconnects, and that malformed deadlines are rejected.
func TestDeadlineAndCancellationReachUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gotDeadline string
		ended := make(chan time.Time, 1)
		d := newWithoutPeers(t, testPolicy(), func(r *http.Request) (*http.Response, error) {
			gotDeadline = r.Header.Get(dispatcher.HeaderDeadline)
			<-r.Context().Done()
			ended <- time.Now()
			return nil, r.Context().Err()
		})
		start := time.Now()
		answer := sendRequest(d, http.MethodPost, "/checkin", "", dispatcher.HeaderDeadline, "250")
		assert.Equal(t, answer.StatusCode, http.StatusGatewayTimeout)
		assert.Equal(t, outcome(answer), dispatcher.OutcomeUnknown)
		assert.Equal(t, gotDeadline, "250")
		assert.Equal(t, (<-ended).Sub(start), 250*time.Millisecond)

		ctx, cancel := context.WithTimeout(context.Background(), 70*time.Millisecond)
		defer cancel()
		start = time.Now()
		d.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/sheet", nil))
		assert.Equal(t, (<-ended).Sub(start), 70*time.Millisecond)
		for _, bad := range []string{"0", "-1", "x", "1e3", "99999999999"} {
			assert.Equal(t, sendRequest(d, http.MethodGet, "/", "", dispatcher.HeaderDeadline, bad).StatusCode, http.StatusBadRequest)
		}
	})
}

// TestTicketLifecycleOnOneAgent checks the answers to repeated requests under one
// ticket while its request runs, after it has run, after the ticket has expired, and
// with a ticket that is forged, foreign or used for another request. Each ticket's
// request must run at most once.
func TestTicketLifecycleOnOneAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs, body := 0, "order 12"
		respond := respondAfter(time.Second, http.StatusCreated, "")
		d := newWithoutPeers(t, testPolicy(), func(r *http.Request) (*http.Response, error) {
			runs++
			answer, err := respond(r)
			if err == nil {
				answer.Body = io.NopCloser(strings.NewReader(body))
			}
			return answer, err
		})
		newTicket := func() string {
			answer := sendRequest(d, http.MethodPost, "/once/order", "2 wreaths")
			assert.Equal(t, answer.StatusCode, http.StatusPreconditionRequired)
			assert.Equal(t, outcome(answer), dispatcher.OutcomeNotRun)
			return answer.Header.Get(dispatcher.HeaderIdempotencyKey)
		}
		send := func(path, key string) (int, string, string) {
			answer := sendRequest(d, http.MethodPost, path, "2 wreaths", dispatcher.HeaderIdempotencyKey, key)
			got, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			return answer.StatusCode, outcome(answer), string(got)
		}
		sendAndCheck := func(path, key string, status int, want, wantBody string) {
			t.Helper()
			gotStatus, got, gotBody := send(path, key)
			assert.Equal(t, gotStatus, status)
			assert.Equal(t, got, want)
			assert.Assert(t, wantBody == "" || gotBody == wantBody, "%s", gotBody)
		}

		key := newTicket()
		go send("/once/order", key)
		synctest.Wait()
		sendAndCheck("/once/order", key, http.StatusCreated, "", body) // waits for the first copy
		sendAndCheck("/once/order", key, http.StatusCreated, "", body)
		sendAndCheck("/once/other", key, http.StatusUnprocessableEntity, "", "")
		assert.Equal(t, runs, 1)

		key, body = newTicket(), strings.Repeat("rose ", 2000)
		sendAndCheck("/once/order", key, http.StatusCreated, "", body)
		sendAndCheck("/once/order", key, http.StatusConflict, dispatcher.OutcomeDone, "")
		sendAndCheck("/once/order", strings.Replace(key, "dht1.A", "dht1.B", 1), http.StatusConflict, dispatcher.OutcomeUnknown, "")
		sendAndCheck("/once/order", "the caller's own key", http.StatusPreconditionRequired, dispatcher.OutcomeNotRun, "")

		key = newTicket()
		time.Sleep(time.Hour)
		sendAndCheck("/once/order", key, http.StatusConflict, dispatcher.OutcomeUnknown, "")
		assert.Equal(t, runs, 2)

		// The run under a ticket continues after its caller has disconnected.
		key, body = newTicket(), "order 13"
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/once/order", nil)
		r.Header.Set(dispatcher.HeaderIdempotencyKey, key)
		go d.ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(500 * time.Millisecond)
		sendAndCheck("/once/order", key, http.StatusCreated, "", body)
		assert.Equal(t, runs, 3)
	})
}

// TestTicketIsHonouredUnderStaleSettings sends copies of a request under one ticket to
// an agent whose settings do not mark the route as non-repeatable yet. The request must
// run only once: that agent must not ignore the ticket.
func TestTicketIsHonouredUnderStaleSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 2, 0)
		defer c.close()
		key := sendRequest(c.processes[0].d, http.MethodPost, "/once", "").Header.Get(dispatcher.HeaderIdempotencyKey)
		// From now on the agents' settings do not mark the route.
		c.staleSettings.Store(true)
		for range 3 {
			answer := sendRequest(c.processes[1].d, http.MethodPost, "/once", "", dispatcher.HeaderIdempotencyKey, key, "Op", "order")
			assert.Equal(t, answer.StatusCode, http.StatusCreated)
		}
		assert.Equal(t, c.runs["order"], 1)
	})
}

// TestDrainFinishesOpenRequestsAndHandsOverNewOnes checks that a draining agent finishes
// the request in progress, hands a new request over, still runs a request under its own
// ticket, and answers a request that needs a ticket with a ticket of a peer. The peer's
// ticket must remain valid after the agent has ended.
func TestDrainFinishesOpenRequestsAndHandsOverNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 2, 0)
		defer c.close()
		draining, serving := c.processes[0].d, c.processes[1].d
		key := sendRequest(draining, http.MethodPost, "/once", "").Header.Get(dispatcher.HeaderIdempotencyKey)
		inProgress := make(chan int, 1)
		go func() { inProgress <- sendRequest(draining, http.MethodPost, "/plain", "", "Op", "first").StatusCode }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- draining.Drain(context.Background()) }()
		synctest.Wait()
		assert.Equal(t, draining.Load(), 7)

		assert.Equal(t, sendRequest(draining, http.MethodPost, "/plain", "", "Op", "second").StatusCode, http.StatusCreated)
		assert.Equal(t, c.handOvers, 1, "a new request was not handed over")
		assert.Equal(t, sendRequest(serving, http.MethodPost, "/once", "", dispatcher.HeaderIdempotencyKey, key, "Op", "third").StatusCode, http.StatusCreated)
		assert.Equal(t, <-inProgress, http.StatusCreated)
		nextKey := sendRequest(draining, http.MethodPost, "/once", "").Header.Get(dispatcher.HeaderIdempotencyKey)
		assert.NilError(t, <-drained)
		c.restart(c.processes[0].addr, 0)
		assert.Equal(t, sendRequest(serving, http.MethodPost, "/once", "", dispatcher.HeaderIdempotencyKey, nextKey, "Op", "fourth").StatusCode, http.StatusCreated)
		for op, runs := range c.runs {
			assert.Equal(t, runs, 1, op)
		}
	})
}

// TestDrainWaitsForOpenRequestsOrContext checks that Drain returns when its context ends
// or when the last request in progress has finished, and that later requests are refused
// with the outcome not-run.
func TestDrainWaitsForOpenRequestsOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newWithoutPeers(t, testPolicy(), respondAfter(4*time.Second, http.StatusOK, ""))
		go sendRequest(d, http.MethodPost, "/plain", "")
		synctest.Wait()
		start := time.Now()
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.ErrorIs(t, d.Drain(short), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), time.Second)
		assert.NilError(t, d.Drain(context.Background()))
		assert.Equal(t, time.Since(start), 4*time.Second)
		answer := sendRequest(d, http.MethodPost, "/plain", "")
		assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, outcome(answer), dispatcher.OutcomeNotRun)
	})
}

// TestLoadRisesWithRequestsAndDecays checks that the load rises while requests are in
// progress, and returns to zero after they have finished although no request arrives.
func TestLoadRisesWithRequestsAndDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newWithoutPeers(t, testPolicy(), respondAfter(4*time.Second, http.StatusOK, ""))
		for range 3 {
			go sendRequest(d, http.MethodPost, "/plain", "")
		}
		time.Sleep(3 * time.Second)
		assert.Assert(t, d.Load() >= 2, "load %d", d.Load())
		time.Sleep(time.Minute)
		assert.Equal(t, d.Load(), 0)
	})
}

// TestNonRepeatableRoutesMatchUncleanPaths checks that a caller cannot avoid the ticket
// of a non-repeatable route by a different spelling of the path.
func TestNonRepeatableRoutesMatchUncleanPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newWithoutPeers(t, testPolicy(), respondAfter(0, http.StatusOK, ""))
		for path, want := range map[string]int{
			"/once": 428, "/once/a": 428, "//once": 428, "/./once": 428, "/x/../once": 428, "/%6fnce": 428, "/x/once": 200,
		} {
			assert.Equal(t, sendRequest(d, http.MethodPost, path, "").StatusCode, want, path)
		}
	})
}

// TestOutcomeStaysUnknownWhenRetryCannotConnect loses the connection during the first
// run and fails to connect for the retry. The outcome must be unknown: the second error
// shows only that the retry did not run the request, but the first run may have.
func TestOutcomeStaysUnknownWhenRetryCannotConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		d := newWithoutPeers(t, testPolicy(), func(*http.Request) (*http.Response, error) {
			if runs++; runs == 1 {
				return nil, errConnLost
			}
			return nil, &net.OpError{Op: "dial", Err: errAgentKilled}
		})
		assert.Equal(t, outcome(sendRequest(d, http.MethodPut, "/sheet", "")), dispatcher.OutcomeUnknown)
		assert.Equal(t, runs, 2)
	})
}

// TestIdempotentRequestsAreRetried checks that a request whose connection is lost is
// retried once if its method is idempotent, and never otherwise.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	for method, want := range map[string]int{http.MethodGet: 2, http.MethodPut: 2, http.MethodDelete: 2, http.MethodPost: 1} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				d := newWithoutPeers(t, testPolicy(), func(*http.Request) (*http.Response, error) {
					runs++
					return nil, errConnLost
				})
				answer := sendRequest(d, method, "/sheet", "")
				assert.Equal(t, answer.StatusCode, http.StatusBadGateway)
				assert.Equal(t, outcome(answer), dispatcher.OutcomeUnknown)
				assert.Equal(t, runs, want)
			})
		})
	}
}
