package decision

import "time"

// Recorder logs the decisions and beliefs of a core and records its durations. It reads
// the time from the process's monotonic clock.
type Recorder struct {
	start   time.Time
	log     *Log
	observe func(Span, time.Duration)
}

// NewRecorder returns a recorder whose clock starts now. It calls observe for each
// recorded duration; observe must not block.
func NewRecorder(log *Log, observe func(Span, time.Duration)) *Recorder {
	return &Recorder{start: time.Now(), log: log, observe: observe}
}

// Now returns the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// LogDecision logs a decision.
func (r *Recorder) LogDecision(record Record) { r.log.Decision(r.Now(), record) }

// LogBelief logs a change of belief.
func (r *Recorder) LogBelief(belief Belief) { r.log.Belief(r.Now(), belief) }

// ObserveSpan records the duration of a span.
func (r *Recorder) ObserveSpan(span Span, took time.Duration) { r.observe(span, took) }
