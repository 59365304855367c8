package leaseholder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/limit"
)

// Confirm reports whether a run is permanently gone, which means that callers can
// no longer reach it, so it has no flows and admits none. It returns an error if
// it cannot tell.
type Confirm func(ctx context.Context, run limit.Run) (bool, error)

const (
	// _confirmQueueCapacity is the maximum number of queued runs. A run that does
	// not fit is queued the next time that the holder asks about it.
	_confirmQueueCapacity = 16
	// _confirmInterval is the minimum time between two queries about one run.
	_confirmInterval = 30 * time.Second
	// _maxAnswers is the maximum number of cached answers. When it is reached, the
	// cache is cleared and the runs are queried again.
	_maxAnswers = 1024
)

// confirmer caches which silent runs are gone, and queries the others in the
// background, because the holder must not wait for an answer. A silent run is one
// that has stopped updating its entry in the store.
type confirmer struct {
	confirm Confirm
	log     *zap.Logger
	queue   chan limit.Run

	mu      sync.Mutex
	answers map[limit.Run]answer
}

// answer is the cached answer about a run. While no answer has arrived, gone is
// false and requestedAt is the time at which the run was queued.
type answer struct {
	gone        bool
	requestedAt time.Time
}

func newConfirmer(confirm Confirm, log *zap.Logger) *confirmer {
	return &confirmer{
		confirm: confirm,
		log:     log,
		queue:   make(chan limit.Run, _confirmQueueCapacity),
		answers: make(map[limit.Run]answer),
	}
}

// gone reports whether a run is known to be gone. If it is not, and the last query
// about the run is older than _confirmInterval, gone queues the run for a new query.
func (c *confirmer) gone(run limit.Run) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.answers[run]
	if known.gone || ok && time.Since(known.requestedAt) < _confirmInterval {
		return known.gone
	}
	select {
	case c.queue <- run:
		c.remember(run, answer{requestedAt: time.Now()})
	default:
	}
	return false
}

// remember caches an answer. The caller holds c.mu.
func (c *confirmer) remember(run limit.Run, a answer) {
	if len(c.answers) >= _maxAnswers {
		clear(c.answers)
	}
	c.answers[run] = a
}

// loop queries the queued runs until the tomb dies.
func (c *confirmer) loop(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case run := <-c.queue:
			c.query(ctx, run)
		case <-t.Dying():
			return nil
		}
	}
}

// query calls Confirm for one run and caches the answer.
func (c *confirmer) query(ctx context.Context, run limit.Run) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	gone, err := c.confirm(ctx, run)
	if err != nil {
		c.log.Info("failed to confirm whether a silent run is gone", zap.Stringer("address", run.Address),
			zap.Uint32("incarnation", uint32(run.Incarnation)), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember(run, answer{gone: gone, requestedAt: time.Now()})
}
