package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestKeysRotate takes a key file through a whole rotation by the command.
func TestKeysRotate(t *testing.T) {
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
