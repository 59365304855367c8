package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/queue"
)

const (
	_s       = time.Second
	_playFor = 60 * _s
	// _measureFor is long enough for a steady p99 of long work.
	_measureFor = 300 * _s
	_warmUp     = 10 * _s
	// _timeout is the callers' deadline where long work is in play.
	_timeout = 30 * _s
)

// _crestTimeouts are the callers' deadlines at the crest of demand: one shorter
// and one longer than a full queue takes.
var _crestTimeouts = []time.Duration{300 * time.Millisecond, 5 * _s}

var _limits = queue.Limits{Slots: 4, ReservedSlots: 1, Length: 64}

// mixed plays short and long work, given as shares of the slots.
func mixed(hosts int, short, long float64, plain bool, span time.Duration) *fleet {
	f := newFleet(1, hosts, _limits, plain)
	f.run(load{to: span, short: short, long: long, timeout: _timeout})
	return f
}

// lowerBound is the p99 wait of short work under an oracle that lets as few
// long requests run at once as keep their p99 wait within longWait.
func lowerBound(hosts int, short, long float64, longWait, span time.Duration) time.Duration {
	for longs := 1; ; longs++ {
		f := newFleet(1, hosts, _limits, false)
		f.oracle = &oracle{free: hosts * _limits.Slots, longs: longs}
		f.run(load{to: span, short: short, long: long, timeout: _timeout})
		if long == 0 || f.figures(true, _warmUp, span).waitP99 <= longWait {
			return f.figures(false, _warmUp, span).waitP99
		}
	}
}

// crest plays a demand of three times the capacity for ten seconds.
func crest(plain bool, timeout time.Duration) *fleet {
	f := newFleet(1, 7, _limits, plain)
	f.run(load{to: 10 * _s, short: 0.5, timeout: timeout},
		load{from: 10 * _s, to: 20 * _s, short: 3, timeout: timeout},
		load{from: 20 * _s, to: 30 * _s, short: 0.5, timeout: timeout})
	return f
}

func TestShortWorkBehindLongWork(t *testing.T) {
	for _, hosts := range []int{3, 7} {
		for _, short := range []float64{0.4, 0.5} {
			t.Run(fmt.Sprintf("hosts=%d/short=%v", hosts, short), func(t *testing.T) {
				t.Parallel()
				alone := mixed(hosts, short, 0, false, _playFor).figures(false, _warmUp, _playFor)
				for _, long := range []float64{0.1, 0.25} {
					f := mixed(hosts, short, long, false, _playFor)
					behind := f.figures(false, _warmUp, _playFor)
					assert.Check(t, behind.answerP99 <= 2*alone.answerP99, "%v long: %v, alone %v", long, behind, alone)
					if hosts == 7 && long == 0.1 {
						assert.Check(t, behind.waitP99 <= 2*alone.waitP99, "%v long: %v, alone %v", long, behind, alone)
					}
					assert.Check(t, f.lowered == 0, "slots withheld from upstreams that are no slower than ever: %d times", f.lowered)
					for _, j := range f.jobs {
						assert.Assert(t, j.runs <= 1 && (j.runs == 0) == j.refused, "job ran %d times, refused %v", j.runs, j.refused)
					}
				}
			})
		}
	}
}

// TestLongWorkIsNeverStarved plays more short work than a host can do.
func TestLongWorkIsNeverStarved(t *testing.T) {
	for _, limits := range []queue.Limits{{Slots: 1, Length: 64}, {Slots: 2, ReservedSlots: 1, Length: 64}, {Slots: 4, ReservedSlots: 1, Length: 64}, {Slots: 4, ReservedSlots: 3, Length: 64}} {
		f := newFleet(1, 1, limits, false)
		f.marked = true
		f.run(load{to: _playFor, short: 3, long: 0.5, timeout: _timeout})
		var longest, bound time.Duration
		for _, j := range f.jobs {
			if !j.long {
				longest = max(longest, j.run)
			}
		}
		ran := 0
		for _, j := range f.jobs {
			if !j.long || j.refused {
				continue
			}
			ran++
			bound = longest
			for _, before := range f.jobs {
				if before.long && before.arrival < j.arrival && before.ended > j.arrival {
					bound += before.run + longest
				}
			}
			assert.Check(t, j.started-j.arrival <= bound, "%+v: waited %v of at most %v", limits, j.started-j.arrival, bound)
		}
		assert.Check(t, ran > 0, "%+v: no long work ran", limits)
	}
}

