package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/standin"
)

// _initialTree is the settings tree that the tests apply first.
const _initialTree = `{
	"/": {"slots": 4, "queue_length": 20, "max_hosts": 10, "max_flows_per_upstream": 2000},
	"oslo": {"max_flows": 14000},
	"oslo/oslo-a/rutetjeneste": {"id": 1, "addresses": ["127.0.1.1:443"]},
	"oslo/oslo-a/fotoarkiv": {"id": 2, "addresses": ["127.0.1.2:443"], "long_routes": ["/export"]}
}`

// settingsHarness runs settings commands against a stand-in platform.
// polls counts the calls of members.
type settingsHarness struct {
	t        *testing.T
	platform *standin.Platform
	client   *platform.Client
	polls    int
}

func newSettingsHarness(t *testing.T) *settingsHarness {
	p, err := standin.NewPlatform()
	assert.NilError(t, err)
	c := platform.NewClient(p.URL())
	t.Cleanup(func() {
		assert.NilError(t, c.Close())
		assert.NilError(t, p.Close())
	})
	return &settingsHarness{t: t, platform: p, client: c}
}

// members returns two balancers, of which one has an older revision at the first call.
func (h *settingsHarness) members(context.Context) ([]memberRevision, error) {
	h.polls++
	behind := memberRevision{Member: "entry-2", Revision: settings.Revision(min(1000, (h.polls-1)*1000))}
	return []memberRevision{{Member: "entry-1", Revision: 1000}, behind}, nil
}

// run runs a command line, whose arguments are separated by blanks, and returns its
// output.
func (h *settingsHarness) run(line string) (string, error) {
	var out bytes.Buffer
	command := settingsCommand(settingsEnvironment{
		stdout:  &out,
		stdin:   strings.NewReader(_initialTree),
		store:   func() (platform.Store, error) { return h.client, nil },
		members: h.members,
		now:     func() time.Time { return time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC) },
	})
	err := command.ParseAndRun(h.t.Context(), strings.Fields(line))
	return out.String(), err
}

// TestSettingsCommands runs commands one after another on the same settings. Each step
// gives the text that its output and its error must contain.
func TestSettingsCommands(t *testing.T) {
	h := newSettingsHarness(t)
	const kari, aroha = "-author kari -reason crest ", "-author aroha -reason night "
	steps := []struct {
		line, want, err string
	}{
		{"status", "revision 0", ""},
		{"apply " + kari + "-", "revision 1  2026-12-04T03:00:00Z  kari", ""},
		{"get oslo/oslo-a/fotoarkiv", "  long_routes: [\"/export\"]\n", ""},
		{"effective oslo/oslo-a/fotoarkiv", "  max_flows               14000              from oslo\n", ""},
		{"effective oslo/oslo-a/fotoarkiv", "reserved_slots          1                  default", ""},
		{"set " + kari + "oslo max_flows=20000 request_timeout=9s long_routes=/a,/b", "  - max_flows: 14000\n  + max_flows: 20000\n", ""},
		{"get oslo", "  long_routes: [\"/a\",\"/b\"]\n  request_timeout: \"9s\"", ""},
		{"set -revision 1 " + aroha + "oslo/oslo-a/rutetjeneste slots=2", "your change: night\n  oslo/oslo-a/rutetjeneste\n  + slots: 2\n\naccepted since:\nrevision 2  2026-12-04T03:00:00Z  kari", "has changed since revision 1"},
		{"set -json -revision 1 " + aroha + "oslo slots=2", `"theirs": [`, "has changed since revision 1"},
		{"set -revision 2 " + aroha + "oslo/oslo-a/rutetjeneste slots=2", "revision 3", ""},
		{"set -revision 2 " + aroha + "oslo/oslo-a/fotoarkiv slots=3", "revision 4", ""},
		{"set oslo slots=3", "", "author: is missing"},
		{"set -author kari oslo slots=3", "", "reason: is missing"},
		{"set " + kari + "oslo slots=0 colour=1", "", "unknown setting \"colour\""},
		{"set " + kari + "oslo slots=0", "", "oslo: slots: 0: want 1"},
		{"set " + kari + "oslo/oslo-a/rutetjeneste id=2", "", "oslo/oslo-a/rutetjeneste: id: 2 is used by"},
		{"set " + kari + "oslo slots", "", "want setting=value"},
		{"unset " + kari + "oslo request_timeout", "  - request_timeout: \"9s\"", ""},
		{"unset " + kari + "oslo/oslo-a/fotoarkiv", "oslo/oslo-a/fotoarkiv (removed)", ""},
		{"unset " + kari + "oslo request_timeout", "", "nothing to change"},
		{"diff -from 1 -to 4", "  - max_flows: 14000\n  + max_flows: 20000\n", ""},
		{"diff -", "oslo/oslo-a/fotoarkiv (new)", ""},
		{"history oslo/oslo-a/rutetjeneste", "revision 3  2026-12-04T03:00:00Z  aroha", ""},
		{"set -wait " + kari + "oslo slots=3", "in force on 2 of 2 balancers after 0.0 s\n", ""},
		{"set -change-id 00 " + kari + "oslo slots=1", "", "-change-id needs -revision"},
	}
	for _, step := range steps {
		out, err := h.run(step.line)
		assert.Assert(t, strings.Contains(out, step.want), "%s: got\n%s\nwant\n%s", step.line, out, step.want)
		if step.err == "" {
			assert.NilError(t, err, step.line)
			continue
		}
		assert.ErrorContains(t, err, step.err, step.line)
	}
	out, err := h.run("status -json")
	assert.NilError(t, err)
	var report waitReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.DeepEqual(t, report, waitReport{Revision: 7, InForce: 2, Members: 2})
}

