package keeper

import (
	"time"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// action is an action that the watchlist requests: suspect or probe.
type action interface{ isAction() }

// suspect requests to suspect the current state of an entry.
type suspect struct{ key roster.Key }

// probe requests to probe the control port of an entry.
type probe struct {
	key         roster.Key
	incarnation service.Incarnation
}

func (suspect) isAction() {}
func (probe) isAction()   {}

// watch holds the timers of one watched process.
type watch struct {
	// baseTimeout is the value of timeout after a contact.
	baseTimeout time.Duration
	// lastContact is the time of the last contact, or a later time at which the
	// timeout was restarted.
	lastContact time.Duration
	// timeout is the time without contact after which the process is suspected.
	timeout time.Duration
	// suspectedVersion is the record version that was last suspected, zero after a contact.
	suspectedVersion roster.RecordVersion
	// probeAt is the time of the next probe, or zero if none is due.
	probeAt time.Duration
	// probeInterval is the time between the last probe and the next one.
	probeInterval time.Duration
}

// watchlist detects processes that have timed out. It does no I/O and reads no clock:
// its inputs are the time and the entries' states in the roster, its outputs are
// actions.
//
// A balancer that was paused, or that is disconnected from the network, receives no
// messages, so a timeout is then no evidence against the other process. After a pause
// of this process, the watchlist therefore restarts all timeouts, and while there is
// no evidence that the balancer is connected, it suspects no process. It continues to
// request probes: a refused connection is conclusive also then, and any answer is
// evidence of being connected.
type watchlist struct {
	watches  map[roster.Key]*watch
	lastTick time.Duration
	// pausedAt is the time at which the last pause of this process was detected.
	pausedAt time.Duration
	// disconnected reports whether the last tick had no evidence of being connected.
	disconnected bool
}

func newWatchlist() *watchlist {
	return &watchlist{watches: make(map[roster.Key]*watch)}
}

// recordContact records that a process was in contact with this balancer, and was
// therefore alive, at now.
func (l *watchlist) recordContact(now time.Duration, key roster.Key) {
	w := l.start(now, key)
	w.lastContact = now
	w.timeout = w.baseTimeout
	w.suspectedVersion = roster.RecordVersion{}
	w.probeAt = 0
	w.probeInterval = 0
}

// start starts to watch a process, if it is not watched yet, with the timeout beginning
// at now.
func (l *watchlist) start(now time.Duration, key roster.Key) *watch {
	if w := l.watches[key]; w != nil {
		return w
	}
	base := HeartbeatTimeout
	if key.Kind == roster.KindMember {
		base = _memberTimeout
	}
	w := &watch{baseTimeout: base, lastContact: now, timeout: base}
	l.watches[key] = w
	return w
}

// callFailed records that a call to a process has failed, and schedules an immediate
// probe.
func (l *watchlist) callFailed(now time.Duration, key roster.Key) {
	w := l.start(now, key)
	if w.probeAt == 0 {
		w.probeAt = now
	}
}

// entryStates returns the states of entries in the roster.
type entryStates interface {
	// status returns the status of an entry, with the state Gone if it has no record.
	status(key roster.Key) roster.Status
	// responsible reports whether this balancer has to watch an entry.
	responsible(key roster.Key) bool
}

// tick checks all timers and returns the actions that are due. connected reports whether
// there is evidence that this balancer is connected to the network.
func (l *watchlist) tick(now time.Duration, connected bool, states entryStates) []action {
	paused := now-l.lastTick > _pauseThreshold
	l.lastTick = now
	if paused {
		l.pausedAt = now
	}
	if paused || (connected && l.disconnected) {
		l.disconnected = false
		l.resetTimers(now)
		return nil
	}
	l.disconnected = !connected
	var actions []action
	for key, w := range l.watches {
		status := states.status(key)
		if status.State == service.Gone || (w.timedOut(now) && !states.responsible(key)) {
			delete(l.watches, key)
			continue
		}
		if connected {
			actions = w.checkTimeout(now, key, status, actions)
		}
		if w.timedOut(now) && w.probeAt == 0 {
			w.probeAt = now
		}
		actions = w.checkProbe(now, key, status, actions)
	}
	return actions
}

// resetTimers restarts the timeouts of all watched processes.
func (l *watchlist) resetTimers(now time.Duration) {
	for _, w := range l.watches {
		w.lastContact = now
		w.probeAt = 0
	}
}

// aliveUpstreams returns the number of watched upstreams that have not timed out, and
// the number of all watched upstreams.
func (l *watchlist) aliveUpstreams(now time.Duration) (alive, all int) {
	for key, w := range l.watches {
		if key.Kind != roster.KindUpstream {
			continue
		}
		all++
		if !w.timedOut(now) {
			alive++
		}
	}
	return alive, all
}

// timedOut reports whether the last contact is longer ago than the timeout.
func (w *watch) timedOut(now time.Duration) bool { return now-w.lastContact > w.timeout }

// checkTimeout requests a suspicion if the process has timed out.
func (w *watch) checkTimeout(now time.Duration, key roster.Key, status roster.Status, actions []action) []action {
	if !w.timedOut(now) || status.Suspect {
		return actions
	}
	if refuted := w.suspectedVersion.Incarnation != 0 && status.Version.Compare(w.suspectedVersion) > 0; refuted {
		// The process has refuted the suspicion without contacting this balancer: it is
		// alive, but only other members receive its messages.
		w.timeout = min(2*w.timeout, _maxTimeout)
		w.lastContact = now
		w.suspectedVersion = roster.RecordVersion{}
		w.probeAt = 0
		return actions
	}
	w.suspectedVersion = status.Version
	return append(actions, suspect{key})
}

// checkProbe requests a probe if one is due, and schedules the next one.
func (w *watch) checkProbe(now time.Duration, key roster.Key, status roster.Status, actions []action) []action {
	if w.probeAt == 0 || now < w.probeAt {
		return actions
	}
	w.probeInterval = min(max(2*w.probeInterval, _probeInterval), _maxProbeInterval)
	w.probeAt = now + w.probeInterval
	return append(actions, probe{key, status.Version.Incarnation})
}
