package relay

import (
	"math/rand/v2"
	"time"
)

// The relays share the work of reading the configuration from the store: together, they
// read it about once a second. There is no leader. Each relay waits for a fixed interval
// and a random jitter after the last read that it knows of, and reports its own reads to
// the other relays. Attempts while the store is failing are shared in the same way, so
// that an overloaded store does not get a request from every relay at once: a relay
// reports the start and the failure of an attempt, and the other relays then wait. A
// relay whose own attempts fail while those of other relays succeed backs off
// exponentially and gets the configuration from the relays that can read it.
const (
	// _readInterval is the interval at which the relays together read the configuration
	// from the store: a third of the time within which a change must be in force. They
	// poll because a watch can stop delivering events for seconds without an error.
	_readInterval = time.Second
	// _retryInterval is the time from a failed attempt to the next one, without the
	// jitter. It is short because the relays must notice within a second that the store
	// works again.
	_retryInterval = 250 * time.Millisecond
	// _unconfiguredRetryInterval replaces _retryInterval in a relay without a
	// configuration, which cannot serve any caller.
	_unconfiguredRetryInterval = 120 * time.Millisecond
	// _reportStartsFor is the time after a failed or slow attempt during which relays
	// report the start of each further attempt.
	_reportStartsFor = 3 * time.Second
	// _jitterPerRelay times the number of relays is the upper limit of the random jitter.
	// This limit is capped at _maxReadJitter or, after a failed attempt, at
	// _maxRetryJitter.
	_jitterPerRelay = 40 * time.Millisecond
	_maxReadJitter  = time.Second
	_maxRetryJitter = 3 * time.Second
	// _maxFailureBackoff bounds the backoff of a relay whose own attempts fail while
	// those of other relays succeed.
	_maxFailureBackoff = 4 * time.Second
	// Two times that differ by at most _sameReadTolerance count as those of the same read
	// or attempt. Several relays report the same read, each with its age in whole
	// milliseconds, so the times computed from their reports differ slightly.
	_sameReadTolerance = 20 * time.Millisecond
	// _unknownAge is the age, in ms, that a report carries if no read is known.
	_unknownAge = 1<<32 - 1
)

// readSchedule decides when this relay reads the configuration from the store, from
// the known reads and attempts of all relays. Times are zero if unknown.
type readSchedule struct {
	// lastRead is when any relay last read the configuration. lastAttempt is the latest
	// time at which an attempt of any relay began, was still unanswered or failed, as far
	// as this was reported.
	lastRead, lastAttempt time.Duration
	// jitter is how much longer than _readInterval, or than the retry interval, this
	// relay waits.
	jitter time.Duration
	// failures counts this relay's failed attempts since its last success, and
	// failingSince is when the first of them failed.
	failures     int
	failingSince time.Duration
	// configured is set once a configuration is in force.
	configured bool
}

// degraded reports whether an attempt was reported after the last known read: one that
// failed, was still unanswered, or began shortly after such an attempt.
func (s *readSchedule) degraded() bool { return s.lastAttempt > s.lastRead }

// shouldReportStart reports whether this relay should tell the other relays that it
// begins an attempt: an attempt failed or was slow a short time ago.
func (s *readSchedule) shouldReportStart(now time.Duration) bool {
	return s.lastAttempt > 0 && now-s.lastAttempt < _reportStartsFor
}

// noteFailure records a failed attempt of this relay.
func (s *readSchedule) noteFailure(now time.Duration) {
	if s.failures == 0 {
		s.failingSince = now
	}
	s.failures++
}

// untilDue returns how long this relay should wait before it reads the configuration;
// zero means that a read is due.
func (s *readSchedule) untilDue(now time.Duration) time.Duration {
	switch {
	case s.degraded():
		interval := _retryInterval
		if !s.configured {
			interval = _unconfiguredRetryInterval
		}
		return max(0, s.lastAttempt+interval+s.jitter-now)
	case s.lastRead == 0:
		return 0
	default:
		return max(0, s.lastRead+_readInterval+s.jitter-now)
	}
}

// noteRead records that a relay read the configuration at the given time. relays is the
// number of relays, which sets the range of the jitter.
func (s *readSchedule) noteRead(at time.Duration, relays int, random *rand.Rand) {
	if at > s.lastRead+_sameReadTolerance {
		s.lastRead = at
		s.drawJitter(relays, random)
	}
}

// noteAttempt records that at the given time a relay began to read the configuration, was
// still waiting for the store, or failed. relays is the number of relays.
func (s *readSchedule) noteAttempt(at time.Duration, relays int, random *rand.Rand) {
	if at > s.lastAttempt+_sameReadTolerance {
		s.lastAttempt = at
		s.drawJitter(relays, random)
	}
}

// drawJitter draws a new jitter for this relay.
func (s *readSchedule) drawJitter(relays int, random *rand.Rand) {
	limit := _maxReadJitter
	if s.degraded() {
		limit = _maxRetryJitter
	}
	jitterRange := min(time.Duration(relays)*_jitterPerRelay, limit)
	if s.failures > 0 && s.lastRead > s.failingSince {
		// Other relays can read the configuration, so this one backs off.
		jitterRange += min(_retryInterval<<min(s.failures, 8), _maxFailureBackoff)
	}
	s.jitter = time.Duration(random.Int64N(int64(jitterRange)))
}

// readAge returns the age of the last read in ms, as sent in reports: _unknownAge if no
// read is known.
func (s *readSchedule) readAge(now time.Duration) uint32 {
	if s.lastRead == 0 {
		return _unknownAge
	}
	return uint32(min((now - s.lastRead).Milliseconds(), _unknownAge-1))
}

// attemptAge returns one more than the age of the last attempt in ms, as sent in reports,
// or zero if no attempt is known.
func (s *readSchedule) attemptAge(now time.Duration) uint32 {
	if s.lastAttempt == 0 {
		return 0
	}
	return uint32(min((now-s.lastAttempt).Milliseconds()+1, _unknownAge))
}

// noteReport records the ages of the last read and the last attempt from another
// relay's report. relays is the number of relays.
func (s *readSchedule) noteReport(now time.Duration, readAge, attemptAge uint32, relays int, random *rand.Rand) {
	if age := time.Duration(readAge) * time.Millisecond; readAge < _unknownAge && age < now {
		s.noteRead(now-age, relays, random)
	}
	if age := time.Duration(attemptAge-1) * time.Millisecond; attemptAge > 0 && age < now {
		s.noteAttempt(now-age, relays, random)
	}
}
