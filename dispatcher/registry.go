package dispatcher

import (
	"time"

	"gopkg.in/tomb.v2"

	"dandelionhitch.example/ticket"
)

const (
	// _registryBacklog is the capacity of the channel of messages to the
	// registry loop.
	_registryBacklog = 1024
	// _maxWaiters limits how many copies of one request may wait for its outcome.
	_maxWaiters = 8
)

// registry owns a ledger of requests, which records the outcome of each, and sends
// the outcome of a request to its waiting copies. Only the registry's loop accesses
// the ledger.
type registry[K comparable] struct {
	tomb     tomb.Tomb
	messages chan registryMessage[K]
	started  time.Time
	ledger   *ticket.Ledger[K]
	// waiters holds a channel for each copy that waits for the outcome of a request.
	waiters map[K][]chan ticket.Outcome
}

// registryMessage asks the registry loop for an operation on one key.
type registryMessage[K comparable] struct {
	op          registryOp
	key         K
	fingerprint uint64
	outcome     ticket.Outcome
	reply       chan registryReply
}

// registryOp is an operation on one key of a registry's ledger.
type registryOp uint8

const (
	_opIssue registryOp = iota + 1
	_opBegin
	_opIssueAndBegin
	_opVoid
	_opSettle
)

// registryReply is the reply of the registry loop to a message.
type registryReply struct {
	verdict ticket.Verdict
	err     error
	// outcomes receives the outcome of a request that is in progress. It is nil
	// for other requests, and if _maxWaiters copies wait already.
	outcomes <-chan ticket.Outcome
}

// newRegistry starts the registry loop.
func newRegistry[K comparable](bounds ticket.Bounds) *registry[K] {
	r := &registry[K]{
		messages: make(chan registryMessage[K], _registryBacklog),
		started:  time.Now(),
		ledger:   ticket.NewLedger[K](bounds),
		waiters:  make(map[K][]chan ticket.Outcome),
	}
	r.tomb.Go(r.loop)
	return r
}

// issue adds a new key to the ledger.
func (r *registry[K]) issue(key K) error {
	return r.call(registryMessage[K]{op: _opIssue, key: key}).err
}

// begin claims an issued key for a request with the given fingerprint.
func (r *registry[K]) begin(key K, fingerprint uint64) registryReply {
	return r.call(registryMessage[K]{op: _opBegin, key: key, fingerprint: fingerprint})
}

// issueAndBegin adds a key to the ledger and claims it, unless the ledger holds it
// already.
func (r *registry[K]) issueAndBegin(key K) registryReply {
	return r.call(registryMessage[K]{op: _opIssueAndBegin, key: key})
}

// void marks an issued key that has not been claimed as never to run.
func (r *registry[K]) void(key K) registryReply {
	return r.call(registryMessage[K]{op: _opVoid, key: key})
}

// issueVoid adds a key to the ledger as never to run. A key that the ledger
// already holds is treated as by void.
func (r *registry[K]) issueVoid(key K) registryReply {
	// issue fails for a key in the ledger, which void then handles.
	_ = r.issue(key)
	return r.void(key)
}

// settle records the outcome of a claimed key, and returns after the ledger holds
// the outcome.
func (r *registry[K]) settle(key K, outcome ticket.Outcome) {
	r.call(registryMessage[K]{op: _opSettle, key: key, outcome: outcome})
}

// call sends a message to the loop and waits for the reply. After close it returns
// the verdict Forgotten, under which a request does not run.
func (r *registry[K]) call(m registryMessage[K]) registryReply {
	m.reply = make(chan registryReply, 1)
	select {
	case r.messages <- m:
	case <-r.tomb.Dying():
		return registryReply{verdict: ticket.Forgotten{}, err: tomb.ErrDying}
	}
	select {
	case reply := <-m.reply:
		return reply
	case <-r.tomb.Dying():
		return registryReply{verdict: ticket.Forgotten{}, err: tomb.ErrDying}
	}
}

// close ends the loop. No request may be in progress.
func (r *registry[K]) close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// loop applies messages to the ledger, one at a time.
func (r *registry[K]) loop() error {
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case m := <-r.messages:
			m.reply <- r.handle(m)
		}
	}
}

// handle applies one message to the ledger and returns the reply.
func (r *registry[K]) handle(m registryMessage[K]) registryReply {
	now := time.Since(r.started)
	switch m.op {
	case _opIssue:
		return registryReply{err: r.ledger.Issue(now, m.key)}
	case _opBegin:
		return r.withWaiter(m.key, r.ledger.Begin(now, m.key, m.fingerprint))
	case _opIssueAndBegin:
		err := r.ledger.Issue(now, m.key)
		return r.withWaiter(m.key, r.ledger.Begin(now, m.key, 0), err)
	case _opVoid:
		return r.withWaiter(m.key, r.ledger.Void(now, m.key))
	case _opSettle:
		r.notifyWaiters(m.key, r.ledger.Settle(now, m.key, m.outcome))
	}
	return registryReply{}
}

// withWaiter returns a reply with the verdict and the last of errs. If the request
// is in progress, it also registers a waiter for the outcome.
func (r *registry[K]) withWaiter(key K, verdict ticket.Verdict, errs ...error) registryReply {
	reply := registryReply{verdict: verdict}
	for _, err := range errs {
		reply.err = err
	}
	if _, ok := verdict.(ticket.InProgress); ok && len(r.waiters[key]) < _maxWaiters {
		waiter := make(chan ticket.Outcome, 1)
		r.waiters[key] = append(r.waiters[key], waiter)
		reply.outcomes = waiter
	}
	return reply
}

// notifyWaiters sends the outcome to all copies of the request that wait for it.
func (r *registry[K]) notifyWaiters(key K, outcome ticket.Outcome) {
	for _, waiter := range r.waiters[key] {
		waiter <- outcome
	}
	delete(r.waiters, key)
}
