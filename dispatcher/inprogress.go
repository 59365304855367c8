package dispatcher

import "sync"

// inProgress counts the requests in progress, and notifies waiters when no request
// is in progress.
type inProgress struct {
	mu      sync.Mutex
	count   int
	closed  bool
	waiters []chan struct{}
}

// tryAdd counts a request as in progress. It returns false after close.
func (p *inProgress) tryAdd() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.count++
	return true
}

// done counts a request as finished.
func (p *inProgress) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	if p.count > 0 {
		return
	}
	for _, waiter := range p.waiters {
		close(waiter)
	}
	p.waiters = nil
}

// close makes later calls of tryAdd return false.
func (p *inProgress) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// idle returns a channel that is closed once no request is in progress.
func (p *inProgress) idle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := make(chan struct{})
	if p.count == 0 {
		close(idle)
		return idle
	}
	p.waiters = append(p.waiters, idle)
	return idle
}
