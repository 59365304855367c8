package dispatcher

import (
	"time"

	"gopkg.in/tomb.v2"

	"dandelionhitch.example/ticket"
)

const (
	// _registryRing bounds the messages to the registry loop.
	_registryBacklog = 1024
	// _maxWaiters bounds the copies that wait for the outcome of one request.
	_maxWaiters = 8
)

// registry owns a ledger and tells the waiting copies of a request its
// outcome. Its loop is the only one to touch the ledger.
type registry[K comparable] struct {
	tomb    tomb.Tomb
	messages    chan registryMessage[K]
	started   time.Time
	ledger  *ticket.Ledger[K]
	waiters map[K][]chan ticket.Outcome
}

// registryMessage asks the registry loop about one key.
type registryMessage[K comparable] struct {
	op          registryOp
	key         K
	fingerprint uint64
	outcome     ticket.Outcome
	reply       chan registryReply
}

type registryOp uint8

const (
	_opIssue registryOp = iota + 1
	_opBegin
	_opIssueAndBegin
	_opVoid
	_opSettle
)

// registryReply is the answer of the registry loop.
type registryReply struct {
	verdict ticket.Verdict
	err     error
	// wait gets the outcome of a request in progress; nil if too many wait.
	outcome <-chan ticket.Outcome
}

// newRegistry starts the registry loop.
func newRegistry[K comparable](bounds ticket.Bounds) *registry[K] {
	r := &registry[K]{
		messages:    make(chan registryMessage[K], _registryBacklog),
		started:   time.Now(),
		ledger:  ticket.NewLedger[K](bounds),
		waiters: make(map[K][]chan ticket.Outcome),
	}
	r.tomb.Go(r.loop)
	return r
}

// issue enters a new key.
func (r *registry[K]) issue(key K) error {
	return r.call(registryMessage[K]{op: _opIssue, key: key}).err
}

// begin claims a key that was issued.
func (r *registry[K]) begin(key K, fingerprint uint64) registryReply {
	return r.call(registryMessage[K]{op: _opBegin, key: key, fingerprint: fingerprint})
}

// admit enters a key and claims it, unless it is known already.
func (r *registry[K]) issueAndBegin(key K) registryReply {
	return r.call(registryMessage[K]{op: _opIssueAndBegin, key: key})
}

// void makes sure that a key that is not claimed never runs.
func (r *registry[K]) void(key K) registryReply {
	return r.call(registryMessage[K]{op: _opVoid, key: key})
}

// enterVoid enters a key as never to run, if it is not known yet.
func (r *registry[K]) issueVoid(key K) registryReply {
	// A key that is known already is what void decides about.
	_ = r.issue(key)
	return r.void(key)
}

// settle records the outcome of a claimed key and returns once it is remembered.
func (r *registry[K]) settle(key K, outcome ticket.Outcome) {
	r.call(registryMessage[K]{op: _opSettle, key: key, outcome: outcome})
}

// ask sends a message and waits for the reply. From a loop that has ended it
// gets Forgotten, which never lets a request run.
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

// loop carries messages to the ledger.
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

// handle applies one message to the ledger.
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

// withWait adds a waiter to the verdict on a request in progress.
func (r *registry[K]) withWaiter(key K, verdict ticket.Verdict, errs ...error) registryReply {
	reply := registryReply{verdict: verdict}
	for _, err := range errs {
		reply.err = err
	}
	if _, ok := verdict.(ticket.InProgress); ok && len(r.waiters[key]) < _maxWaiters {
		wait := make(chan ticket.Outcome, 1)
		r.waiters[key] = append(r.waiters[key], wait)
		reply.outcome = wait
	}
	return reply
}

// tell gives the outcome to all that wait for it.
func (r *registry[K]) notifyWaiters(key K, outcome ticket.Outcome) {
	for _, wait := range r.waiters[key] {
		wait <- outcome
	}
	delete(r.waiters, key)
}
