package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/queue"
)

const (
	_s             = time.Second
	_simulatedTime = 60 * _s
	// _measuredTime is long enough for a stable p99 of long requests.
	_measuredTime = 300 * _s
	_warmUp       = 10 * _s
	// _timeout is the callers' timeout in simulations with long requests.
	_timeout = 30 * _s
)

// _surgeTimeouts are the callers' timeouts in a surge of demand: one is shorter and
// one longer than the time that an upstream needs to work off a full queue.
var _surgeTimeouts = []time.Duration{300 * time.Millisecond, 5 * _s}

var _limits = queue.Limits{Slots: 4, ReservedSlots: 1, Length: 64}

// simulateMix simulates short and long requests for the given span. The parameters
// short and long are the shares of the slots that they demand.
func simulateMix(hosts int, short, long float64, fifo bool, span time.Duration) *fleet {
	f := newFleet(1, hosts, _limits, fifo)
	f.run(load{to: span, short: short, long: long, timeout: _timeout})
	return f
}

// oracleShortWaitP99 returns the p99 wait of short requests under an oracle, an ideal
// scheduler. The oracle runs as few long requests at once as it can while it keeps
// the p99 wait of long requests within longWait.
func oracleShortWaitP99(hosts int, short, long float64, longWait, span time.Duration) time.Duration {
	for maxLong := 1; ; maxLong++ {
		f := newFleet(1, hosts, _limits, false)
		f.oracle = &oracle{freeSlots: hosts * _limits.Slots, freeLongSlots: maxLong}
		f.run(load{to: span, short: short, long: long, timeout: _timeout})
		if long == 0 || f.stats(true, _warmUp, span).waitP99 <= longWait {
			return f.stats(false, _warmUp, span).waitP99
		}
	}
}

// simulateSurge simulates ten seconds in which demand is three times the capacity.
func simulateSurge(fifo bool, timeout time.Duration) *fleet {
	f := newFleet(1, 7, _limits, fifo)
	f.run(load{to: 10 * _s, short: 0.5, timeout: timeout},
		load{from: 10 * _s, to: 20 * _s, short: 3, timeout: timeout},
		load{from: 20 * _s, to: 30 * _s, short: 0.5, timeout: timeout})
	return f
}

// TestLongRequestsBarelyDelayShortOnes checks that long requests at most double
// the p99 response time of short ones, and that the queue does not mistake the run
// times of long requests for overload and lower its limit.
func TestLongRequestsBarelyDelayShortOnes(t *testing.T) {
	for _, hosts := range []int{3, 7} {
		for _, short := range []float64{0.4, 0.5} {
			t.Run(fmt.Sprintf("hosts=%d/short=%v", hosts, short), func(t *testing.T) {
				t.Parallel()
				shortOnly := simulateMix(hosts, short, 0, false, _simulatedTime).stats(false, _warmUp, _simulatedTime)
				for _, long := range []float64{0.1, 0.25} {
					f := simulateMix(hosts, short, long, false, _simulatedTime)
					withLong := f.stats(false, _warmUp, _simulatedTime)
					assert.Check(t, withLong.answerP99 <= 2*shortOnly.answerP99, "long share %v: %v, without long requests %v", long, withLong, shortOnly)
					if hosts == 7 && long == 0.1 {
						assert.Check(t, withLong.waitP99 <= 2*shortOnly.waitP99, "long share %v: %v, without long requests %v", long, withLong, shortOnly)
					}
					assert.Check(t, f.reducedLimits == 0, "limit lowered %d times although no upstream is overloaded", f.reducedLimits)
					for _, j := range f.jobs {
						assert.Assert(t, j.runs <= 1 && (j.runs == 0) == j.refused, "job ran %d times, refused %v", j.runs, j.refused)
					}
				}
			})
		}
	}
}

// TestLongRequestWaitIsBounded checks that long requests do not starve while
// short ones demand three times the capacity of a host: each long request waits at
// most for the long requests before it, and for one short run before each start.
func TestLongRequestWaitIsBounded(t *testing.T) {
	for _, limits := range []queue.Limits{{Slots: 1, Length: 64}, {Slots: 2, ReservedSlots: 1, Length: 64}, {Slots: 4, ReservedSlots: 1, Length: 64}, {Slots: 4, ReservedSlots: 3, Length: 64}} {
		f := newFleet(1, 1, limits, false)
		f.classGiven = true
		f.run(load{to: _simulatedTime, short: 3, long: 0.5, timeout: _timeout})
		var longestShort, bound time.Duration
		for _, j := range f.jobs {
			if !j.long {
				longestShort = max(longestShort, j.run)
			}
		}
		ran := 0
		for _, j := range f.jobs {
			if !j.long || j.refused {
				continue
			}
			ran++
			bound = longestShort
			for _, before := range f.jobs {
				if before.long && before.arrival < j.arrival && before.ended > j.arrival {
					bound += before.run + longestShort
				}
			}
			assert.Check(t, j.started-j.arrival <= bound, "%+v: waited %v, want at most %v", limits, j.started-j.arrival, bound)
		}
		assert.Check(t, ran > 0, "%+v: no long request ran", limits)
	}
}

