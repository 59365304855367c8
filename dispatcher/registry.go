package dispatcher

import (
	"time"

	"gopkg.in/tomb.v2"

	"dandelionhitch.example/ticket"
)

const (
	// _registryRing bounds the messages to the registry loop.
	_registryRing = 1024
	// _maxWaiters bounds the copies that wait for the outcome of one request.
	_maxWaiters = 8
)

// registry owns a ledger and tells the waiting copies of a request its
// outcome. Its loop is the only one to touch the ledger.
type registry[K comparable] struct {
	tomb    tomb.Tomb
	ring    chan registryMessage[K]
	began   time.Time
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
	_issue registryOp = iota + 1
	_begin
	_admit
	_void
	_settle
)

// registryReply is the answer of the registry loop.
type registryReply struct {
	verdict ticket.Verdict
	err     error
	// wait gets the outcome of a request in progress; nil if too many wait.
	wait <-chan ticket.Outcome
}

// newRegistry starts the registry loop.
func newRegistry[K comparable](bounds ticket.Bounds) *registry[K] {
	r := &registry[K]{
		ring:    make(chan registryMessage[K], _registryRing),
		began:   time.Now(),
		ledger:  ticket.NewLedger[K](bounds),
		waiters: make(map[K][]chan ticket.Outcome),
	}
	r.tomb.Go(r.loop)
	return r
}

// issue enters a new key.
func (r *registry[K]) issue(key K) error {
	return r.ask(registryMessage[K]{op: _issue, key: key}).err
}

// begin claims a key that was issued.
func (r *registry[K]) begin(key K, fingerprint uint64) registryReply {
	return r.ask(registryMessage[K]{op: _begin, key: key, fingerprint: fingerprint})
}

// admit enters a key and claims it, unless it is known already.
func (r *registry[K]) admit(key K) registryReply {
	return r.ask(registryMessage[K]{op: _admit, key: key})
}

// void makes sure that a key that is not claimed never runs.
func (r *registry[K]) void(key K) registryReply {
	return r.ask(registryMessage[K]{op: _void, key: key})
}

// enterVoid enters a key as never to run, if it is not known yet.
func (r *registry[K]) enterVoid(key K) registryReply {
	// A key that is known already is what void decides about.
	_ = r.issue(key)
	return r.void(key)
}

// settle records the outcome of a claimed key and returns once it is remembered.
func (r *registry[K]) settle(key K, outcome ticket.Outcome) {
	r.ask(registryMessage[K]{op: _settle, key: key, outcome: outcome})
}

// ask sends a message and waits for the reply. From a loop that has ended it
// gets Forgotten, which never lets a request run.
func (r *registry[K]) ask(m registryMessage[K]) registryReply {
	m.reply = make(chan registryReply, 1)
	select {
	case r.ring <- m:
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
		case m := <-r.ring:
			m.reply <- r.handle(m)
		}
	}
}

// handle applies one message to the ledger.
func (r *registry[K]) handle(m registryMessage[K]) registryReply {
	now := time.Since(r.began)
	switch m.op {
	case _issue:
		return registryReply{err: r.ledger.Issue(now, m.key)}
	case _begin:
		return r.withWait(m.key, r.ledger.Begin(now, m.key, m.fingerprint))
	case _admit:
		err := r.ledger.Issue(now, m.key)
		return r.withWait(m.key, r.ledger.Begin(now, m.key, 0), err)
	case _void:
		return r.withWait(m.key, r.ledger.Void(now, m.key))
	case _settle:
		r.tell(m.key, r.ledger.Settle(now, m.key, m.outcome))
	}
	return registryReply{}
}

// withWait adds a waiter to the verdict on a request in progress.
func (r *registry[K]) withWait(key K, verdict ticket.Verdict, errs ...error) registryReply {
	reply := registryReply{verdict: verdict}
	for _, err := range errs {
		reply.err = err
	}
	if _, ok := verdict.(ticket.InProgress); ok && len(r.waiters[key]) < _maxWaiters {
		wait := make(chan ticket.Outcome, 1)
		r.waiters[key] = append(r.waiters[key], wait)
		reply.wait = wait
	}
	return reply
}

// tell gives the outcome to all that wait for it.
func (r *registry[K]) tell(key K, outcome ticket.Outcome) {
	for _, wait := range r.waiters[key] {
		wait <- outcome
	}
	delete(r.waiters, key)
}
