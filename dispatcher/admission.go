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
	// _admissionBacklog is the capacity of the channel of messages to the
	// admission loop.
	_admissionBacklog = 1024
	// _loadInterval is how often the load is recalculated while no message arrives.
	_loadInterval = 250 * time.Millisecond
)

// _fallbackLimits are in force until the settings contain valid limits.
var _fallbackLimits = queue.Limits{Slots: 1, Length: 16}

// admission owns the queue of requests for the upstream and the budgets for
// retries and handovers. Only the admission's loop accesses them.
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
	// limits are the last limits given to the queue, valid or not.
	limits queue.Limits
	// pending holds the reply channels of the requests that are waiting.
	pending map[queue.ID]chan queue.Action
	// actions are the queue's actions that have not been delivered yet.
	actions []queue.Action
}

// admissionMessage is a message to the admission loop: offer, finish, cancel, leave,
// withdraw or drain.
type admissionMessage interface{ admissionMessage() }

// offer asks for a slot for a request. The reply channel receives at most one Wait
// and then a Start or Refuse, so with a capacity of two it never blocks the loop.
type offer struct {
	request queue.Request
	reply   chan queue.Action
}

// finish releases the slot of a request that ran with the given result.
type finish struct {
	id     queue.ID
	result queue.Result
}

// cancel removes a waiting request from the queue. The reply is false if the request
// no longer waits.
type cancel struct {
	id    queue.ID
	reply chan bool
}

// leave removes a waiting request from the queue and takes one handover from the budget,
// or does neither. The reply is false if the request no longer waits or the budget is
// exhausted.
type leave struct {
	id    queue.ID
	reply chan bool
}

// withdraw takes one retry or handover from a budget. The reply is false if the
// budget is exhausted.
type withdraw struct {
	budget budgetKind
	reply  chan bool
}

// budgetKind selects one of the admission's budgets.
type budgetKind uint8

const (
	_budgetRetry budgetKind = iota
	_budgetHandOver
)

// drain makes the queue refuse later offers, except for requests that can run at no
// other upstream.
type drain struct{}

func (offer) admissionMessage()    {}
func (finish) admissionMessage()   {}
func (cancel) admissionMessage()   {}
func (leave) admissionMessage()    {}
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

// now returns the time on the queue's clock.
func (a *admission) now() time.Duration { return time.Since(a.started) }

// send sends a message to the loop. It returns false if the loop has ended.
func (a *admission) send(m admissionMessage) bool {
	select {
	case a.messages <- m:
		return true
	case <-a.tomb.Dying():
		return false
	}
}

// offer asks for a slot for r, after setting the ID of r. It returns the ID and the
// channel that receives the queue's actions for the request.
func (a *admission) offer(r queue.Request) (queue.ID, <-chan queue.Action) {
	r.ID = queue.ID(a.lastID.Add(1))
	reply := make(chan queue.Action, 2)
	if !a.send(offer{request: r, reply: reply}) {
		reply <- queue.Refuse{ID: r.ID, Reason: queue.Draining, RetryAfter: time.Second}
	}
	return r.ID, reply
}

// finish releases the slot of a request that ran with the given result.
func (a *admission) finish(id queue.ID, result queue.Result) {
	a.send(finish{id: id, result: result})
}

// cancel removes a waiting request from the queue. It returns false if the reply
// channel of the request already holds a Start or Refuse.
func (a *admission) cancel(id queue.ID) bool {
	reply := make(chan bool, 1)
	if !a.send(cancel{id: id, reply: reply}) {
		return true
	}
	return a.awaitReply(reply)
}

// leave removes a waiting request from the queue and takes one handover from the budget,
// or does neither. It returns false if the budget is exhausted or the reply channel of
// the request already holds a Start or Refuse.
func (a *admission) leave(id queue.ID) bool {
	reply := make(chan bool, 1)
	return a.send(leave{id: id, reply: reply}) && a.awaitReply(reply)
}

// withdraw takes one retry or handover from the budget. It returns false if the
// budget is exhausted.
func (a *admission) withdraw(budget budgetKind) bool {
	reply := make(chan bool, 1)
	return a.send(withdraw{budget: budget, reply: reply}) && a.awaitReply(reply)
}

// awaitReply returns the loop's reply, or false if the loop has ended.
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

// loop applies messages to the queue and advances it when its timer fires.
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
		m.reply <- a.cancelWaiting(now, m.id)
	case leave:
		budget := &a.budgets[_budgetHandOver]
		ok := budget.Withdraw()
		if ok && !a.cancelWaiting(now, m.id) {
			budget.Return()
			ok = false
		}
		m.reply <- ok
	case withdraw:
		m.reply <- a.budgets[m.budget].Withdraw()
	case drain:
		a.queue.Drain()
	}
}

// cancelWaiting removes a request from the queue. It returns false if the request does
// not wait.
func (a *admission) cancelWaiting(now time.Duration, id queue.ID) bool {
	var ok bool
	a.actions, ok = a.queue.Cancel(a.actions, now, id)
	if ok {
		delete(a.pending, id)
	}
	return ok
}

// advance ticks the queue, delivers its actions, updates the load and sets the
// timer.
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

// setTimer sets the timer to the queue's next tick, or stops it if there is none.
// While the load is not zero, the timer fires at least every _loadInterval, because
// the load decreases with time even if no message arrives.
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

// deliver sends an action to the exchange whose request it is about.
func (a *admission) deliver(action queue.Action) {
	id := action.Request()
	reply, ok := a.pending[id]
	if !ok {
		return
	}
	if _, isWait := action.(queue.Wait); !isWait {
		delete(a.pending, id)
	}
	reply <- action
}

// applyLimits applies the limits in the settings to the queue if they have changed.
// If they are invalid, the queue keeps its limits, which is logged once.
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
