package decision

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"
)

// Bounds of the log.
const (
	_routinePerSecond = 5       // lines; a sample is enough, counters count all
	_othersPerSecond  = 15      // lines; some 4 KB/s, 1% of a core of 0.06
	_endsPerSecond    = 25      // lines; what complaints are about
	_beliefsPerSecond = 50      // lines; a change of state of every process of one service
	_bufferSize       = 1 << 18 // bytes; some seconds of the full budget
	_flushInterval    = 100 * time.Millisecond
)

// Log writes records as JSON lines within its budget.
type Log struct {
	log    *zap.Logger
	mu     sync.Mutex
	second int64
	// lines are those written in this second, and omitted those left out, by class.
	lines, omitted [_classes]int
}

// class is a class of lines with a budget of its own: a flood of one does not
// hide the others.
type class int

const (
	_routine class = iota
	_others
	// _ends are resets and drops, and changes of the configuration. One flow may be
	// refused many times before it ends, and a relay that starts learns of a whole
	// fleet while it gets its configuration.
	_ends
	_beliefs
	_classes
)

// perSecond returns the budget of a class.
func (c class) perSecond() int {
	return [_classes]int{_routinePerSecond, _othersPerSecond, _endsPerSecond, _beliefsPerSecond}[c]
}

// NewLog returns a log that writes to logger, usually one over a Writer.
func NewLog(logger *zap.Logger) *Log { return &Log{log: logger} }

// Decide logs a decision.
func (l *Log) Decide(now time.Duration, r Record) {
	class := _others
	switch {
	case r.Routine:
		class = _routine
	case r.Action == Reset || r.Action == Dropped:
		class = _ends
	}
	if !l.admit(now, class) {
		return
	}
	fields := make([]zapcore.Field, 0, 10)
	fields = append(fields, zap.Stringer("flow", r.Flow), zap.String("action", string(r.Action)))
	fields = optional(fields, "reason", r.Reason)
	fields = optional(fields, "service", r.Service)
	if r.Target.IsValid() {
		fields = append(fields, zap.Stringer("target", r.Target))
	}
	if r.Slots > 0 {
		fields = append(fields, zap.Uint16("busy", r.Busy), zap.Uint16("slots", r.Slots))
	}
	if r.Attempt > 0 {
		fields = append(fields, zap.Int("attempt", r.Attempt))
	}
	fields = append(fields, zap.Uint64("settings_version", r.Version), zap.Int64("age_ms", r.Age.Milliseconds()))
	l.log.Info("decision", fields...)
}

// Believe logs a change of belief.
func (l *Log) Believe(now time.Duration, b Belief) {
	class := _beliefs
	if b.Subject == SettingsSubject {
		class = _ends
	}
	if !l.admit(now, class) {
		return
	}
	l.log.Info("belief",
		zap.String("subject", b.Subject), zap.String("name", b.Name),
		zap.String("from", b.From), zap.String("to", b.To), zap.String("reason", b.Reason),
		zap.Uint64("version", b.Version), zap.Int64("age_ms", b.Age.Milliseconds()))
}

// admit takes a line from the budget of its class in the present second.
func (l *Log) admit(now time.Duration, c class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now / time.Second); second != l.second {
		if l.omitted != [_classes]int{} {
			l.log.Warn("lines left out", zap.Int("routine_decisions", l.omitted[_routine]),
				zap.Int("other_decisions", l.omitted[_others]), zap.Int("ends", l.omitted[_ends]), zap.Int("beliefs", l.omitted[_beliefs]),
				zap.Int64("of_second", l.second))
		}
		l.second, l.lines, l.omitted = second, [_classes]int{}, [_classes]int{}
	}
	if l.lines[c] >= c.perSecond() {
		l.omitted[c]++
		return false
	}
	l.lines[c]++
	return true
}

func optional(fields []zapcore.Field, key, value string) []zapcore.Field {
	if value == "" {
		return fields
	}
	return append(fields, zap.String(key, value))
}

// Writer is a zapcore.WriteSyncer that never blocks: a loop of its own writes
// to the output, and what does not fit into the buffer is dropped and counted.
type Writer struct {
	tomb    tomb.Tomb
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped uint64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out}
	w.tomb.Go(w.loop)
	return w
}

// Write takes a copy of line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > _bufferSize {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync does nothing: lines are written by the loop.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines did not fit into the buffer.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is pending and waits for the loop. It waits as long as the
// output blocks.
func (w *Writer) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Writer) loop() error {
	ticker := time.NewTicker(_flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.tomb.Dying():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere left to report that the log cannot be written.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}
