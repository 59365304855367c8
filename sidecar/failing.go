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
	_failureWeight = 0.2
	_failingShare  = 0.35
	// _trialShare is the share that a trial starts from: one more failure is enough.
	_trialShare = 0.3
	// _quickPart is the part of the peers' usual run time within which an answer is
	// oddly early: run times of one kind of request vary less.
	_quickPart = 0.25
	// _quickWeight is the weight of one answer in the share of early ones. Early
	// answers count as failures where that share is above the peers' by _quickMargin
	// and by so many times its standard deviation.
	_quickWeight     = 0.05
	_quickMargin     = 0.12
	_quickDeviations = 5
	// _minPeers is how many peers must have told their run times for a comparison.
	_minPeers = 3
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

// requestFailed notes that the upstream failed a request.
func (c *Core) requestFailed(sign string) {
	f := &c.upstream.failing
	f.share += _failureWeight * (1 - f.share)
	if f.share < _failingShare || f.until > 0 {
		return
	}
	f.wait = min(max(2*f.wait, _firstTrial), _lastTrial)
	f.until, f.trial = c.now+f.wait, false
	if c.upstream.state == peer.Ready {
		c.setState(c.now, peer.Suspect, sign)
	}
}

// answeredAfter notes that the upstream began to answer a request.
func (c *Core) answeredAfter(took time.Duration) {
	u := &c.upstream
	usual, peersQuick, known := c.usualOfPeers()
	quick := known && took < time.Duration(_quickPart*float64(usual))
	if !quick {
		u.quick -= _quickWeight * u.quick
		c.requestAnswered()
		return
	}
	u.quick += _quickWeight * (1 - u.quick)
	if u.quick > peersQuick+quickMargin(u.quick, peersQuick) {
		c.requestFailed("answers_too_early")
	}
}

// quickMargin returns how far chance alone takes one share of early answers above
// another, if answers are early independently and as often at both.
func quickMargin(own, peers float64) float64 {
	pooled := (own + peers) / 2
	variance := pooled * (1 - pooled) * _quickWeight / (2 - _quickWeight) // of a weighted mean
	return max(_quickMargin, _quickDeviations*math.Sqrt(variance))
}

// usualOfPeers returns the medians of the peers' run times and of their shares of
// early answers, and whether enough peers have told them.
func (c *Core) usualOfPeers() (runTime time.Duration, quick float64, known bool) {
	c.runTimes, c.quicks = c.runTimes[:0], c.quicks[:0]
	for _, p := range c.view.Service(c.self.Service) {
		if p.Sidecar != c.self.Addr && p.RunTime > 0 && c.view.Takes(c.now, p) {
			c.runTimes, c.quicks = append(c.runTimes, p.RunTime), append(c.quicks, p.Quick)
		}
	}
	if len(c.runTimes) < _minPeers {
		return 0, 0, false
	}
	slices.Sort(c.runTimes)
	slices.Sort(c.quicks)
	return c.runTimes[len(c.runTimes)/2], c.quicks[len(c.quicks)/2], true
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