// TestSettingsRepeatedChangeIsAppliedOnce loses the platform's answer to a change and
// then repeats the command with the same change ID: the change is accepted only once.
func TestSettingsRepeatedChangeIsAppliedOnce(t *testing.T) {
	h := newSettingsHarness(t)
	_, err := h.run("apply -author kari -reason first -")
	assert.NilError(t, err)
	h.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
	accepted, err := h.run("set -author kari -reason crest oslo max_flows=15000")
	assert.NilError(t, err, "the outcome of the change with the lost answer is found by reading back")
	h.platform.SetFaults(standin.PlatformFaults{})
	id := regexp.MustCompile(`change ([0-9a-f]{32})`).FindStringSubmatch(accepted)[1]
	again, err := h.run("set -author kari -reason crest -change-id " + id + " -revision 1 oslo max_flows=15000")
	assert.NilError(t, err)
	assert.Equal(t, again, accepted)
	out, err := h.run("history -json")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(out, id), 1)
}

// TestSettingsUnknownOutcomeNamesFlags checks that the error for a change with an
// unknown outcome names the flags with which to repeat the command.
func TestSettingsUnknownOutcomeNamesFlags(t *testing.T) {
	run := &settingsRun{}
	err := run.explainRefusal(&platform.AmbiguousError{Op: "put", Key: audit.HeadKey, Err: context.DeadlineExceeded}, audit.Change{ID: "00ff", Base: 7})
	assert.ErrorContains(t, err, "-change-id 00ff -revision 7")
	assert.Assert(t, platform.IsAmbiguous(err))
}

// TestSettingsApplyReportsAllFindingsAndPrunes applies a file with several errors, which
// must all be reported, and then a valid file with -prune, which removes the nodes that
// the file lacks.
func TestSettingsApplyReportsAllFindingsAndPrunes(t *testing.T) {
	h := newSettingsHarness(t)
	_, err := h.run("apply -author kari -reason first -")
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "tree.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"oslo": {"max_flows": "many", "colour": 1}, "Oslo": {}}`), 0o600))
	_, err = h.run("apply -author kari -reason more " + file)
	assert.ErrorContains(t, err, "oslo: max_flows: \"many\"")
	assert.ErrorContains(t, err, "oslo: colour: unknown setting")
	assert.ErrorContains(t, err, "path \"Oslo\"")
	assert.NilError(t, os.WriteFile(file, []byte(`{"oslo": {"max_flows": 9}}`), 0o600))
	_, err = h.run("apply -prune -author kari -reason less " + file)
	assert.NilError(t, err)
	out, err := h.run("get")
	assert.NilError(t, err)
	assert.Equal(t, out, "revision 2\noslo\n  max_flows: 9\n")
}
