package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// _refusedLog holds the lines about a flow that a sidecar and then the relay refused for its
// priority, and about one that was displaced.
const _refusedLog = `{"time":"2026-05-12T18:59:50.000Z","message":"sidecar started","node":"side-2","service":"orders","upstream":"10.1.0.2:8080"}
{"time":"2026-05-12T18:59:50.000Z","message":"sidecar started","node":"side-3","service":"orders","upstream":"10.1.0.3:8080"}
{"time":"2026-05-12T19:00:01.400Z","message":"belief","node":"side-3","subject":"room","name":"i-3","from":"all","to":"below 2","reason":"load"}
{"time":"2026-05-12T19:00:01.500Z","message":"belief","node":"side-2","subject":"room","name":"i-2","from":"all","to":"below 2","reason":"load"}
{"time":"2026-05-12T19:00:01.600Z","message":"belief","node":"side-2","subject":"upstream_capacity","name":"i-2","from":"0","to":"10","reason":"load"}
{"time":"2026-05-12T19:00:01.990Z","message":"decision","node":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443","action":"placed","service":"orders","target":"10.1.0.2","busy":9,"slots":2,"attempt":1,"settings_version":7,"age_ms":40}
{"time":"2026-05-12T19:00:02.000Z","message":"decision","node":"side-2","flow":"100.64.0.7:40001>198.18.0.1:443","action":"refused","reason":"no_room","service":"orders","busy":10,"slots":2,"attempt":1,"settings_version":7,"age_ms":8}
{"time":"2026-05-12T19:00:02.020Z","message":"decision","node":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443","action":"reset","reason":"no_room","service":"orders","busy":20,"slots":4,"settings_version":7,"age_ms":310}
{"time":"2026-05-12T19:00:02.100Z","message":"belief","node":"side-3","subject":"upstream","name":"i-3","from":"ready","to":"suspect","reason":"bounces_openings"}
{"time":"2026-05-12T19:00:02.200Z","message":"decision","node":"side-3","flow":"100.64.0.7:40002>198.18.0.1:443","action":"refused","reason":"displaced","service":"orders","busy":9,"slots":2,"settings_version":7,"age_ms":120}
{"time":"2026-05-12T19:00:02.200Z","message":"decision","node":"side-3","flow":"100.64.0.7:40002>198.18.0.1:443","action":"reset","reason":"overloaded","settings_version":7,"age_ms":0}
`

const _wantRefused = `flow 100.64.0.7:40001>198.18.0.1:443

TIME          PROCESS  ACTION   REASON   TARGET  BUSY/SLOTS  ATTEMPT  SETTINGS  AGE
19:00:01.990  front-1  placed   -        side-2  9/2         1        7         40 ms
19:00:02.000  side-2   refused  no_room  -       10/2        1        7         8 ms
19:00:02.020  front-1  reset    no_room  -       20/4        0        7         310 ms

END
  reset no_room at front-1: there was no capacity for the flow's priority, so the flow was refused without a wait; it has not run

CAPACITY WHEN IT WAS REFUSED
  19:00:02.000  side-2  refused no_room: i-2: capacity only for priorities below 2 (10 requests at a time); since 500ms
  19:00:02.020  front-1  reset no_room: side-3: capacity only for priorities below 2; side-2: capacity only for priorities below 2 (10 requests at a time)

MEANWHILE, AT THE SAME PROCESSES
  19:00:01.500  side-2  room i-2: all to below 2 (load)
  19:00:01.600  side-2  upstream_capacity i-2: 0 to 10 (load)
`

const _wantDisplaced = `
CAPACITY WHEN IT WAS REFUSED
  19:00:02.200  side-3  refused displaced: i-3: capacity only for priorities below 2; since 800ms
  19:00:02.200  side-3  reset overloaded: i-3: capacity only for priorities below 2; since 800ms

TERMS
  bounces_openings: the upstream rejected opening packets although it had a free slot, so it got no new flows; its process or its VM had probably ended
  displaced: the flow waited at the sidecar, and more important work arrived that left it no time to be served; it has not run
`

// _waitedLog holds the lines about an important flow that waited, and one about a request on an
// open flow that its sidecar held meanwhile.
const _waitedLog = `{"time":"2026-05-12T18:59:50.000Z","message":"sidecar started","node":"side-2","upstream":"10.1.0.2:8080"}
{"time":"2026-05-12T19:00:04.900Z","message":"belief","node":"side-2","subject":"room","name":"i-2","from":"all","to":"below 2","reason":"load"}
{"time":"2026-05-12T19:00:05.000Z","message":"decision","node":"front-1","flow":"100.64.0.9:40007>198.18.0.2:443","action":"placed","target":"10.1.0.2","busy":9,"slots":2,"attempt":1,"settings_version":7,"age_ms":30}
{"time":"2026-05-12T19:00:05.004Z","message":"decision","node":"side-2","flow":"100.64.0.9:40007>198.18.0.2:443","action":"waits","busy":10,"slots":2,"attempt":1,"settings_version":7,"age_ms":150}
{"time":"2026-05-12T19:00:05.010Z","message":"decision","node":"side-2","flow":"100.64.0.8:40003>198.18.0.1:443","action":"held","busy":10,"slots":2,"settings_version":7,"age_ms":0}
{"time":"2026-05-12T19:00:05.164Z","message":"decision","node":"side-2","flow":"100.64.0.9:40007>198.18.0.2:443","action":"accepted","busy":9,"slots":2,"attempt":1,"settings_version":7,"age_ms":160}
`

const _wantWaited = `TIME          PROCESS  ACTION    REASON  TARGET  BUSY/SLOTS  ATTEMPT  SETTINGS  AGE
19:00:05.000  front-1  placed    -       side-2  9/2         1        7         30 ms
19:00:05.004  side-2   waits     -       -       10/2        1        7         150 ms
19:00:05.164  side-2   accepted  -       -       9/2         1        7         160 ms

END
  no process ended it: the ends did, or the lines were left out. The longest pause, 160ms, followed waits at side-2
`

// TestExplainCapacity checks which priorities had capacity at each refusal, that the new terms
// are explained once.
func TestExplainCapacity(t *testing.T) {
	for _, tt := range []struct{ name, log, flow, want string }{
		{"refused", _refusedLog, "100.64.0.7:40001>198.18.0.1:443", _wantRefused},
		{"displaced", _refusedLog, "100.64.0.7:40002>198.18.0.1:443", _wantDisplaced},
		{"waited", _waitedLog, "100.64.0.9:40007>198.18.0.2:443", _wantWaited},
		{"held", _waitedLog, "100.64.0.8:40003>198.18.0.1:443", "TERMS\n  held: " + _termExplanations["held"] + "\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			assert.Equal(t, run(t.Context(), []string{"explain", tt.flow}, strings.NewReader(tt.log), &out, &errs), _exitOK, errs.String())
			assert.Assert(t, strings.Contains(out.String(), tt.want), "%s\nis not in\n%s", tt.want, out.String())
		})
	}
}

// TestGuideExamples guards against example outputs in the operators' guide that the program does
// not print: each must be the expected output of a test.
func TestGuideExamples(t *testing.T) {
	guide, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	for _, output := range []string{_wantRefused, _wantWaited, _wantHeadroom} {
		var indented strings.Builder
		for line := range strings.Lines(output) {
			if line != "\n" {
				indented.WriteString("    ")
			}
			indented.WriteString(line)
		}
		assert.Assert(t, strings.Contains(string(guide), indented.String()), "the guide does not contain\n%s", indented.String())
	}
}
