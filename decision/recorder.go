package decision

import "time"

// Recorder is the part of a core's outbox that logs and measures, with the
// process's monotonic clock.
type Recorder struct {
	start   time.Time
	log     *Log
	observe func(Span, time.Duration)
}

// NewRecorder returns a recorder whose clock starts now. observe gets measured
// times; it must not block.
func NewRecorder(log *Log, observe func(Span, time.Duration)) *Recorder {
	return &Recorder{start: time.Now(), log: log, observe: observe}
}

// Now returns the time since the process started.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Decide logs a decision.
func (r *Recorder) Decide(record Record) { r.log.Decide(r.Now(), record) }

// Believe logs a change of belief.
func (r *Recorder) Believe(belief Belief) { r.log.Believe(r.Now(), belief) }

// Observe measures a span.
func (r *Recorder) Observe(span Span, took time.Duration) { r.observe(span, took) }
