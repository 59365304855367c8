package distribution

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
)

var _cmpAddrPort = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// newTable returns a table with one route for each positive target latency, in ms. A zero
// leaves out the route with that index.
func newTable(version uint64, targets ...int) directory.Table {
	var routes []directory.Route
	for i, target := range targets {
		if target > 0 {
			routes = append(routes, directory.Route{
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), uint16(1024+i%60_000)),
				TargetLatency: time.Duration(target) * time.Millisecond,
				Shares:        []directory.Share{{Service: fmt.Sprint("service", i%2), Weight: 1}, {Service: "spare", Weight: 3}},
			})
		}
	}
	return directory.New(version, 15*time.Second, routes)
}

// makeTargets returns n target latencies in ms.
func makeTargets(n int) []int {
	targets := make([]int, n)
	for i := range targets {
		targets[i] = 150 + i%3
	}
	return targets
}

func mustSnapshot(t testing.TB, table directory.Table) snapshot {
	t.Helper()
	s, err := newSnapshot(table)
	assert.NilError(t, err)
	return s
}

// TestPayloadSizes bounds the size of payloads: the size of a change must depend on what has
// changed, and a whole table of 2,000 routes must fit in a few datagrams.
func TestPayloadSizes(t *testing.T) {
	before, targets := mustSnapshot(t, newTable(1, makeTargets(100)...)), makeTargets(2000)
	after := mustSnapshot(t, newTable(2, targets...))
	targets[7] = 500
	changed := mustSnapshot(t, newTable(3, targets...))
	for _, c := range []struct {
		name     string
		from, to snapshot
		maxSize  int
	}{
		{"one route changed of 2,000", after, changed, 200},
		{"1,900 routes added", before, after, 16_000},
		{"a process that has just started", snapshot{}, after, 16_000},
	} {
		payload, err := c.to.packTable()
		if c.from.encoded != nil {
			payload, err = packDelta(c.from, c.to)
		}
		assert.NilError(t, err)
		t.Logf("%s: %d bytes, whole table encoded in %d", c.name, len(payload), len(c.to.encoded))
		assert.Assert(t, len(payload) <= c.maxSize, "%s: %d bytes", c.name, len(payload))
		got, err := unpack(payload, c.from)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got.encoded, c.to.encoded))
		assert.DeepEqual(t, got.table.Routes(), c.to.table.Routes(), _cmpAddrPort)
	}
}

// TestDeltaRequiresItsBase checks that a change is applied only to the table from which it
// was made, not to another version or to other routes under the same version.
func TestDeltaRequiresItsBase(t *testing.T) {
	base, next := mustSnapshot(t, newTable(1, 100, 200, 300)), mustSnapshot(t, newTable(2, 100, 0, 400, 500))
	payload, err := packDelta(base, next)
	assert.NilError(t, err)
	got, err := unpack(payload, base)
	assert.NilError(t, err)
	assert.Equal(t, got.sum, next.sum)
	for name, other := range map[string]snapshot{
		"nothing": {}, "another version": next, "other routes": mustSnapshot(t, newTable(1, 100, 200, 301)),
	} {
		_, err = unpack(payload, other)
		assert.ErrorContains(t, err, "base is configuration 1", name)
	}
}

// FuzzUnpack passes arbitrary payloads to the decoder. A table that it accepts must have the
// same routes after another round of encoding and decoding.
func FuzzUnpack(f *testing.F) {
	base := mustSnapshot(f, newTable(1, 100, 200, 300))
	next := mustSnapshot(f, newTable(2, 100, 0, 400, 500))
	whole, err := next.packTable()
	assert.NilError(f, err)
	delta, err := packDelta(base, next)
	assert.NilError(f, err)
	f.Add(whole)
	f.Add(delta)
	f.Add(append([]byte{byte(_formatTable)}, bytes.Repeat([]byte{0xff}, 40)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, payload []byte) {
		got, err := unpack(payload, base)
		if err != nil {
			return
		}
		again, err := newSnapshot(got.table)
		assert.NilError(t, err)
		decoded, err := decodeTable(again.tableFormat(), again.encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded.table.Routes(), got.table.Routes(), _cmpAddrPort)
	})
}