// TestServiceDuringAndAfterDemandSurge checks that nearly all capacity serves
// requests that meet their deadline during a surge of demand, and that waits are
// back to normal two seconds after the surge.
func TestServiceDuringAndAfterDemandSurge(t *testing.T) {
	for _, timeout := range _surgeTimeouts {
		f := simulateSurge(false, timeout)
		assert.Check(t, f.goodput(10*_s, 20*_s) >= 0.9, "goodput %v", f.goodput(10*_s, 20*_s))
		before, after := f.stats(false, 5*_s, 10*_s), f.stats(false, 22*_s, 30*_s)
		assert.Check(t, after.inTime >= before.inTime-0.01, "in time %v before, %v after", before, after)
		assert.Check(t, after.waitP99 <= 2*before.waitP99, "waits %v before, %v after", before, after)
		assert.Check(t, f.peakWaiting <= _limits.Length)
	}
}

func policyName(fifo bool) string {
	if fifo {
		return "first_come"
	}
	return "queue"
}

// BenchmarkShortBehindLong reports the waits of short requests while long ones
// run, for Queue, for a FIFO queue and for the oracle.
func BenchmarkShortBehindLong(b *testing.B) {
	for _, hosts := range []int{3, 7} {
		for _, short := range []float64{0.2, 0.4, 0.5} {
			for _, long := range []float64{0, 0.1, 0.25} {
				for _, plain := range []bool{true, false} {
					b.Run(fmt.Sprintf("hosts=%d/short=%v/long=%v/%s", hosts, short, long, policyName(plain)), func(b *testing.B) {
						var f *fleet
						for b.Loop() {
							f = simulateMix(hosts, short, long, plain, _measuredTime)
						}
						s, l := f.stats(false, _warmUp, _measuredTime), f.stats(true, _warmUp, _measuredTime)
						b.ReportMetric(s.waitP50.Seconds()*1e3, "ms_wait_p50")
						b.ReportMetric(s.waitP99.Seconds()*1e3, "ms_wait_p99")
						b.ReportMetric(s.answerP99.Seconds()*1e3, "ms_answer_p99")
						b.ReportMetric(s.refused*100, "%_refused")
						b.ReportMetric(l.waitP99.Seconds()*1e3, "ms_long_wait_p99")
						b.ReportMetric(float64(f.peakWaiting), "peak_queue")
						if !plain {
							bound := oracleShortWaitP99(hosts, short, long, l.waitP99, _measuredTime)
							b.ReportMetric(bound.Seconds()*1e3, "ms_oracle_wait_p99")
						}
					})
				}
			}
		}
	}
}

// BenchmarkCrest reports goodput and waits during a surge of demand and after it.
func BenchmarkCrest(b *testing.B) {
	for _, timeout := range _surgeTimeouts {
		for _, plain := range []bool{true, false} {
			b.Run(fmt.Sprintf("timeout=%v/%s", timeout, policyName(plain)), func(b *testing.B) {
				var f *fleet
				for b.Loop() {
					f = simulateSurge(plain, timeout)
				}
				b.ReportMetric(f.goodput(10*_s, 20*_s), "goodput_crest")
				b.ReportMetric(f.stats(false, 10*_s, 20*_s).inTime*100, "%_in_time_crest")
				b.ReportMetric(f.stats(false, 20*_s, 22*_s).inTime*100, "%_in_time_2s_after")
				b.ReportMetric(f.stats(false, 20*_s, 30*_s).inTime*100, "%_in_time_10s_after")
				b.ReportMetric(f.stats(false, 22*_s, 30*_s).waitP99.Seconds()*1e3, "ms_wait_p99_from_2s_after")
				b.ReportMetric(float64(f.peakWaiting), "peak_queue")
			})
		}
	}
}

// BenchmarkQueue measures Offer and Finish of one request while others wait.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{0, 64, 1024} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := newQueue(b, queue.Limits{Slots: 4, ReservedSlots: 1, Length: 2048})
			now, id := time.Duration(0), queue.ID(0)
			actions := make([]queue.Action, 0, 16)
			var running []queue.ID
			step := func() {
				id++
				now += time.Microsecond
				actions = q.Offer(actions[:0], now, checkin(id, now+time.Hour))
				running = starts(running, actions)
			}
			for range 4 + waiting {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
				first := running[0]
				running = append(running[:0], running[1:]...)
				actions = q.Finish(actions[:0], now, first, queue.Done)
				running = starts(running, actions)
			}
		})
	}
}
