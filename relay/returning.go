package relay

import (
	"net/netip"
	"time"
)

// A caller whose flow was refused since it could not be answered in time tries
// again at once, on a flow that looks like a new one. If it were placed as a new
// one, those that have waited longest would push fresh ones out of time, and after
// an outage nobody would be answered in time. So a relay remembers for a while
// whom it has seen refused, and lets the next flow of that caller keep the age of
// the one before. Several users may share a caller's address: then one fresh flow
// may be taken for the returning one, and the returning one for fresh.
const (
	// _returnWithin is how long after a refusal a caller is expected back: callers try
	// again at once, and this is many round trips to them. A caller of whom more is
	// expected than comes makes a fresh flow pass for an old one.
	_returnWithin = 100 * time.Millisecond
	// _maxReturns is how often callers try again, from the users' sheets.
	_maxReturns = 2
	// _maxReturning bounds the callers that are remembered, some 100 bytes each.
	_maxReturning = 4096
)

// returning are refused callers that are expected back.
type returning map[netip.Addr][]refusal

// firstAsk is when a caller first asked, and how often it has come back since.
type firstAsk struct {
	came    time.Duration
	returns int
}

// refusal is the end of one flow of a caller.
type refusal struct {
	firstAsk
	at time.Duration
}

// refused notes that a caller was refused.
func (r returning) refused(now time.Duration, caller netip.Addr, a firstAsk) {
	if _, known := r[caller]; a.returns >= _maxReturns || !known && len(r) >= _maxReturning {
		return
	}
	r[caller] = append(r[caller], refusal{firstAsk: a, at: now})
}

// back returns since when the caller of a new flow asks: since now, if it is not
// known to return.
func (r returning) back(now time.Duration, caller netip.Addr) firstAsk {
	refusals := r[caller]
	for len(refusals) > 0 {
		first := refusals[0]
		refusals = refusals[1:]
		r.keep(caller, refusals)
		if now-first.at <= _returnWithin {
			return firstAsk{came: first.came, returns: first.returns + 1}
		}
	}
	return firstAsk{came: now}
}

// forget drops callers that did not come back.
func (r returning) forget(now time.Duration) {
	for caller, refusals := range r {
		for len(refusals) > 0 && now-refusals[0].at > _returnWithin {
			refusals = refusals[1:]
		}
		r.keep(caller, refusals)
	}
}

func (r returning) keep(caller netip.Addr, refusals []refusal) {
	if len(refusals) == 0 {
		delete(r, caller)
		return
	}
	r[caller] = refusals
}
