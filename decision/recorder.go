package decision

import "time"

// Recorder logs the decisions and beliefs of a core and records its durations, with
// the process's monotonic clock.
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

// Decide logs a decision.
func (r *Recorder) Decide(record Record) { r.log.Decide(r.Now(), record) }

// Believe logs a change of belief.
func (r *Recorder) Believe(belief Belief) { r.log.Believe(r.Now(), belief) }

// Observe records the duration of a span.
func (r *Recorder) Observe(span Span, took time.Duration) { r.observe(span, took) }
