package dispatcher

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/settings"
)

const (
	// _admissionRing bounds the messages to the admission loop.
	_admissionBacklog = 1024
	// _loadTick is how often a load is reckoned anew when nothing else happens.
	_loadInterval = 250 * time.Millisecond
)

// _fallbackLimits are in force until the settings give valid ones.
var _fallbackLimits = queue.Limits{Slots: 1, Length: 16}

// admission owns the queue. Its loop is the only one to touch it.
type admission struct {
	tomb     tomb.Tomb
	messages chan admissionMessage
	started  time.Time
	policy   func() settings.Service
	logger   *zap.Logger
	lastID   atomic.Uint64
	load     atomic.Int32

	queue   *queue.Queue
	budgets [_budgetHandOver + 1]queue.Budget
	limits  queue.Limits
	pending map[queue.ID]chan queue.Action
	actions []queue.Action
}

// admissionMessage is a message to the admission loop: offer, finish, cancel,
// withdraw or drain.
type admissionMessage interface{ admissionMessage() }

// offer asks for a slot. The reply gets Wait at most once and then Start or
// Refuse, so a capacity of two never blocks the loop.
type offer struct {
	request queue.Request
	reply   chan queue.Action
}

// finish gives a slot back.
type finish struct {
	id     queue.ID
	result queue.Result
}

// cancel takes a request back that waits.
type cancel struct {
	id    queue.ID
	reply chan bool
}

// withdraw asks a budget.
type withdraw struct {
	budget budgetKind
	reply  chan bool
}

// budgetKind names one of the admission's budgets.
type budgetKind uint8

const (
	_budgetRetry budgetKind = iota
	_budgetHandOver
)

// drain refuses all later offers.
type drain struct{}

func (offer) admissionMessage()    {}
func (finish) admissionMessage()   {}
func (cancel) admissionMessage()   {}
func (withdraw) admissionMessage() {}
func (drain) admissionMessage()    {}

// newAdmission starts the admission loop.
func newAdmission(policy func() settings.Service, logger *zap.Logger) (*admission, error) {
	q, err := queue.New(_fallbackLimits, 0)
	if err != nil {
		return nil, err
	}
	a := &admission{
		messages: make(chan admissionMessage, _admissionBacklog),
		started:  time.Now(),
		policy:   policy,
		logger:   logger,
		queue:    q,
		budgets:  [...]queue.Budget{_budgetRetry: queue.RetryBudget(), _budgetHandOver: queue.HandOverBudget()},
		limits:   _fallbackLimits,
		pending:  make(map[queue.ID]chan queue.Action),
	}
	a.tomb.Go(a.loop)
	return a, nil
}

// now is the time on the queue's clock.
func (a *admission) now() time.Duration { return time.Since(a.started) }

// send hands a message to the loop; false means that it has ended.
func (a *admission) send(m admissionMessage) bool {
	select {
	case a.messages <- m:
		return true
	case <-a.tomb.Dying():
		return false
	}
}

// offer asks for a slot for r, whose ID it sets.
func (a *admission) offer(r queue.Request) (queue.ID, <-chan queue.Action) {
	r.ID = queue.ID(a.lastID.Add(1))
	reply := make(chan queue.Action, 2)
	if !a.send(offer{request: r, reply: reply}) {
		reply <- queue.Refuse{ID: r.ID, Reason: queue.Draining, RetryAfter: time.Second}
	}
	return r.ID, reply
}

// finish gives a slot back.
func (a *admission) finish(id queue.ID, result queue.Result) {
	a.send(finish{id: id, result: result})
}

// cancel takes a request back, and reports false if its final action is
// already in its reply channel.
func (a *admission) cancel(id queue.ID) bool {
	reply := make(chan bool, 1)
	if !a.send(cancel{id: id, reply: reply}) {
		return true
	}
	return a.awaitReply(reply)
}

// withdraw asks for one retry or hand-over.
func (a *admission) withdraw(budget budgetKind) bool {
	reply := make(chan bool, 1)
	return a.send(withdraw{budget: budget, reply: reply}) && a.awaitReply(reply)
}

func (a *admission) awaitReply(reply <-chan bool) bool {
	select {
	case ok := <-reply:
		return ok
	case <-a.tomb.Dying():
		return false
	}
}

// close ends the loop. No request may be in progress.
func (a *admission) close() error {
	a.tomb.Kill(nil)
	return a.tomb.Wait()
}

// loop carries messages and the passing of time to the queue.
func (a *admission) loop() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case m := <-a.messages:
			a.handle(m)
		case <-timer.C:
		}
		a.advance(timer)
	}
}

// handle applies one message to the queue.
func (a *admission) handle(m admissionMessage) {
	now := a.now()
	switch m := m.(type) {
	case offer:
		a.applyLimits(now)
		for i := range a.budgets {
			a.budgets[i].Deposit()
		}
		a.pending[m.request.ID] = m.reply
		a.actions = a.queue.Offer(a.actions, now, m.request)
	case finish:
		a.actions = a.queue.Finish(a.actions, now, m.id, m.result)
	case cancel:
		var ok bool
		a.actions, ok = a.queue.Cancel(a.actions, now, m.id)
		if ok {
			delete(a.pending, m.id)
		}
		m.reply <- ok
	case withdraw:
		m.reply <- a.budgets[m.budget].Withdraw()
	case drain:
		a.queue.Drain()
	}
}

// advance ticks the queue and sends its actions out.
func (a *admission) advance(timer *time.Timer) {
	now := a.now()
	a.actions = a.queue.Tick(a.actions, now)
	for i, action := range a.actions {
		a.deliver(action)
		a.actions[i] = nil
	}
	a.actions = a.actions[:0]
	a.load.Store(int32(a.queue.Load(now)))
	a.setTimer(timer, now)
}

// setTimer sets the timer for the next time that the queue has something to
// do. A load that is not zero falls by the passing of time.
func (a *admission) setTimer(timer *time.Timer, now time.Duration) {
	next, ok := a.queue.NextTick(now)
	if a.load.Load() > 0 && (!ok || next > now+_loadInterval) {
		next, ok = now+_loadInterval, true
	}
	if ok {
		timer.Reset(next - now)
	} else {
		timer.Stop()
	}
}

// deliver sends an action to the request that it is about.
func (a *admission) deliver(action queue.Action) {
	id := action.Request()
	reply, ok := a.pending[id]
	if !ok {
		return
	}
	if _, waits := action.(queue.Wait); !waits {
		delete(a.pending, id)
	}
	reply <- action
}

// applyLimits puts the settings' limits in force.
func (a *admission) applyLimits(now time.Duration) {
	configured := a.policy().Limits
	limits := queue.Limits{Slots: configured.Slots, ReservedSlots: configured.ReservedSlots, Length: configured.QueueLength}
	if limits == a.limits {
		return
	}
	a.limits = limits
	var err error
	a.actions, err = a.queue.SetLimits(a.actions, now, limits)
	if err != nil {
		a.logger.Error("limits_kept", zap.Error(err))
	}
}
