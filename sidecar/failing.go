package sidecar

import (
	"math"
	"slices"
	"time"

	"dandelionhitch.example/peer"
)

// An upstream can answer its heartbeats and consent to flows while it fails
// requests. It is quick at that, so it looks idle and would get ever more flows.
// Nobody but the ends reads their bytes, so there are two signs. One is a flow
// that the upstream resets after a request and before any data, which a healthy
// upstream hardly ever does. The other is an answer that comes in a fraction of
// the time that requests take at its peers, as errors do. Some services have quick
// answers, so it counts only where the upstream has far more of them than its
// peers. An upstream that fails gets no new flows for a while, then a single one as
// a trial. Errors that take as long as answers are not told apart.
const (
	// _failureWeight is the weight of one request in the share of those that failed,
	// and _failingShare the share from which on an upstream counts as failing: two
	// failures in a row, or about a third of all.
	_failureWeight    = 0.2
	_failureThreshold = 0.35
	// _trialShare is the share that a trial starts from: one more failure is enough.
	_trialFailureShare = 0.3
	// _quickPart is the part of the peers' usual run time within which an answer is
	// oddly early: run times of one kind of request vary less.
	_earlyFraction = 0.25
	// _quickWeight is the weight of one answer in the share of early ones. Early
	// answers count as failures where that share is above the peers' by _quickMargin
	// and by so many times its standard deviation.
	_earlyWeight     = 0.05
	_earlyMargin     = 0.12
	_earlyDeviations = 5
	// _minPeers is how many peers must have told their run times for a comparison.
	_minComparedPeers = 3
	// _firstTrial is how long an upstream that fails gets no flows; it doubles up to
	// _lastTrial while trials fail.
	_minTrialBackoff = 400 * time.Millisecond
	_maxTrialBackoff = 3200 * time.Millisecond
)

// failing is what is known of requests that failed.
type failureState struct {
	// share is the weighted share of the last requests that failed.
	failureShare float64
	// until is when the upstream may be tried again; zero if it does not fail.
	retryAt, backoff time.Duration
	// trial says that it is being tried: it gets one flow at a time.
	onTrial bool
}

// requestFailed notes that the upstream failed a request.
func (c *Core) noteFailure(sign string) {
	f := &c.upstream.failures
	f.failureShare += _failureWeight * (1 - f.failureShare)
	if f.failureShare < _failureThreshold || f.retryAt > 0 {
		return
	}
	f.backoff = min(max(2*f.backoff, _minTrialBackoff), _maxTrialBackoff)
	f.retryAt, f.onTrial = c.now+f.backoff, false
	if c.upstream.state == peer.Ready {
		c.setState(c.now, peer.Suspect, sign)
	}
}

// answeredAfter notes that the upstream began to answer a request.
func (c *Core) noteAnswer(took time.Duration) {
	u := &c.upstream
	usual, peersQuick, known := c.peerMedians()
	quick := known && took < time.Duration(_earlyFraction*float64(usual))
	if !quick {
		u.earlyShare -= _earlyWeight * u.earlyShare
		c.noteSuccess()
		return
	}
	u.earlyShare += _earlyWeight * (1 - u.earlyShare)
	if u.earlyShare > peersQuick+earlyMargin(u.earlyShare, peersQuick) {
		c.noteFailure("answers_too_early")
	}
}

// quickMargin returns how far chance alone takes one share of early answers above
// another, if answers are early independently and as often at both.
func earlyMargin(own, peers float64) float64 {
	pooled := (own + peers) / 2
	variance := pooled * (1 - pooled) * _earlyWeight / (2 - _earlyWeight) // of a weighted mean
	return max(_earlyMargin, _earlyDeviations*math.Sqrt(variance))
}

// usualOfPeers returns the medians of the peers' run times and of their shares of
// early answers, and whether enough peers have told them.
func (c *Core) peerMedians() (runTime time.Duration, quick float64, known bool) {
	c.runTimes, c.earlyShares = c.runTimes[:0], c.earlyShares[:0]
	for _, p := range c.view.Service(c.self.Service) {
		if p.Sidecar != c.self.Addr && p.RunTime > 0 && c.view.Takes(c.now, p) {
			c.runTimes, c.earlyShares = append(c.runTimes, p.RunTime), append(c.earlyShares, p.Quick)
		}
	}
	if len(c.runTimes) < _minComparedPeers {
		return 0, 0, false
	}
	slices.Sort(c.runTimes)
	slices.Sort(c.earlyShares)
	return c.runTimes[len(c.runTimes)/2], c.earlyShares[len(c.earlyShares)/2], true
}

// requestAnswered notes an answer.
func (c *Core) noteSuccess() {
	f := &c.upstream.failures
	f.failureShare -= _failureWeight * f.failureShare
	if f.onTrial && f.failureShare < _trialFailureShare/2 {
		f.onTrial, f.backoff = false, 0
	}
}

// tryFailing lets an upstream that failed have a trial when its time has come.
func (c *Core) startTrialIfDue() {
	f := &c.upstream.failures
	if f.retryAt == 0 || c.now < f.retryAt {
		return
	}
	f.retryAt, f.onTrial, f.failureShare = 0, true, _trialFailureShare
	if c.upstream.state == peer.Suspect {
		c.setState(c.now, peer.Ready, "trial")
	}
}
