package main

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/soak"
)

// _reusedAddressFree is the least time after which the platform gives an address out again.
const _reusedAddressFree = 2 * time.Second

func skipProcessesInShortMode(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes for half a minute, each with the race detector")
	}
}

// runReuse runs a small fleet in which an upstream of another service takes over the address
// of the first host, and checks that no promise is broken.
func runReuse(t *testing.T, reuse soak.Reuse, faults, rest time.Duration) *soak.Report {
	t.Helper()
	t.Setenv(_asProgram, "1")
	report, err := soak.Run(soak.Config{
		Program: os.Args[0], Dir: t.TempDir(), Seed: 1, FaultDuration: faults, RestDuration: rest,
		Relays: 3, Hosts: 5, CallsPerSecond: 120, OnlyReuse: &reuse,
	})
	assert.NilError(t, err)
	var b bytes.Buffer
	report.Print(&b)
	t.Log(b.String())
	assert.Assert(t, !report.Broken(), "%s\n%s", b.String(), strings.Join(report.Faults, "\n"))
	return report
}

// TestReusedAddressOfCrashedUpstream guards against flows at an upstream of another service,
// while the sidecar beside it goes on.
func TestReusedAddressOfCrashedUpstream(t *testing.T) {
	runReuse(t, soak.Reuse{End: soak.Crashes, Free: _reusedAddressFree}, 2500*time.Millisecond, 0)
}

// TestReusedAddressOfSilentUpstream guards against the same when the upstream falls silent before.
func TestReusedAddressOfSilentUpstream(t *testing.T) {
	skipProcessesInShortMode(t)
	runReuse(t, soak.Reuse{End: soak.FallsSilent, Free: _reusedAddressFree}, 2500*time.Millisecond, 0)
}

// TestSidecarFollowsRewrittenSettings guards against a sidecar that keeps its service when its
// settings file names another one.
func TestSidecarFollowsRewrittenSettings(t *testing.T) {
	skipProcessesInShortMode(t)
	const (
		untilRewritten = 3500 * time.Millisecond // since the crash, which is 2 s after calls have begun
		bound          = 15 * time.Second
	)
	report := runReuse(t, soak.Reuse{
		End: soak.Crashes, Free: _reusedAddressFree, Notice: soak.Rewrites, NoticeAfter: untilRewritten - _reusedAddressFree,
	}, 2500*time.Millisecond, bound-3*time.Second)
	assert.Assert(t, report.FlowsAtReused > 0, "no flow of the new service %v after the settings were rewritten", bound)
}
