package sidecar

import (
	"time"

	"dandelionhitch.example/peer"
)

// An upstream can answer its heartbeats and consent to flows while it ends them
// without an answer. It is quick at that, so it looks idle and would get ever
// more flows. Nobody but the ends reads their bytes, so the sign is a flow that
// the upstream resets after a request and before any data. A healthy upstream
// hardly ever does that. One that fails gets no new flows for a while, then a
// single one as a trial.
const (
	// _failureWeight is the weight of one request in the share of those that failed,
	// and _failingShare the share from which on an upstream counts as failing: two
	// failures in a row, or about a third of all.
	_failureWeight = 0.2
	_failingShare  = 0.35
	// _trialShare is the share that a trial starts from: one more failure is enough.
	_trialShare = 0.3
	// _firstTrial is how long an upstream that fails gets no flows; it doubles up to
	// _lastTrial while trials fail.
	_firstTrial = 400 * time.Millisecond
	_lastTrial  = 3200 * time.Millisecond
)

// failing is what is known of requests that failed.
type failing struct {
	// share is the weighted share of the last requests that failed.
	share float64
	// until is when the upstream may be tried again; zero if it does not fail.
	until, wait time.Duration
	// trial says that it is being tried: it gets one flow at a time.
	trial bool
}

// requestFailed notes that the upstream reset a flow in place of an answer.
func (c *Core) requestFailed() {
	f := &c.upstream.failing
	f.share += _failureWeight * (1 - f.share)
	if f.share < _failingShare || f.until > 0 {
		return
	}
	f.wait = min(max(2*f.wait, _firstTrial), _lastTrial)
	f.until, f.trial = c.now+f.wait, false
	if c.upstream.state == peer.Ready {
		c.setState(c.now, peer.Suspect, "resets_requests")
	}
}

// requestAnswered notes an answer.
func (c *Core) requestAnswered() {
	f := &c.upstream.failing
	f.share -= _failureWeight * f.share
	if f.trial && f.share < _trialShare/2 {
		f.trial, f.wait = false, 0
	}
}

// tryFailing lets an upstream that failed have a trial when its time has come.
func (c *Core) tryFailing() {
	f := &c.upstream.failing
	if f.until == 0 || c.now < f.until {
		return
	}
	f.until, f.trial, f.share = 0, true, _trialShare
	if c.upstream.state == peer.Suspect {
		c.setState(c.now, peer.Ready, "trial")
	}
}
