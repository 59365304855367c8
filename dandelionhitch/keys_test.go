package main

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestKeyRotationCommands rotates the key of a key file with the keys commands. Dropping
// the key in use and using a key that does not exist must fail.
func TestKeyRotationCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	keysStep := func(want int, args ...string) {
		t.Helper()
		var out, errs bytes.Buffer
		status := run(t.Context(), append([]string{"keys"}, args...), nil, &out, &errs)
		assert.Equal(t, status, want, errs.String())
		if status == _exitOK {
			assert.NilError(t, os.WriteFile(path, out.Bytes(), 0o600))
		}
	}
	keysStep(_exitOK, "new")
	keysStep(_exitOK, "add", path)
	keysStep(_exitFailed, "drop", path, "1")
	keysStep(_exitFailed, "use", path, "3")
	keysStep(_exitOK, "use", path, "2")
	keysStep(_exitOK, "drop", path, "1")
	read, err := readKeys(path)
	assert.NilError(t, err)
	assert.Equal(t, int(read.packet.Current()), 2)
}

// TestKeyReloadOnSIGHUP sends this process SIGHUP with a valid and then with an invalid
// key file. Only the valid one may take effect.
func TestKeyReloadOnSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	var file bytes.Buffer
	assert.NilError(t, printNewKeys(&file))
	assert.NilError(t, os.WriteFile(path, file.Bytes(), 0o600))
	reloaded := make(chan keys, 1)
	core, logs := observer.New(zap.InfoLevel)
	reloader := newKeyReloader(path, zap.New(core), func(k keys) { reloaded <- k })
	defer reloader.Close()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.Equal(t, int((<-reloaded).packet.Current()), 1)

	assert.NilError(t, os.WriteFile(path, []byte("{}"), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if logs.FilterMessage("key file refused, the old keys stay").Len() == 0 {
			return poll.Continue("the invalid file was not refused")
		}
		return poll.Success()
	}, poll.WithTimeout(_testTimeout))
	assert.Equal(t, len(reloaded), 0)
}
