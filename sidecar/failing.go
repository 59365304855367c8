package sidecar

import (
	"math"
	"slices"
	"time"

	"dandelionhitch.example/peer"
)

// An upstream may send heartbeats and consent to flows although it fails requests. If it
// fails them quickly, it looks idle and would get more and more flows. The sidecar cannot
// read the data of a flow, so it uses two signs of failure. The first is that the
// upstream resets a flow after a request and before it has sent data, which a healthy
// upstream hardly ever does. The second is an early answer: one that begins within a
// fraction of the peers' run time, as error responses do. Some services have quick
// answers, so early answers only count where the upstream has far more of them than its
// peers. A failing upstream gets no new flows for a backoff time, then one flow at a time
// as a trial. Errors that take as long as other answers are not detected.
const (
	// _failureWeight is the weight of one request in the share of failed requests. An
	// upstream is failing from a share of _failureThreshold on: two failures in a row, or
	// about a third of all requests.
	_failureWeight    = 0.2
	_failureThreshold = 0.35
	// _trialFailureShare is the share of failed requests at the start of a trial. One more
	// failure then exceeds the threshold.
	_trialFailureShare = 0.3
	// _earlyFraction is the fraction of the peers' median run time within which an answer
	// is early. Run times of one kind of request vary by less than this factor.
	_earlyFraction = 0.25
	// _earlyWeight is the weight of one answer in the share of early answers. Early
	// answers count as failures if that share exceeds the peers' share by both
	// _minEarlyMargin and _earlyDeviations standard deviations.
	_earlyWeight     = 0.05
	_minEarlyMargin  = 0.12
	_earlyDeviations = 5
	// _minComparedPeers is how many peers must have reported a run time for a comparison.
	_minComparedPeers = 3
	// _minTrialBackoff is the time for which an upstream gets no flows when it begins to
	// fail. The time doubles with each failed trial, up to _maxTrialBackoff.
	_minTrialBackoff = 400 * time.Millisecond
	_maxTrialBackoff = 3200 * time.Millisecond
	// _maxBouncedOpenings is the number of consecutive opening packets after whose bounces
	// the upstream becomes suspect.
	_maxBouncedOpenings = 2
)

// failureState tracks failed requests and the trials of a failing upstream.
type failureState struct {
	// share is the exponentially weighted share of requests that failed.
	share float64
	// retryAt is when the next trial begins, or zero if the upstream is not failing.
	// backoff is the length of the latest period in which it got no flows.
	retryAt, backoff time.Duration
	// onTrial is set during a trial, in which the upstream gets one flow at a time.
	onTrial bool
}

// noteFailure counts a failed request. If the upstream is now failing, it becomes suspect
// until the next trial. sign is the reason to log.
func (c *Core) noteFailure(sign string) {
	f := &c.upstream.failures
	f.share += _failureWeight * (1 - f.share)
	if f.share < _failureThreshold || f.retryAt > 0 {
		return
	}
	f.backoff = min(max(2*f.backoff, _minTrialBackoff), _maxTrialBackoff)
	f.retryAt, f.onTrial = c.now+f.backoff, false
	if c.upstream.state == peer.Ready {
		c.setState(c.now, peer.Suspect, sign)
	}
}

// noteAnswer counts an answer. took is the time from the request to the beginning of the
// answer. An early answer counts as a failure if the upstream has far more of them than
// its peers.
func (c *Core) noteAnswer(took time.Duration) {
	u := &c.upstream
	usual, peersEarly, known := c.peerMedians()
	early := known && took < time.Duration(_earlyFraction*float64(usual))
	if !early {
		u.earlyShare -= _earlyWeight * u.earlyShare
		c.noteSuccess()
		return
	}
	u.earlyShare += _earlyWeight * (1 - u.earlyShare)
	if u.earlyShare > peersEarly+earlyMargin(u.earlyShare, peersEarly) {
		c.noteFailure("answers_too_early")
	}
}

// earlyMargin returns the margin, at least _minEarlyMargin, that the local share of early
// answers may have over the peers' share by chance, if early answers are independent and
// equally frequent.
func earlyMargin(own, peers float64) float64 {
	pooled := (own + peers) / 2
	variance := pooled * (1 - pooled) * _earlyWeight / (2 - _earlyWeight) // of an exponentially weighted mean
	return max(_minEarlyMargin, _earlyDeviations*math.Sqrt(variance))
}

// peerMedians returns the medians of the peers' run times and of their shares of early
// answers. known is false if too few peers have reported them.
func (c *Core) peerMedians() (runTime time.Duration, earlyShare float64, known bool) {
	c.runTimes, c.earlyShares = c.runTimes[:0], c.earlyShares[:0]
	for _, p := range c.view.Service(c.self.Service) {
		if p.Sidecar != c.self.Addr && p.RunTime > 0 && c.view.Eligible(c.now, p) {
			c.runTimes, c.earlyShares = append(c.runTimes, p.RunTime), append(c.earlyShares, p.EarlyShare)
		}
	}
	if len(c.runTimes) < _minComparedPeers {
		return 0, 0, false
	}
	slices.Sort(c.runTimes)
	slices.Sort(c.earlyShares)
	return c.runTimes[len(c.runTimes)/2], c.earlyShares[len(c.earlyShares)/2], true
}

// noteSuccess counts a request that did not fail. It ends the trial once the share of
// failed requests has dropped to half of its value at the start of the trial.
func (c *Core) noteSuccess() {
	f := &c.upstream.failures
	f.share -= _failureWeight * f.share
	if f.onTrial && f.share < _trialFailureShare/2 {
		f.onTrial, f.backoff = false, 0
	}
}

// startTrialIfDue starts the trial of a failing upstream when its backoff is over.
func (c *Core) startTrialIfDue() {
	f := &c.upstream.failures
	if f.retryAt == 0 || c.now < f.retryAt {
		return
	}
	f.retryAt, f.onTrial, f.share = 0, true, _trialFailureShare
	if c.upstream.state == peer.Suspect {
		c.setState(c.now, peer.Ready, "trial")
	}
}

// noteBouncedOpening counts an opening packet that the upstream has bounced although it has a
// free slot. An upstream that does so repeatedly becomes suspect: it may have gone, and its
// VM then bounces all packets. With no load, it would be offered thousands of flows a second.
// Its next heartbeat after _minSuspicion makes it ready again.
func (c *Core) noteBouncedOpening() {
	if c.Busy() > c.totalSlots() { // busy includes the bounced flow
		return
	}
	c.upstream.bouncedOpenings++
	if c.upstream.state == peer.Ready && c.bouncesOpenings() {
		c.setState(c.now, peer.Suspect, "bounces_openings")
	}
}

// bouncesOpenings reports whether the upstream has bounced all recent opening packets.
func (c *Core) bouncesOpenings() bool { return c.upstream.bouncedOpenings >= _maxBouncedOpenings }
