package decision_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/decision"
)

func newLogger(w zapcore.WriteSyncer) *zap.Logger {
	config := zapcore.EncoderConfig{MessageKey: "message", LevelKey: "level", EncodeLevel: zapcore.LowercaseLevelEncoder}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zapcore.InfoLevel))
}

func lines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var out []map[string]any
	for line := range strings.Lines(text) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		out = append(out, fields)
	}
	return out
}

// TestRefusalsDoNotSuppressBeliefs logs far more refusals and routine decisions than
// their budgets allow. All beliefs must still be written, and the omitted lines must be
// counted.
func TestRefusalsDoNotSuppressBeliefs(t *testing.T) {
	var b bytes.Buffer
	l := decision.NewLog(newLogger(zapcore.AddSync(&b)))
	for i := range 100_000 {
		now := time.Duration(i) * 100 * time.Microsecond
		l.Decision(now, decision.Record{Action: decision.Refused})
		l.Decision(now, decision.Record{Action: decision.Placed, Routine: true})
		if i%1000 == 0 {
			l.Belief(now, decision.Belief{Subject: "upstream"})
		}
	}
	written := map[string]int{}
	omitted := 0.0
	for _, fields := range lines(t, b.String()) {
		written[fields["message"].(string)]++
		if fields["message"] == "lines left out" {
			omitted += fields["other_decisions"].(float64) + fields["routine_decisions"].(float64)
		}
	}
	assert.Equal(t, written["belief"], 100)
	assert.Assert(t, written["decision"] <= 10*60, "%d lines in 10 s", written["decision"])
	// The lower bound is less than all lines, since the number of lines omitted in a second is
	// only logged when the next second begins.
	assert.Assert(t, omitted > 0.85*200_000, "%v lines omitted", omitted)
}

// TestRefusalsDoNotSuppressResets logs several refusals and a reset for every flow.
// Every reset must be written, since users' complaints are about resets.
func TestRefusalsDoNotSuppressResets(t *testing.T) {
	const flows, refusals, second = 20, 12, time.Second
	var b bytes.Buffer
	l := decision.NewLog(newLogger(zapcore.AddSync(&b)))
	for i := range flows {
		now := second * time.Duration(i) / flows
		for range refusals {
			l.Decision(now, decision.Record{Action: decision.Refused, Reason: "overloaded"})
		}
		l.Decision(now, decision.Record{Action: decision.Reset, Reason: "all_refused"})
	}
	resets := 0
	for _, fields := range lines(t, b.String()) {
		if fields["action"] == "reset" {
			resets++
		}
	}
	assert.Equal(t, resets, flows)
}

// TestBeliefsDoNotSuppressConfiguration logs that a new configuration is in force in the same
// second as beliefs about hundreds of upstreams, as a starting relay does. The line about the
// configuration, whose subject is "settings", must be written.
func TestBeliefsDoNotSuppressConfiguration(t *testing.T) {
	var b bytes.Buffer
	l := decision.NewLog(newLogger(zapcore.AddSync(&b)))
	for range 300 {
		l.Belief(0, decision.Belief{Subject: "upstream", To: "ready"})
	}
	l.Belief(0, decision.Belief{Subject: decision.SettingsSubject, To: "7"})
	all := lines(t, b.String())
	assert.Equal(t, all[len(all)-1]["subject"], "settings")
}

// TestIdentityOfUpstreamIsLoggedAsWarning guards against a record of warnings that does not
// tell that another upstream was at an address, also while all other budgets are used up.
func TestIdentityOfUpstreamIsLoggedAsWarning(t *testing.T) {
	var b bytes.Buffer
	l := decision.NewLog(newLogger(zapcore.AddSync(&b)))
	for range 300 {
		l.Belief(0, decision.Belief{Subject: "upstream", To: "ready"})
		l.Decision(0, decision.Record{Action: decision.Reset})
	}
	l.Belief(0, decision.Belief{Subject: decision.IdentitySubject, From: "orders", To: "rounds"})
	all := lines(t, b.String())
	last := all[len(all)-1]
	assert.Equal(t, last["subject"], decision.IdentitySubject)
	assert.Equal(t, last["level"], "warn")
}

// blockedOutput is a writer that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written int
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	o.written += len(b)
	return len(b), nil
}

// TestWriterWithBlockedOutput logs to an output that blocks. No call may block, and
// lines beyond the buffer must be dropped.
func TestWriterWithBlockedOutput(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := decision.NewWriter(out)
	l := decision.NewLog(newLogger(w))
	for i := range 200_000 {
		l.Decision(time.Duration(i)*10*time.Millisecond, decision.Record{Action: decision.Reset, Reason: "a reason"})
	}
	assert.Assert(t, w.Dropped() > 0)
	close(out.release)
	assert.NilError(t, w.Close())
	assert.Assert(t, out.written > 0)
}
