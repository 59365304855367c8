package leaseholder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/limit"
)

// Confirm asks whether a run is gone for good: callers can no longer reach it,
// so it neither admits flows nor keeps any. An error means that it is not known.
type Confirm func(ctx context.Context, run limit.Run) (bool, error)

const (
	// _askCapacity bounds the runs that wait to be asked about; others are asked
	// about at a later look.
	_askCapacity = 16
	// _askAgain is the least time between two questions about one run.
	_askAgain = 30 * time.Second
	// _maxAnswers bounds the answers remembered; beyond it they are asked again.
	_maxAnswers = 1024
)

// confirmer remembers which silent runs are gone, and asks about the others in
// the background, because the holder must not wait for an answer.
type confirmer struct {
	confirm Confirm
	log     *zap.Logger
	ask     chan limit.Run

	mu      sync.Mutex
	answers map[limit.Run]answer
}

// answer is what was last heard of a run, or when it was asked about.
type answer struct {
	gone  bool
	asked time.Time
}

func newConfirmer(confirm Confirm, log *zap.Logger) *confirmer {
	return &confirmer{
		confirm: confirm,
		log:     log,
		ask:     make(chan limit.Run, _askCapacity),
		answers: make(map[limit.Run]answer),
	}
}

// gone reports what is known of a run, and asks if that is not enough.
func (c *confirmer) gone(run limit.Run) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.answers[run]
	if known.gone || ok && time.Since(known.asked) < _askAgain {
		return known.gone
	}
	select {
	case c.ask <- run:
		c.remember(run, answer{asked: time.Now()})
	default:
	}
	return false
}

func (c *confirmer) remember(run limit.Run, a answer) {
	if len(c.answers) >= _maxAnswers {
		clear(c.answers)
	}
	c.answers[run] = a
}

// loop asks until the tomb dies.
func (c *confirmer) loop(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case run := <-c.ask:
			c.settle(ctx, run)
		case <-t.Dying():
			return nil
		}
	}
}

func (c *confirmer) settle(ctx context.Context, run limit.Run) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	gone, err := c.confirm(ctx, run)
	if err != nil {
		c.log.Info("not known whether a silent run is gone", zap.Stringer("address", run.Address),
			zap.Uint32("incarnation", uint32(run.Incarnation)), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember(run, answer{gone: gone, asked: time.Now()})
}
