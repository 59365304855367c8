package keeper

import (
	"time"

	"dandelionhitch.example/roster"
	"dandelionhitch.example/service"
)

// action is what the watchlist asks for: a suspicion or a probe.
type action interface{ isAction() }

// suspect asks to suspect the entry's present state.
type suspect struct{ key roster.Key }

// probe asks to probe the entry's control port.
type probe struct {
	key         roster.Key
	incarnation service.Incarnation
}

func (suspect) isAction() {}
func (probe) isAction()   {}

// watch is the silence of one process, as this balancer hears it.
type watch struct {
	baseTimeout time.Duration
	lastContact time.Duration
	// timeout is the silence after which to suspect.
	timeout time.Duration
	// suspected is the state that was suspected last.
	suspectedMark roster.Mark
	// probeAt is when to probe next; zero is not.
	probeAt       time.Duration
	probeInterval time.Duration
}

// watchlist judges silence. It is pure: the time and the roster's conclusions
// come in, actions come out.
//
// A balancer that was paused, or that is cut off itself, hears nobody; the
// silence then says nothing of the others. So after a gap in its own clock it
// gives everyone a new term, and while it has no sign of being connected it
// suspects nobody. It still probes then: a refused connection means the same
// whoever hears it, and any answer is a sign of being connected.
type watchlist struct {
	watches  map[roster.Key]*watch
	lastTick time.Duration
	// pausedAt is when the last gap ended.
	pausedAt time.Duration
	// cutOff says that there was no sign of being connected.
	disconnected bool
}

func newWatchlist() *watchlist {
	return &watchlist{watches: make(map[roster.Key]*watch)}
}

// heard notes a sign of life.
func (l *watchlist) recordContact(now time.Duration, key roster.Key) {
	w := l.start(now, key)
	w.lastContact = now
	w.timeout = w.baseTimeout
	w.suspectedMark = roster.Mark{}
	w.probeAt = 0
	w.probeInterval = 0
}

// begin starts to watch a process; its first term begins now.
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

// failed notes that a call to a process failed: it is probed at once.
func (l *watchlist) callFailed(now time.Duration, key roster.Key) {
	w := l.start(now, key)
	if w.probeAt == 0 {
		w.probeAt = now
	}
}

// conclusions are what the roster concludes.
type entryStates interface {
	// status returns what is concluded about an entry, Gone if nothing is known.
	status(key roster.Key) roster.Status
	// keeps says whether this balancer has to watch an entry.
	responsible(key roster.Key) bool
}

// tick returns what the silence up to now calls for. connected says that this
// balancer itself is not cut off.
func (l *watchlist) tick(now time.Duration, connected bool, known entryStates) []action {
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
		status := known.status(key)
		if status.State == service.Gone || (w.timedOut(now) && !known.responsible(key)) {
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

// renew gives everyone a new term.
func (l *watchlist) resetTimers(now time.Duration) {
	for _, w := range l.watches {
		w.lastContact = now
		w.probeAt = 0
	}
}

// alive counts the processes that are not silent, and all of them.
func (l *watchlist) alive(now time.Duration) (aliveUpstreams, all int) {
	for key, w := range l.watches {
		if key.Kind != roster.KindUpstream {
			continue
		}
		all++
		if !w.timedOut(now) {
			aliveUpstreams++
		}
	}
	return aliveUpstreams, all
}

func (w *watch) timedOut(now time.Duration) bool { return now-w.lastContact > w.timeout }

// judge suspects a process that is silent.
func (w *watch) checkTimeout(now time.Duration, key roster.Key, status roster.Status, actions []action) []action {
	if !w.timedOut(now) || status.Suspect {
		return actions
	}
	if refuted := w.suspectedMark.Incarnation != 0 && status.Mark.Compare(w.suspectedMark) > 0; refuted {
		// Others hear it and this balancer does not: it waits longer each time.
		w.timeout = min(2*w.timeout, _maxTimeout)
		w.lastContact = now
		w.suspectedMark = roster.Mark{}
		w.probeAt = 0
		return actions
	}
	w.suspectedMark = status.Mark
	return append(actions, suspect{key})
}

// probe probes a process when it is time to.
func (w *watch) checkProbe(now time.Duration, key roster.Key, status roster.Status, actions []action) []action {
	if w.probeAt == 0 || now < w.probeAt {
		return actions
	}
	w.probeInterval = min(max(2*w.probeInterval, _probeInterval), _maxProbeInterval)
	w.probeAt = now + w.probeInterval
	return append(actions, probe{key, status.Mark.Incarnation})
}
