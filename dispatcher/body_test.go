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

// TestBodyIsSentAgainWhole reads bodies in parts by attempts that are given up,
// and compares what the last attempt reads. Only a large body that was read
// beyond what is kept may refuse to be sent again.
func TestBodyIsSentAgainWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 1000, _keptBody - 1, _keptBody, 3 * _keptBody}).Draw(t, "size")
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
			if !b.withdraw() {
				assert.Assert(t, read > _keptBody, "not to be sent again after %d octets of %d", read, size)
				return
			}
			_, err = attempt.Read(make([]byte, 1))
			assert.ErrorIs(t, err, errBodyWithdrawn)
		}
		got, err := io.ReadAll(b.newReader())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content))
	})
}
