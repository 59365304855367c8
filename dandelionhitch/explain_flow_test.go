package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// _flowLog holds log lines of a relay and a sidecar about two flows of one caller.
const _flowLog = `{"time":"2026-05-12T19:00:00.000Z","message":"sidecar started","node":"side-2","upstream":"10.1.0.2:8080"}
{"time":"2026-05-12T19:00:02.000Z","message":"decision","node":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443","action":"placed","target":"10.1.0.2","busy":1,"slots":2,"attempt":1,"settings_version":7,"age_ms":40}
{"time":"2026-05-12T19:00:02.020Z","message":"decision","node":"side-2","flow":"100.64.0.7:40001>198.18.0.1:443","action":"reset","reason":"overloaded","settings_version":7,"age_ms":4}
{"time":"2026-05-12T19:00:01.600Z","message":"belief","node":"side-2","subject":"upstream","name":"i-1","from":"absent","to":"ready","reason":"heartbeat"}
{"time":"2026-05-12T19:00:02.100Z","message":"decision","node":"front-1","flow":"100.64.0.7:40002>198.18.0.1:443","action":"placed","target":"10.1.0.2","attempt":1}
{"time":"2026-05-12T19:00:02.200Z","message":"lines left out","node":"side-2","routine_decisions":3,"other_decisions":1,"ends":2,"beliefs":0,"warnings":1}
{"level":"warn","time":"2026-05-12T19:00:01.700Z","message":"belief","node":"side-2","subject":"upstream_identity","name":"i-1","from":"orders","to":"rounds","reason":"heartbeat of \"i-2\" at 10.1.0.2:8080"}
`

const _wantFlowExplanation = `flow 100.64.0.7:40001>198.18.0.1:443

TIME          PROCESS  ACTION  REASON      TARGET  BUSY/SLOTS  ATTEMPT  SETTINGS  AGE
19:00:02.000  front-1  placed  -           side-2  1/2         1        7         40 ms
19:00:02.020  side-2   reset   overloaded  -       -           0        7         4 ms

END
  reset overloaded at side-2: it could not have been answered before its caller gives up; busy and slots tell how full the upstreams were

MEANWHILE, AT THE SAME PROCESSES
  19:00:00.000  side-2  sidecar started
  19:00:01.600  side-2  upstream i-1: absent to ready (heartbeat)
  19:00:01.700  side-2  upstream_identity i-1: orders to rounds (heartbeat of "i-2" at 10.1.0.2:8080)

LINES LEFT OUT MEANWHILE
  side-2: 3 of routine decisions, 2 of ends, 1 of others, 0 of beliefs, 1 of warnings
`

// TestExplainFlow explains a saved log for a flow ID, for a caller with one flow, and
// for a caller with several flows.
func TestExplainFlow(t *testing.T) {
	file := filepath.Join(t.TempDir(), "relay.log")
	assert.NilError(t, os.WriteFile(file, []byte(_flowLog), 0o600))
	for _, tt := range []struct {
		name string
		args []string
		want string
	}{
		{"flow", []string{"100.64.0.7:40001>198.18.0.1:443", file}, _wantFlowExplanation},
		{"standard input", []string{"100.64.0.7:40001>198.18.0.1:443"}, _wantFlowExplanation},
		{"caller and port", []string{"100.64.0.7:40001", file}, _wantFlowExplanation},
		{"caller", []string{"100.64.0.7", file}, `FLOW                             FIRST LINE    LINES  END
100.64.0.7:40001>198.18.0.1:443  19:00:02.000  2      reset overloaded
100.64.0.7:40002>198.18.0.1:443  19:00:02.100  1      -
`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			status := run(t.Context(), append([]string{"explain"}, tt.args...), strings.NewReader(_flowLog), &out, os.Stderr)
			assert.Equal(t, status, _exitOK)
			assert.Equal(t, out.String(), tt.want)
		})
	}
	t.Run("unknown", func(t *testing.T) {
		var out, errs bytes.Buffer
		status := run(t.Context(), []string{"explain", "100.64.0.8", file}, strings.NewReader(""), &out, &errs)
		assert.Equal(t, status, _exitFailed)
		assert.Assert(t, strings.Contains(errs.String(), "no line tells"))
	})
}

// TestExplainedReasonsAreLoggedAndDocumented checks that each reason in _endExplanations and each
// term in _termExplanations occurs in the source of relay or sidecar, or as an action, and in the
// operators' guide.
func TestExplainedReasonsAreLoggedAndDocumented(t *testing.T) {
	var sources strings.Builder
	for _, folder := range []string{"relay", "sidecar"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			content, err := os.ReadFile(file)
			assert.NilError(t, err)
			sources.Write(content)
		}
	}
	guide, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	actions, err := os.ReadFile(filepath.Join("..", "decision", "decision.go"))
	assert.NilError(t, err)
	sources.Write(actions)
	for term := range _termExplanations {
		assert.Assert(t, strings.Contains(sources.String(), `"`+term+`"`), "no source of relay or sidecar has the term %q", term)
		assert.Assert(t, regexp.MustCompile("`[^`]*\\b"+term+"\\b").Match(guide), "the guide does not document the term %q", term)
	}
	for ending := range _endExplanations {
		_, reason, _ := strings.Cut(ending, " ")
		assert.Assert(t, strings.Contains(sources.String(), `"`+reason+`"`), "no source of relay or sidecar has the reason %q", reason)
		assert.Assert(t, regexp.MustCompile(`\b`+reason+`\b`).Match(guide), "the guide does not document the reason %q", reason)
	}
}

// TestExplainPeriod explains the flows in a saved log between two times.
func TestExplainPeriod(t *testing.T) {
	var out, errs bytes.Buffer
	span := "2026-05-12T19:00:00Z..2026-05-12T19:00:10Z"
	assert.Equal(t, run(t.Context(), []string{"explain", span}, strings.NewReader(_flowLog), &out, &errs), _exitOK, errs.String())
	for _, want := range []string{"19:00:02.000  1       0        0           2      1", "1      0.500  upstreams too busy", "1      0.500  taken at once"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is not in\n%s", want, out.String())
	}
	out.Reset()
	span = "2026-05-12T20:00:00Z..2026-05-12T20:00:10Z"
	assert.Equal(t, run(t.Context(), []string{"explain", span}, strings.NewReader(_flowLog), &out, &errs), _exitFailed)
	assert.Assert(t, strings.Contains(errs.String(), "no line tells"))
}
