package decision

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"
)

// Limits of the log.
const (
	_routinePerSecond  = 5       // lines; a sample is enough, as metrics count every routine decision
	_othersPerSecond   = 15      // lines; about 4 KB/s, which costs 1% of a CPU allowance of 0.06 cores
	_endsPerSecond     = 25      // lines; users' complaints are about flows that were reset or dropped
	_beliefsPerSecond  = 50      // lines; enough for a state change of every process of one service
	_warningsPerSecond = 5       // lines; an upstream of another service sends one or two heartbeats a second
	_bufferSize        = 1 << 18 // bytes; several seconds of lines at the full budget
	_flushInterval     = 100 * time.Millisecond
)

// Log writes records as JSON lines, with a budget for each class of lines. It is safe
// for concurrent use.
type Log struct {
	log    *zap.Logger
	mu     sync.Mutex
	second int64
	// lines and omitted count the lines of the current second that were written and
	// omitted, by class.
	lines, omitted [_classes]int
}

// class is a class of lines. Each class has a separate budget, so that a flood of one
// class does not suppress the others.
type class int

const (
	_routine class = iota
	_others
	// _ends holds resets, drops and configuration changes. They don't share a budget
	// with refusals, since one flow may be refused many times before it ends, nor with
	// beliefs, since a starting relay learns of the whole fleet while it receives its
	// configuration.
	_ends
	_beliefs
	// _warnings holds beliefs about the identity of an upstream.
	_warnings
	_classes
)

// perSecond returns the budget of a class, in lines per second.
func (c class) perSecond() int {
	return [_classes]int{_routinePerSecond, _othersPerSecond, _endsPerSecond, _beliefsPerSecond, _warningsPerSecond}[c]
}

// NewLog returns a log that writes to logger, whose output is usually a Writer.
func NewLog(logger *zap.Logger) *Log { return &Log{log: logger} }

// Decision logs a decision if the budget of its class has a line left. The time
// now is a reading of a monotonic clock.
func (l *Log) Decision(now time.Duration, r Record) {
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
	fields = appendNonEmpty(fields, "reason", r.Reason)
	fields = appendNonEmpty(fields, "service", r.Service)
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

// Belief logs a change of belief if the budget of its class has a line left. The time
// now is a reading of a monotonic clock.
func (l *Log) Belief(now time.Duration, b Belief) {
	class, level := _beliefs, zapcore.InfoLevel
	switch b.Subject {
	case SettingsSubject:
		class = _ends
	case IdentitySubject:
		class, level = _warnings, zapcore.WarnLevel
	}
	if !l.admit(now, class) {
		return
	}
	l.log.Log(level, "belief",
		zap.String("subject", b.Subject), zap.String("name", b.Name),
		zap.String("from", b.From), zap.String("to", b.To), zap.String("reason", b.Reason),
		zap.Uint64("version", b.Version), zap.Int64("age_ms", b.Age.Milliseconds()))
}

// admit reports whether the budget of a class has a line left in the current second,
// and if so, takes the line. At the start of a new second it logs the numbers of lines
// that were omitted before.
func (l *Log) admit(now time.Duration, c class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now / time.Second); second != l.second {
		if l.omitted != [_classes]int{} {
			l.log.Warn("lines left out", zap.Int("routine_decisions", l.omitted[_routine]),
				zap.Int("other_decisions", l.omitted[_others]), zap.Int("ends", l.omitted[_ends]), zap.Int("beliefs", l.omitted[_beliefs]),
				zap.Int("warnings", l.omitted[_warnings]), zap.Int64("of_second", l.second))
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

// appendNonEmpty appends a string field unless value is empty.
func appendNonEmpty(fields []zapcore.Field, key, value string) []zapcore.Field {
	if value == "" {
		return fields
	}
	return append(fields, zap.String(key, value))
}

// Writer is a zapcore.WriteSyncer that never blocks. A goroutine writes the buffered
// lines to the output; lines that do not fit into the buffer are dropped and counted.
type Writer struct {
	tomb    tomb.Tomb
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	// spare is an empty buffer, reused when pending is flushed.
	spare   []byte
	dropped uint64
}

// NewWriter returns a running writer to out. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out}
	w.tomb.Go(w.loop)
	return w
}

// Write buffers a copy of line, or drops the line if the buffer is full. It never fails.
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

// Sync does nothing: lines are written by a goroutine.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that did not fit into the buffer.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the buffered lines and stops the writer. It blocks while the output
// blocks.
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
		// A failure of the log's output can be reported nowhere else.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}
