package dispatcher

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBodyReplayIsComplete checks that after attempts that read only a part of a body,
// the last attempt still reads the whole body. Replay may be refused only after more
// than _replayBytes have been read.
func TestBodyReplayIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 1000, _replayBytes - 1, _replayBytes, 3 * _replayBytes}).Draw(t, "size")
		content := bytes.Repeat([]byte("orders\n"), size/7+1)[:size]
		r := httptest.NewRequest(http.MethodPost, "/", iotest.HalfReader(bytes.NewReader(content)))
		b, err := newBody(r)
		assert.NilError(t, err)
		read := 0
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			part := rapid.IntRange(0, size).Draw(t, "part")
			attempt := b.newReader()
			got, err := io.ReadAll(io.LimitReader(attempt, int64(part)))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, content[:part]))
			read = max(read, part)
			if !b.rewind() {
				assert.Assert(t, read > _replayBytes, "no replay after reading %d bytes of %d", read, size)
				return
			}
			_, err = attempt.Read(make([]byte, 1))
			assert.ErrorIs(t, err, errAttemptEnded)
		}
		got, err := io.ReadAll(b.newReader())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content))
	})
}
