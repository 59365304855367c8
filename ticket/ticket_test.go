package ticket_test

import (
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/ticket"
)

func keysOf(t testing.TB, current uint8, numbers ...uint8) *ticket.Keys {
	var keys []ticket.Key
	for _, n := range numbers {
		keys = append(keys, ticket.Key{Number: n, Ticket: []byte(fmt.Sprintf("secret of 16 octets %d", n))})
	}
	k, err := ticket.NewKeys(current, keys...)
	assert.NilError(t, err)
	return k
}

var _ticket = ticket.Ticket{
	Service:     7,
	Agent:       netip.MustParseAddrPort("10.0.0.9:7443"),
	Incarnation: 12,
	Number:      1 << 60,
	Expiry:      time.UnixMilli(1_800_000_000_123).UTC(),
}

// TestOpenRejectsAlteredTickets checks that a sealed ticket opens to the same fields, and
// that one that is altered in any character, truncated or extended does not open.
func TestOpenRejectsAlteredTickets(t *testing.T) {
	compare := cmpopts.EquateComparable(netip.AddrPort{})
	keys := keysOf(t, 2, 1, 2)
	text, err := keys.Seal(_ticket)
	assert.NilError(t, err)
	for _, form := range []string{text, `"` + text + `"`} {
		got, err := keys.Open(form)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, _ticket, compare)
	}
	for i := len("dht1."); i < len(text); i++ {
		for _, c := range []byte("Az-") {
			altered := []byte(text)
			if altered[i] == c {
				continue
			}
			altered[i] = c
			_, err := keys.Open(string(altered))
			assert.ErrorIs(t, err, ticket.ErrUnverified, "%s", altered)
		}
	}
	for foreign, want := range map[string]error{
		"": ticket.ErrForeign, "8e03978e-40d5-43dd-bc93-6894a57f9324": ticket.ErrForeign,
		"dht1.": ticket.ErrUnverified, text[:len(text)-1]: ticket.ErrUnverified, text + "A": ticket.ErrUnverified,
	} {
		_, err := keys.Open(foreign)
		assert.ErrorIs(t, err, want, "%q", foreign)
	}
}

// TestKeyRotation checks that tickets open across adjacent stages of a key rotation, and
// no longer once their key is removed.
func TestKeyRotation(t *testing.T) {
	before, during, after := keysOf(t, 1, 1, 2), keysOf(t, 2, 1, 2), keysOf(t, 2, 2)
	first, err := before.Seal(_ticket)
	assert.NilError(t, err)
	_, err = during.Open(first)
	assert.NilError(t, err)
	second, err := during.Seal(_ticket)
	assert.NilError(t, err)
	_, err = before.Open(second)
	assert.NilError(t, err)
	_, err = after.Open(first)
	assert.ErrorIs(t, err, ticket.ErrUnverified)
}

func TestParseKeysRejectsInvalidFiles(t *testing.T) {
	const good = `{"current":1,"keys":[{"number":1,"ticket":"c2VjcmV0IG9mIDE2IG9jdGV0cw=="}]}`
	_, err := ticket.ParseKeys([]byte(good))
	assert.NilError(t, err)
	for _, bad := range []string{
		``, `[]`, `{}`, `{"current":2,"keys":[{"number":1,"ticket":"c2VjcmV0IG9mIDE2IG9jdGV0cw=="}]}`,
		`{"current":1,"keys":[{"number":1,"ticket":"c2VjcmV0"}]}`, `{"current":0,"keys":[{"number":0,"ticket":"c2VjcmV0IG9mIDE2IG9jdGV0cw=="}]}`,
		good[:len(good)-2] + `,{"number":1,"ticket":"c2VjcmV0IG9mIDE2IG9jdGV0cw=="}]}`,
	} {
		_, err := ticket.ParseKeys([]byte(bad))
		assert.Assert(t, trace.IsBadParameter(err) || trace.IsAggregate(err), "%s: %v", bad, err)
	}
}

func FuzzOpen(f *testing.F) {
	keys := keysOf(f, 1, 1)
	text, err := keys.Seal(_ticket)
	assert.NilError(f, err)
	f.Add(text)
	f.Add("dht1.AQAA")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := keys.Open(text)
		if err != nil {
			assert.Assert(t, errors.Is(err, ticket.ErrForeign) || errors.Is(err, ticket.ErrUnverified))
			return
		}
		_, err = keys.Seal(got)
		assert.NilError(t, err)
	})
}

