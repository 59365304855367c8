package limit

import "time"

// RefusalWindow is the span that counts as recent in an explanation.
const RefusalWindow = 10 * time.Minute

const (
	_refusalBucket  = time.Minute
	_refusalBuckets = int(RefusalWindow / _refusalBucket)
)

// refusals counts refused flows by reason, in all and by minute.
type refusals struct {
	total  [_reasonEnd]uint64
	recent [_refusalBuckets][_reasonEnd]uint64
	// last is the minute of the newest bucket.
	last int64
}

func (r *refusals) add(now time.Duration, reason Reason) {
	r.advance(now)
	r.total[reason]++
	r.recent[r.bucket(r.last)][reason]++
}

// count returns how often a reason was given within the RefusalWindow and in all.
func (r *refusals) count(now time.Duration, reason Reason) (recent, total uint64) {
	r.advance(now)
	for _, bucket := range r.recent {
		recent += bucket[reason]
	}
	return recent, r.total[reason]
}

// advance empties the buckets of the minutes that passed.
func (r *refusals) advance(now time.Duration) {
	minute := int64(now / _refusalBucket)
	passed := min(minute-r.last, int64(_refusalBuckets))
	for i := range passed {
		clear(r.recent[r.bucket(minute-i)][:])
	}
	r.last = max(r.last, minute)
}

func (r *refusals) bucket(minute int64) int {
	buckets := int64(_refusalBuckets)
	return int((minute%buckets + buckets) % buckets)
}
