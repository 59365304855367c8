package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/soak"
)

// _earlierBuild is the last commit whose processes order states of the store by their
// revision alone.
const _earlierBuild = "3eee68aab1d5920298bf9adad6ee26554dcd4b9b"

// buildEarlier builds the program of an earlier commit from the repository's history.
func buildEarlier(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("builds another commit")
	}
	dir := t.TempDir()
	archive := exec.Command("git", "archive", "--format=tar", _earlierBuild)
	archive.Dir = ".."
	content, err := archive.Output()
	if err != nil {
		t.Skipf("the history has no commit %s: %v", _earlierBuild, err)
	}
	unpack := exec.Command("tar", "-x", "-C", dir)
	unpack.Stdin = bytes.NewReader(content)
	assert.NilError(t, unpack.Run())
	program := filepath.Join(dir, "earlier")
	build := exec.Command("go", "build", "-o", program, "./dandelionhitch")
	build.Dir = dir
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// TestMixedBuildsAfterRestoredStore guards against a fleet in which processes of the earlier
// build keep an evacuation or a configuration from being in force after the store was
// restored.
func TestMixedBuildsAfterRestoredStore(t *testing.T) {
	runSoak(t, soak.Config{EarlierProgram: buildEarlier(t), Seed: 7, FaultDuration: 14 * time.Second})
}
