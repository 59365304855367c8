package limit

import "time"

// RefusalWindow is the time span of the recent refusals in a RefusalCount.
const RefusalWindow = 10 * time.Minute

const (
	_refusalBucket  = time.Minute
	_refusalBuckets = int(RefusalWindow / _refusalBucket)
)

// refusals counts refused flows by reason, in total and per minute for the
// minutes of the RefusalWindow.
type refusals struct {
	total  [_reasonEnd]uint64
	recent [_refusalBuckets][_reasonEnd]uint64
	// lastMinute is the minute of the newest bucket.
	lastMinute int64
}

func (r *refusals) add(now time.Duration, reason Reason) {
	r.advance(now)
	r.total[reason]++
	r.recent[r.bucket(r.lastMinute)][reason]++
}

// count returns the number of refusals for a reason within the RefusalWindow and
// in total.
func (r *refusals) count(now time.Duration, reason Reason) (recent, total uint64) {
	r.advance(now)
	for _, bucket := range r.recent {
		recent += bucket[reason]
	}
	return recent, r.total[reason]
}

// advance clears the buckets of the minutes since lastMinute.
func (r *refusals) advance(now time.Duration) {
	minute := int64(now / _refusalBucket)
	elapsed := min(minute-r.lastMinute, int64(_refusalBuckets))
	for i := range elapsed {
		clear(r.recent[r.bucket(minute-i)][:])
	}
	r.lastMinute = max(r.lastMinute, minute)
}

// bucket returns the index of the bucket that counts a minute, also if the minute
// is negative.
func (r *refusals) bucket(minute int64) int {
	buckets := int64(_refusalBuckets)
	return int((minute%buckets + buckets) % buckets)
}
