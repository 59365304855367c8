package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/settings"
	"dandelionhitch.example/standin"
)

// Maximum number of changes and duration of BenchmarkSettingsInForce.
const (
	_settingsChanges  = 50
	_settingsDuration = 45 * time.Second
)

// BenchmarkSettingsInForce reports the time from the acceptance of a change until it is in
// force at every balancer and agent. The runs without platform faults are the baseline for
// the runs with faults.
func BenchmarkSettingsInForce(b *testing.B) {
	faults := standin.PlatformFaults{
		Refuse: 0.05, Delay: 50 * time.Millisecond, LoseAnswers: 0.2, StaleReads: 0.2, StaleBy: 2,
	}
	for _, c := range []struct {
		name              string
		balancers, agents int
		faults            standin.PlatformFaults
	}{
		{"quiet", 3, 10, standin.PlatformFaults{}},
		{"faults", 3, 10, faults},
		{"quiet", 30, 150, standin.PlatformFaults{}},
		{"faults", 30, 150, faults},
	} {
		b.Run(fmt.Sprintf("%d-%d-%s", c.balancers, c.agents, c.name), func(b *testing.B) {
			f := startMeasuredFleet(b, c.balancers, tryValues(_tryFlowLimit), spreadServices(c.agents)...)
			sleepContext(b.Context(), time.Second)
			f.platform.SetFaults(c.faults)
			b.ResetTimer()
			var took []time.Duration
			late, end := 0, time.Now().Add(_settingsDuration)
			for i := 0; i < _settingsChanges && time.Now().Before(end); i++ {
				accepted := submitUntilAccepted(b, f, i)
				start := time.Now()
				for f.lowestRevision() < accepted && time.Since(start) < 2*_inForceTimeout {
					sleepContext(b.Context(), _fleetPollInterval)
				}
				took = append(took, time.Since(start))
				if time.Since(start) > _inForceTimeout {
					late++
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(len(took)), "changes")
			b.ReportMetric(float64(late), "late")
			b.ReportMetric(quantile(took, 0.5).Seconds(), "p50-s")
			b.ReportMetric(quantile(took, 0.99).Seconds(), "p99-s")
			b.ReportMetric(quantile(took, 1).Seconds(), "max-s")
		})
	}
}

// submitUntilAccepted changes the flow limit and returns the accepted revision. If an
// injected fault fails an attempt, the next one is based on the latest settings.
func submitUntilAccepted(b *testing.B, f *fleet, i int) settings.Revision {
	const attempts = 50
	path := settings.Path{Region: f.plan.region}
	editor := follower.NewEditor(f.client)
	var err error
	for range attempts {
		var accepted audit.Change
		if accepted, err = submitOnce(b.Context(), editor, path, _tryFlowLimit+1+i%2); err == nil {
			return accepted.Revision
		}
	}
	assert.NilError(b, err)
	return 0
}

func submitOnce(ctx context.Context, editor *follower.Editor, path settings.Path, flows int) (audit.Change, error) {
	state, err := editor.Load(ctx)
	if err != nil {
		return audit.Change{}, err
	}
	before, _ := state.Document.Tree().Get(path)
	after := before
	if *before.MaxFlows == flows {
		flows += 2
	}
	after.MaxFlows = &flows
	var random [16]byte
	_, _ = rand.Read(random[:])
	return editor.Submit(ctx, audit.Change{
		ID: audit.NewChangeID(random), Base: state.Document.Revision(), Author: "measure", Reason: "measured",
		Time: time.Now(), Edits: []settings.Edit{{Path: path, Before: &before, After: &after}},
	})
}
