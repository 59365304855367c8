package keeper

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of an agent to the same
	// keeper. The heartbeats to its three keepers are evenly spaced within the
	// interval, so that at any time one of the keepers received its last heartbeat at
	// least two thirds of the interval ago.
	HeartbeatInterval = 2 * time.Second
	// HeartbeatTimeout is the time without a heartbeat after which a keeper suspects
	// an agent. It is HeartbeatInterval plus the time to retransmit a lost packet.
	HeartbeatTimeout = 2800 * time.Millisecond
	// _memberTimeout is the time without an exchange after which a balancer suspects
	// a neighbour. It is longer because exchanges go to the neighbours in turn.
	_memberTimeout = 12 * time.Second
	// _maxTimeout limits the timeout of a process, which is doubled each time the
	// process refutes a suspicion without having contacted this balancer: it is alive,
	// but only other members receive its messages.
	_maxTimeout = time.Minute
	// _probeInterval is the time between the first two probes of a host. It doubles with
	// each further probe.
	_probeInterval = 2 * time.Second
	// _maxProbeInterval limits the time between two probes of a host.
	_maxProbeInterval = time.Minute
	// _probeTimeout is the timeout of one probe.
	_probeTimeout = 500 * time.Millisecond

	// _detectInterval is the time between two checks of all timeouts.
	_detectInterval = 200 * time.Millisecond
	// _pauseThreshold is the time between two checks above which this process is
	// considered to have been paused in between.
	_pauseThreshold = time.Second
	// _contactTTL is how long an exchange with another member, or the answer of a
	// probed host, counts as evidence that this balancer is connected.
	_contactTTL = 4 * time.Second

	// _exchangeInterval is the time between two exchanges while no urgent change is
	// pending.
	_exchangeInterval = time.Second
	// _urgentInterval is the time between two exchanges while an urgent change is
	// pending.
	_urgentInterval = 100 * time.Millisecond
	// _compareEvery is the number of exchanges per comparison of digests. It is coprime
	// to every possible number of neighbours, so that digests are compared with all of
	// them in turn.
	_compareEvery = 7
	// _reconnectEvery is the number of exchanges per exchange with one of
	// reconnectTargets: a suspected member, or one known only from the platform or
	// WithPeers. It is coprime to every possible number of neighbours as well.
	_reconnectEvery = 11
	// _callTimeout is the timeout of one exchange, and of leaving and of removing the
	// lease in Close.
	_callTimeout = time.Second
	// _joinTimeout is how long a new balancer tries to reach another member before it
	// serves without having reached any.
	_joinTimeout = 3 * time.Second
	// _expireInterval is the time between two removals of expired entries.
	_expireInterval = 10 * time.Second

	// _leaseInterval is the mean time between two renewals of the balancer's lease,
	// each of which is followed by a read of all leases. With 660 members, the
	// platform serves 3.7 writes and 3.7 reads per second.
	_leaseInterval = 3 * time.Minute
	// _leaseTerm is the time after which a lease that is not renewed may be removed by
	// other members.
	_leaseTerm = 15 * time.Minute
	// _leaseRetryInterval is the range of the jitter in the delay before the platform
	// is called again after a failure. The delay is a quarter of this range plus the
	// jitter.
	_leaseRetryInterval = 30 * time.Second
	// _startJitter is the range of the random delay before the first call to the
	// platform.
	_startJitter = 2 * time.Second
	// _platformTimeout is the timeout for renewing the lease and reading the others.
	_platformTimeout = 5 * time.Second
)
