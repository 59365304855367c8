package standin

import (
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/gravitational/trace"
)

// pattern returns size pseudorandom bytes that are generated from number, so that a
// caller can verify that an answer is complete and belongs to its own request.
func pattern(number uint64, size int64) io.Reader {
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], number)
	return io.LimitReader(rand.NewChaCha8(seed), size)
}

// checkPattern reads body to its end and returns an error unless it equals
// pattern(number, size).
func checkPattern(body io.Reader, number uint64, size int64) error {
	const chunk = 16 << 10
	want, got := make([]byte, chunk), make([]byte, chunk)
	expected := pattern(number, size)
	var offset int64
	for {
		n, err := io.ReadFull(body, got)
		m, _ := io.ReadFull(expected, want)
		if n != m {
			return trace.BadParameter("answer %d ends at byte %d, want %d bytes (%v)", number, offset+int64(n), size, err)
		}
		if string(got[:n]) != string(want[:m]) {
			return trace.BadParameter("answer %d differs from the expected one within %d bytes after byte %d", number, chunk, offset)
		}
		if n < chunk {
			return nil
		}
		offset += int64(n)
	}
}
