package dispatcher

import (
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzTransferKey(f *testing.F) {
	key := transferKey{Agent: netip.MustParseAddrPort("10.0.0.1:7443"), Incarnation: 3, Number: 1 << 63}
	f.Add(key.String())
	f.Add("10.0.0.1:7443 3")
	f.Add("[::1]:1 4294967296 -1")
	f.Fuzz(func(t *testing.T, text string) {
		var got, decoded transferKey
		if err := got.UnmarshalText([]byte(text)); err != nil {
			return
		}
		assert.NilError(t, decoded.UnmarshalText([]byte(got.String())))
		assert.Equal(t, decoded, got)
	})
}

func FuzzHeaders(f *testing.F) {
	f.Add("250", "1000", "keep-alive, X-Hop")
	f.Add("-1", "x", "")
	f.Fuzz(func(t *testing.T, deadline, maxWait, connection string) {
		header := http.Header{HeaderDeadline: {deadline}, _headerMaxWait: {maxWait}, "Connection": {connection}, "X-Hop": {"1"}}
		if left, ok, err := parseDeadline(header); err == nil && ok {
			assert.Assert(t, left > 0 && left <= _maxDeadline)
		}
		if wait, err := parseMaxWait(header); err == nil {
			assert.Assert(t, wait >= 0 && wait <= _maxDeadline)
		}
		forwarded := forwardedHeader(header)
		assert.Equal(t, forwarded.Get("Connection"), "")
		stripReserved(forwarded)
		assert.Equal(t, forwarded.Get(_headerMaxWait), "")
	})
}
