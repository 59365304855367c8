package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/dispatcher"
)

// noDeadline hides the Deadline method of the test from rapid, because the method
// panics in a synctest bubble.
type noDeadline struct{ rapid.TB }

// caller sends one operation until it is answered or its attempts are used up. As the
// protocol demands, it uses a new ticket only after an answer "not-run", and otherwise
// repeats the operation under the same ticket.
type caller struct {
	c      *cluster
	op     string
	method string
	path   string
	body   bool
	ticket string
	// notRun are the tickets, or "" for no ticket, of the requests that were answered
	// with "not-run".
	notRun []string
	done   bool
	// foreignAnswer is an answer to another operation that this caller received.
	foreignAnswer string
	// refusedWithoutReason is set after a refusal without HeaderReason.
	refusedWithoutReason bool
}

// send sends the operation to an agent once and returns the answer, or nil if the
// request or the answer was lost.
func (k *caller) send(ctx context.Context, to netip.AddrPort, ticket string) *http.Response {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var body io.Reader = http.NoBody
	if k.body {
		body = strings.NewReader("bin 4")
	}
	r, err := http.NewRequestWithContext(ctx, k.method, "https://"+to.String()+k.path, body)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Op", k.op)
	r.Header.Set("Op-Ticket", ticket)
	r.Header.Set(dispatcher.HeaderDeadline, "800")
	if ticket != "" {
		r.Header.Set(dispatcher.HeaderIdempotencyKey, ticket)
	}
	answer, err := k.c.sendFromCaller(r)
	if err != nil {
		return nil
	}
	return answer
}

// run sends the operation to the agents in turn until it is answered, but not more
// often than the given number of attempts.
func (k *caller) run(ctx context.Context, agents []netip.AddrPort, attempts int) {
	for i := 0; i < attempts && !k.done; i++ {
		answer := k.send(ctx, agents[i%len(agents)], k.ticket)
		if k.ticket != "" && k.c.chance(0.3) {
			// A copy under the same ticket goes to the next agent. The first request may
			// still be running if its answer was lost.
			k.record(k.send(ctx, agents[(i+1)%len(agents)], k.ticket), k.ticket)
		}
		k.record(answer, k.ticket)
		time.Sleep(time.Duration(k.c.randomFloat() * float64(100*time.Millisecond)))
	}
}

// record records the answer to a request under the given ticket, and adopts the new
// ticket that it may carry. answer is nil if it was lost.
func (k *caller) record(answer *http.Response, ticket string) {
	if answer == nil {
		return
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return
	}
	if answer.StatusCode == http.StatusCreated {
		k.done = true
		if string(body) != "done "+k.op {
			k.foreignAnswer = string(body)
		}
		return
	}
	if answer.Header.Get(dispatcher.HeaderOutcome) != dispatcher.OutcomeNotRun {
		return
	}
	k.notRun = append(k.notRun, ticket)
	k.refusedWithoutReason = k.refusedWithoutReason || answer.Header.Get(dispatcher.HeaderReason) == ""
	if next := answer.Header.Get(dispatcher.HeaderIdempotencyKey); next != "" && ticket == k.ticket {
		k.ticket = next
	}
}

// runScenario runs callers against a cluster of three agents that are restarted and
// paused at random. It returns the cluster and the callers for checkHistory.
func runScenario(t *rapid.T, path string, attempts int, methods ...string) (*cluster, []*caller) {
	c := newCluster(rapid.Uint64().Draw(t, "seed"), 3, rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"))
	var agents []netip.AddrPort
	for _, a := range c.processes {
		agents = append(agents, a.addr)
	}
	var wg sync.WaitGroup
	var callers []*caller
	for i := range rapid.IntRange(5, 30).Draw(t, "callers") {
		k := &caller{c: c, op: fmt.Sprint("op", i), method: rapid.SampledFrom(methods).Draw(t, "method"), path: path, body: rapid.Bool().Draw(t, "body")}
		callers = append(callers, k)
		begin := time.Duration(rapid.IntRange(0, 300).Draw(t, "begin")) * time.Millisecond
		first := rapid.IntRange(0, 2).Draw(t, "first")
		order := append(append([]netip.AddrPort{}, agents[first:]...), agents[:first]...)
		wg.Go(func() {
			time.Sleep(begin)
			k.run(context.Background(), order, attempts)
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, 600).Draw(t, "at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(1, 1500).Draw(t, "span")) * time.Millisecond
		addr := rapid.SampledFrom(agents).Draw(t, "agent")
		fault := rapid.SampledFrom([]func(netip.AddrPort, time.Duration){c.restart, c.pause}).Draw(t, "fault")
		wg.Go(func() {
			time.Sleep(at)
			fault(addr, span)
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	return c, callers
}

// checkHistory checks that no operation ran twice unless its method is idempotent, that
// no request that was answered with "not-run" ran, and that no caller got the answer to
// another operation.
func checkHistory(t *rapid.T, c *cluster, callers []*caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range callers {
		mayRepeat := k.method == http.MethodPut
		assert.Check(t, c.runs[k.op] <= 1 || mayRepeat, "%s ran %d times", k.op, c.runs[k.op])
		assert.Check(t, k.foreignAnswer == "", "%s got the answer %q", k.op, k.foreignAnswer)
		assert.Check(t, !k.refusedWithoutReason, "%s was refused without a reason", k.op)
		assert.Check(t, !k.done || c.runs[k.op] >= 1, "%s was answered but did not run", k.op)
		for _, ticket := range k.notRun {
			runs := c.runsByTicket[k.op+" "+ticket]
			assert.Check(t, runs == 0, "%s: answered with not-run under ticket %q, but ran %d times", k.op, ticket, runs)
		}
	}
}

// TestTicketedRequestsRunAtMostOnce repeats requests under tickets against agents that
// lose messages, pause and restart. No operation may run twice (see checkHistory), and
// more than half of the operations must be answered.
func TestTicketedRequestsRunAtMostOnce(t *testing.T) {
	done, all := 0, 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			c, callers := runScenario(t, "/once", 12, http.MethodPost)
			defer c.close()
			checkHistory(t, c, callers)
			for _, k := range callers {
				all++
				if k.done {
					done++
				}
			}
		})
	})
	t.Logf("%d of %d operations answered", done, all)
	assert.Assert(t, done > all/2, "%d of %d operations answered", done, all)
}

// TestHandOverDoesNotRepeatRequests sends each request only once and without a ticket,
// under the same faults as TestTicketedRequestsRunAtMostOnce. Only the agents may hand
// a request over or retry it. No operation may run twice unless its method is
// idempotent (see checkHistory), and at least one request must be handed over.
func TestHandOverDoesNotRepeatRequests(t *testing.T) {
	handOvers := 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			c, callers := runScenario(t, "/plain", 1, http.MethodPost, http.MethodPut)
			defer c.close()
			checkHistory(t, c, callers)
			handOvers += c.handOvers
		})
	})
	t.Logf("%d handovers", handOvers)
	assert.Assert(t, handOvers > 0, "no request was handed over")
}