func TestCrestOfDemand(t *testing.T) {
	for _, timeout := range _crestTimeouts {
		f := crest(false, timeout)
		assert.Check(t, f.goodput(10*_s, 20*_s) >= 0.9, "goodput %v", f.goodput(10*_s, 20*_s))
		before, after := f.figures(false, 5*_s, 10*_s), f.figures(false, 22*_s, 30*_s)
		assert.Check(t, after.inTime >= before.inTime-0.01, "in time %v before, %v after", before, after)
		assert.Check(t, after.waitP99 <= 2*before.waitP99, "waits %v before, %v after", before, after)
		assert.Check(t, f.peak <= _limits.Length)
	}
}

func policyName(plain bool) string {
	if plain {
		return "first_come"
	}
	return "queue"
}

// BenchmarkShortBehindLong prints the waits of short work, with long work
// beside it, for this policy and for first come first served.
func BenchmarkShortBehindLong(b *testing.B) {
	for _, hosts := range []int{3, 7} {
		for _, short := range []float64{0.2, 0.4, 0.5} {
			for _, long := range []float64{0, 0.1, 0.25} {
				for _, plain := range []bool{true, false} {
					b.Run(fmt.Sprintf("hosts=%d/short=%v/long=%v/%s", hosts, short, long, policyName(plain)), func(b *testing.B) {
						var f *fleet
						for b.Loop() {
							f = mixed(hosts, short, long, plain, _measureFor)
						}
						s, l := f.figures(false, _warmUp, _measureFor), f.figures(true, _warmUp, _measureFor)
						b.ReportMetric(s.waitP50.Seconds()*1e3, "ms_wait_p50")
						b.ReportMetric(s.waitP99.Seconds()*1e3, "ms_wait_p99")
						b.ReportMetric(s.answerP99.Seconds()*1e3, "ms_answer_p99")
						b.ReportMetric(s.refused*100, "%_refused")
						b.ReportMetric(l.waitP99.Seconds()*1e3, "ms_long_wait_p99")
						b.ReportMetric(float64(f.peak), "peak_queue")
						if !plain {
							bound := lowerBound(hosts, short, long, l.waitP99, _measureFor)
							b.ReportMetric(bound.Seconds()*1e3, "ms_oracle_wait_p99")
						}
					})
				}
			}
		}
	}
}

// BenchmarkCrest prints the service at the crest of demand and after it.
func BenchmarkCrest(b *testing.B) {
	for _, timeout := range _crestTimeouts {
		for _, plain := range []bool{true, false} {
			b.Run(fmt.Sprintf("timeout=%v/%s", timeout, policyName(plain)), func(b *testing.B) {
				var f *fleet
				for b.Loop() {
					f = crest(plain, timeout)
				}
				b.ReportMetric(f.goodput(10*_s, 20*_s), "goodput_crest")
				b.ReportMetric(f.figures(false, 10*_s, 20*_s).inTime*100, "%_in_time_crest")
				b.ReportMetric(f.figures(false, 20*_s, 22*_s).inTime*100, "%_in_time_2s_after")
				b.ReportMetric(f.figures(false, 20*_s, 30*_s).inTime*100, "%_in_time_10s_after")
				b.ReportMetric(f.figures(false, 22*_s, 30*_s).waitP99.Seconds()*1e3, "ms_wait_p99_from_2s_after")
				b.ReportMetric(float64(f.peak), "peak_queue")
			})
		}
	}
}

// BenchmarkQueue measures one request through the queue, with others waiting.
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
