package relay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	_uploads = netip.MustParseAddrPort("198.18.0.2:8443")
	_queries = netip.MustParseAddrPort("198.18.0.1:8443")
)

// linkLoad is a load on a link of 10 Mbit/s: uploads of 34 packets, which arrive within 50 ms
// each, beside 300 queries a second of one packet each.
type linkLoad struct {
	budget linkBudget
	// uploadsPerSecond is the rate of uploads. One of 43 KB takes 69 ms of the link, as
	// each packet crosses it twice.
	uploadsPerSecond float64
}

// play returns the 99th percentile of the time that queries wait for the link, and the number
// of uploads that were opened.
func (l linkLoad) play(seed uint64, duration time.Duration) (wait time.Duration, opened int) {
	const bytesPerSecond, packet, upload = 10e6 / 8, 1264, 34
	random := rand.New(rand.NewPCG(seed, seed))
	type arrival struct {
		at   time.Duration
		kind int // packets of the flow: 1 for a query, upload for the opening of an upload, 0 for its data
	}
	var arrivals []arrival
	schedule := func(rate float64, kind int) {
		for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			arrivals = append(arrivals, arrival{at, kind})
		}
	}
	schedule(300, 1)
	schedule(l.uploadsPerSecond, upload)
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	var free time.Duration // when the link has sent all that has arrived
	var waits []time.Duration
	for i := 0; i < len(arrivals); i++ {
		a, size := arrivals[i], packet
		switch a.kind {
		case 1:
			size = 250
			l.budget.take(a.at, float64(size))
			waits = append(waits, max(free-a.at, 0))
		case upload:
			size = 64
			if _, ok := l.budget.reserve(a.at, _uploads, false); ok {
				opened++
				for n := range upload {
					data := arrival{at: a.at + 5*time.Millisecond + time.Duration(n)*1300*time.Microsecond}
					at, _ := slices.BinarySearchFunc(arrivals, data, func(x, y arrival) int { return int(x.at - y.at) })
					arrivals = slices.Insert(arrivals, at, data)
				}
			}
		}
		free = max(free, a.at) + time.Duration(float64(_linkCrossings*size)/bytesPerSecond*float64(time.Second))
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100], opened
}

// TestUploadsLeaveRoomOnTheLink guards against uploads that fill the link, so that all other
// packets wait. Queries must wait for less than a third of a target of 300 ms, and the
// uploads that are opened must use what the budget leaves for them.
func TestUploadsLeaveRoomOnTheLink(t *testing.T) {
	const duration = 10 * time.Second
	for _, tt := range []struct {
		name             string
		uploadsPerSecond float64
	}{{"0.5 of the link", 7}, {"0.9 of the link", 13}, {"2 times the link", 29}} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(5) {
				budget := newLinkBudget(10)
				budget.observe(_uploads, 34*1264)
				wait, opened := linkLoad{budget, tt.uploadsPerSecond}.play(seed, duration)
				fits := min(0.7*tt.uploadsPerSecond, 8) * duration.Seconds()
				t.Logf("seed %d: queries wait %v, %d uploads opened", seed, wait, opened)
				assert.Assert(t, wait < 100*time.Millisecond, "queries wait %v", wait)
				assert.Assert(t, float64(opened) >= fits, "%d uploads opened, want %v", opened, fits)
			}
		})
	}
	wait, _ := linkLoad{newLinkBudget(0), 29}.play(1, duration)
	assert.Assert(t, wait > time.Second, "without a budget, queries wait only %v: the load does not fill the link", wait)
}

func TestLinkBudget(t *testing.T) {
	b := newLinkBudget(10)
	_, ok := b.reserve(0, _uploads, false)
	assert.Assert(t, ok, "a route whose data is not known is admitted")
	b.observe(_uploads, 43_000)
	b.observe(_queries, 300)
	reserved, ok := b.reserve(0, _uploads, false)
	assert.Assert(t, ok)
	assert.Equal(t, reserved, 43_000)
	b.take(0, b.burst())
	_, ok = b.reserve(0, _uploads, false)
	assert.Assert(t, !ok, "the bucket is empty")
	_, ok = b.reserve(0, _uploads, true)
	assert.Assert(t, ok, "the highest priority may overdraw the bucket")
	_, ok = b.reserve(0, _queries, false)
	assert.Assert(t, ok, "a flow with little data is not refused for the link")
	_, ok = b.reserve(time.Second, _uploads, false)
	assert.Assert(t, ok, "the bucket fills up again")
}

func BenchmarkLinkBudget(b *testing.B) {
	budget := newLinkBudget(10)
	budget.observe(_uploads, 43_000)
	b.ReportAllocs()
	for i := range b.N {
		_, _ = budget.reserve(time.Duration(i)*time.Millisecond, _uploads, false)
		budget.take(time.Duration(i)*time.Millisecond, 300)
	}
}
