package keeper

import "time"

const (
	// HeartbeatInterval is between two heartbeats of an agent to one keeper. Its
	// heartbeats to the three keepers are evenly spaced within it, so that one of
	// them has heard the agent at least two thirds of it ago.
	HeartbeatInterval = 2 * time.Second
	// Silence is how long a keeper waits for a heartbeat before it suspects: the
	// interval, and time for a lost packet to be sent again.
	HeartbeatTimeout = 2800 * time.Millisecond
	// _memberSilence is the same for exchanges with a neighbour, which take
	// turns.
	_memberTimeout = 12 * time.Second
	// _maxSilence bounds the silence that is waited for after suspicions that
	// were refuted: of an agent that others hear and this balancer does not.
	_maxTimeout = time.Minute
	// _probeInterval is between two probes of one silent host, at first.
	_probeInterval = 2 * time.Second
	// _maxProbeInterval bounds it.
	_maxProbeInterval = time.Minute
	// _probeTimeout bounds one probe.
	_probeTimeout = 500 * time.Millisecond

	// _judgeTick is between two looks at the clock.
	_detectInterval = 200 * time.Millisecond
	// _gap is the time between two looks after which the process counts as
	// having been paused.
	_pauseThreshold = time.Second
	// _trustedFor is how long an exchange with another member proves that this
	// balancer is not cut off.
	_contactTTL = 4 * time.Second

	// _exchangeInterval is between two exchanges while nothing is urgent.
	_exchangeInterval = time.Second
	// _urgentInterval is the same while there is urgent news.
	_urgentInterval = 100 * time.Millisecond
	// _compareEvery is how many exchanges there are to one that compares digests.
	// It shares no factor with a number of neighbours, so that all get their turn.
	_compareEvery = 7
	// _reconnectEvery is how many there are to one with a member that is not a
	// neighbour: one that is suspected, or only known from the platform. It shares
	// no factor with a number of neighbours either.
	_reconnectEvery = 11
	// _callTimeout bounds one call.
	_callTimeout = time.Second
	// _joinTimeout is how long a new balancer looks for others before it serves
	// without having heard any.
	_joinTimeout = 3 * time.Second
	// _expireInterval is between two looks for entries to forget.
	_expireInterval = 10 * time.Second

	// _leaseInterval is between two renewals of the lease, and two readings of
	// the others. With 660 members it costs the platform 3.7 writes and 3.7
	// reads a second.
	_leaseInterval = 3 * time.Minute
	// _leaseTerm is how long a lease that is not renewed is left alone.
	_leaseTerm = 15 * time.Minute
	// _leaseRetry bounds the pause before another try when the platform fails.
	_leaseRetryInterval = 30 * time.Second
	// _startSpread is what the first calls to the platform are spread over.
	_startJitter = 2 * time.Second
	// _platformTimeout bounds one call to the platform.
	_platformTimeout = 5 * time.Second
)