func FuzzParseKeys(f *testing.F) {
	f.Add([]byte(`{"current":1,"keys":[{"number":1,"ticket":"c2VjcmV0IG9mIDE2IG9jdGV0cw=="}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if keys, err := ticket.ParseKeys(data); err == nil {
			_, err = keys.Seal(_ticket)
			assert.NilError(t, err)
		}
	})
}

// ticketModel is the state that a ledger must hold for one key.
type ticketModel struct {
	expiry  time.Duration
	running bool
	outcome ticket.Outcome
	runs    int
}

// TestLedgerRunsTicketAtMostOnce compares a ledger with a model under random calls.
// Each ticket must get the verdict Run at most once.
func TestLedgerRunsTicketAtMostOnce(t *testing.T) {
	bounds := ticket.Bounds{Tickets: 6, BodyBytes: 100, Lifetime: 100 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		l := ticket.NewLedger[int](bounds)
		known := make(map[int]*ticketModel)
		var now time.Duration
		held := func() (n int) {
			for _, o := range known {
				if o.running || now < o.expiry {
					n++
				}
			}
			return n
		}
		key := rapid.IntRange(1, 20)
		// expected returns the verdict on a key, or nil if its ticket is issued but neither
		// claimed nor voided.
		expected := func(o *ticketModel) ticket.Verdict {
			switch {
			case o == nil, !o.running && now >= o.expiry:
				return ticket.Forgotten{}
			case o.running:
				return ticket.InProgress{}
			case o.outcome != nil:
				return ticket.Settled{Outcome: o.outcome}
			}
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				k := key.Draw(t, "key")
				o := known[k]
				free := o == nil || !o.running && now >= o.expiry
				room := held() < bounds.Tickets
				err := l.Issue(now, k)
				assert.Equal(t, err == nil, free && room, "%v", err)
				if err == nil {
					known[k] = &ticketModel{expiry: now + bounds.Lifetime}
				}
			},
			"begin": func(t *rapid.T) {
				k := key.Draw(t, "key")
				fingerprint := rapid.Uint64Range(1, 2).Draw(t, "fingerprint")
				o := known[k]
				want := expected(o)
				got := l.Begin(now, k, fingerprint)
				if want == nil {
					assert.Equal(t, got, ticket.Run{})
					o.running = true
					o.runs++
					assert.Equal(t, o.runs, 1)
					return
				}
				if _, other := got.(ticket.Mismatch); !other {
					assert.DeepEqual(t, got, want)
				}
			},
			"void": func(t *rapid.T) {
				k := key.Draw(t, "key")
				o := known[k]
				want := expected(o)
				if want == nil {
					o.outcome = ticket.NotRun{}
					want = ticket.Settled{Outcome: o.outcome}
				}
				assert.DeepEqual(t, l.Void(now, k), want)
			},
			"settle": func(t *rapid.T) {
				k := key.Draw(t, "key")
				o := known[k]
				if o == nil || !o.running {
					t.Skip("not running")
				}
				outcome := rapid.SampledFrom([]ticket.Outcome{
					ticket.NotRun{}, ticket.Unknown{}, ticket.Done{Status: 201, Body: make([]byte, 60), Kept: true, Size: 60},
				}).Draw(t, "outcome")
				o.outcome = l.Settle(now, k, outcome)
				o.running = false
				if now >= o.expiry {
					o.expiry = now + bounds.Lifetime
				}
				same := cmp.Equal(o.outcome, outcome)
				done, isDone := o.outcome.(ticket.Done)
				assert.Assert(t, same || isDone && !done.Kept && done.Body == nil && done.Status == 201)
			},
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
				l.Sweep(now)
				for k, o := range known {
					if o.running && now >= o.expiry {
						o.expiry = now + bounds.Lifetime
					}
					if !o.running && now >= o.expiry {
						delete(known, k)
					}
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, l.Len(), held())
				assert.Assert(t, l.BodyBytes() <= bounds.BodyBytes)
			},
		})
	})
}

// BenchmarkLedger reports the memory of one settled ticket.
func BenchmarkLedger(b *testing.B) {
	const tickets = 10_000
	for _, body := range []int{0, 200} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := ticket.NewLedger[ticket.Number](ticket.Bounds{Tickets: tickets, BodyBytes: 1 << 30, Lifetime: time.Hour})
				for n := range ticket.Number(tickets) {
					assert.NilError(b, l.Issue(0, n))
					l.Begin(0, n, 1)
					l.Settle(0, n, ticket.Done{Status: 201, Body: make([]byte, body), Kept: true})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tickets, "B/ticket")
		})
	}
}

func BenchmarkKeys(b *testing.B) {
	keys := keysOf(b, 1, 1)
	text, err := keys.Seal(_ticket)
	assert.NilError(b, err)
	b.Run("seal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = keys.Seal(_ticket)
		}
	})
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = keys.Open(text)
		}
	})
}

func ExampleLedger() {
	l := ticket.NewLedger[ticket.Number](ticket.Bounds{Tickets: 100, BodyBytes: 1 << 20, Lifetime: time.Minute})
	fmt.Println(l.Issue(0, 1))
	fmt.Printf("%T\n", l.Begin(0, 1, 99))
	fmt.Printf("%T\n", l.Begin(0, 1, 99))
	l.Settle(time.Second, 1, ticket.Done{Status: 201})
	fmt.Printf("%T\n", l.Begin(time.Second, 1, 99))
	fmt.Printf("%T\n", l.Begin(time.Hour, 1, 99))
	// Output:
	// <nil>
	// ticket.Run
	// ticket.InProgress
	// ticket.Settled
	// ticket.Forgotten
}
