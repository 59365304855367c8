package settings_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

const _validTree = `{
	"/": {"slots": 2, "queue_length": 10, "max_hosts": 10},
	"akl": {"max_flows": 14000, "max_flows_per_upstream": 2000, "drain_deadline": "1h0m0s"},
	"akl/akl-a/orders": {"id": 1, "addresses": ["127.0.1.1:443"], "non_repeatable_routes": ["/order"]},
	"akl/akl-b/orders": {"id": 1, "addresses": ["127.0.1.1:443"], "max_flows": 9, "reserved_slots": 0},
	"akl/akl-a/rounds": {"id": 2, "addresses": ["127.0.1.2:443"], "slots": 1, "request_timeout": "5m0s"}
}`

func decode(t testing.TB, text string) settings.Tree {
	t.Helper()
	var tree settings.Tree
	assert.NilError(t, json.Unmarshal([]byte(text), &tree))
	return tree
}

// TestDocumentResolvesServices checks the resolved settings of services: those that a
// service sets itself, those that it inherits, and the defaults of those that no node sets.
func TestDocumentResolvesServices(t *testing.T) {
	d, err := settings.NewDocument(7, decode(t, _validTree))
	assert.NilError(t, err)
	orders, ok := d.Service(mustPath(t, "akl/akl-b/orders"))
	assert.Assert(t, ok)
	assert.DeepEqual(t, orders.Limits, settings.Limits{
		Flows: 9, FlowsPerUpstream: 2000, Slots: 2, ReservedSlots: 0, QueueLength: 10, MaxHosts: 10,
	})
	assert.Equal(t, orders.Revision, settings.Revision(7))
	assert.Equal(t, orders.DrainDeadline, settings.Duration(time.Hour))
	rounds, _ := d.Service(mustPath(t, "akl/akl-a/rounds"))
	assert.Equal(t, rounds.ID, service.ID(2))
	assert.Equal(t, rounds.Limits.ReservedSlots, 0)
	assert.Equal(t, rounds.Requests.Timeout, settings.Duration(5*time.Minute))
	orders, _ = d.Service(mustPath(t, "akl/akl-a/orders"))
	assert.Equal(t, orders.Limits.ReservedSlots, 1)
	assert.DeepEqual(t, orders.Requests.NonRepeatableRoutes, []string{"/order"})
}

// TestCheckFindings replaces the values of one node of a valid tree. Each case must
// return exactly the listed findings, with their paths and fields.
func TestCheckFindings(t *testing.T) {
	tests := []struct {
		path, values string
		want         []string
	}{
		{"akl/akl-a/rounds", `{"id": 1, "addresses": ["127.0.1.2:443"]}`, []string{"akl/akl-a/rounds: id: 1 is used by akl/akl-a/orders"}},
		{"akl/akl-b/orders", `{"id": 3, "addresses": ["127.0.1.1:443"]}`, []string{"akl/akl-b/orders: id: 3: the service has id 1"}},
		{"akl/akl-b/orders", `{"id": 1, "addresses": ["127.0.1.2:443"]}`, []string{"akl/akl-b/orders: addresses: 127.0.1.2:443 is used by akl/akl-a/rounds"}},
		{"akl/akl-b/orders", `{"id": 1, "addresses": []}`, []string{"akl/akl-b/orders: addresses: 0 addresses"}},
		{"akl/akl-b/orders", `{"id": 1, "addresses": ["[::1]:443", "127.0.0.1:0"]}`, []string{"addresses: address", "addresses: address"}},
		{"akl/akl-b/orders", `{"id": 1, "addresses": ["127.0.0.9:1", "127.0.0.9:1"]}`, []string{"127.0.0.9:1 is given twice"}},
		{"akl/akl-b/orders", `{}`, []string{"addresses: is missing", "id: is missing"}},
		{"akl/akl-a/rounds", `{"id": 2, "addresses": ["127.0.1.2:443"], "slots": 3, "reserved_slots": 3}`, []string{"reserved_slots: 3 of 3 slots"}},
		{"akl/akl-a", `{"max_flows": 0, "slots": -1, "queue_length": -1}`, []string{"akl/akl-a: max_flows: 0: want 1", "queue_length: -1: want 0", "slots: -1: want 1"}},
		{"akl", `{"id": 4, "addresses": ["127.0.1.9:443"], "max_flows": 1, "max_flows_per_upstream": 1}`, []string{"akl: addresses: can be set at a service only", "akl: id: can be set at a service only"}},
		{"akl", `{"max_flows": 10}`, []string{"akl/akl-a/orders: max_flows_per_upstream: is missing", "akl/akl-a/rounds: max_flows_per_upstream: is missing", "akl/akl-b/orders: max_flows_per_upstream: is missing"}},
		{"oslo/akl-a", `{"slots": 9}`, []string{"oslo/akl-a: place akl-a is in region akl already"}},
		{"/", `{"slots": 2, "queue_length": 10, "max_hosts": 10, "long_routes": ["x"], "request_timeout": "0s"}`, []string{"/: long_routes: \"x\"", "/: request_timeout: want more"}},
	}
	for _, tt := range tests {
		var values settings.Values
		assert.NilError(t, json.Unmarshal([]byte(tt.values), &values))
		tree := decode(t, _validTree).With(mustPath(t, tt.path), values)
		_, err := settings.NewDocument(1, tree)
		findings := settings.FindingsOf(err)
		assert.Equal(t, len(findings), len(tt.want), "%s %s: %v", tt.path, tt.values, err)
		for i, want := range tt.want {
			assert.Assert(t, strings.Contains(findings[i].String(), want), "%s: want %s", findings[i], want)
		}
	}
}

// TestDecodeReportsAllFindings decodes a tree with many errors. All of them must be
// reported at once, not only the first.
func TestDecodeReportsAllFindings(t *testing.T) {
	var tree settings.Tree
	err := json.Unmarshal([]byte(`{
		"/": {"slots": "two", "colour": 1, "max_flows": 1, "max_flows": 2, "max_hosts": null},
		"oslo": {"request_timeout": "soon", "drain_deadline": "-1s", "id": 0, "addresses": ["nowhere"]},
		"oslo": {},
		"Oslo": {},
		"a/b/c/d": {},
		"akl": 5
	}`), &tree)
	var got []string
	for _, f := range settings.FindingsOf(err) {
		got = append(got, fmt.Sprintf("%s %s", f.Path, f.Field))
	}
	assert.DeepEqual(t, got, []string{
		"/ slots", "/ colour", "/ max_flows", "/ max_hosts",
		"oslo request_timeout", "oslo drain_deadline", "oslo id", "oslo addresses",
		"oslo ", "/ ", "/ ", "akl ",
	})
}

func FuzzTree(f *testing.F) {
	f.Add([]byte(_validTree))
	f.Add([]byte(`{"/": {"slots": null}, "/": {}}`))
	f.Add([]byte(`{"a/b/c": {"long_routes": [], "addresses": [""]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var tree settings.Tree
		if json.Unmarshal(data, &tree) != nil {
			return
		}
		out, err := json.Marshal(tree)
		assert.NilError(t, err)
		var decoded settings.Tree
		assert.NilError(t, json.Unmarshal(out, &decoded))
		assert.Equal(t, decoded.Digest(), tree.Digest())
		_, _ = settings.NewDocument(1, tree)
	})
}

// Effective returns each effective value with the node that sets it.
func ExampleTree_Effective() {
	var tree settings.Tree
	_ = json.Unmarshal([]byte(`{
		"/": {"slots": 4},
		"oslo/oslo-a": {"max_flows": 14000},
		"oslo/oslo-a/rutetjeneste": {"slots": 2}
	}`), &tree)
	path, _ := settings.ParsePath("oslo/oslo-a/rutetjeneste")
	for _, v := range tree.Effective(path)[:2] {
		fmt.Println(v.Field, string(v.Value), v.Source.Path)
	}
	// Output:
	// max_flows 14000 oslo/oslo-a
	// slots 2 oslo/oslo-a/rutetjeneste
}

// targetTree returns a tree of the size that the system is designed for: 1,300
// services at 6 places each.
func targetTree(b testing.TB) settings.Tree {
	var text strings.Builder
	text.WriteString(`{"/": {"slots": 4, "queue_length": 20, "max_hosts": 10, "max_flows_per_upstream": 2000}`)
	for place := range 6 {
		region := place / 3
		for s := range 1300 {
			fmt.Fprintf(&text, `,"region-%d/place-%d/service-%d": {"id": %d, "addresses": ["10.0.%d.%d:443"], "max_flows": 14000, "non_repeatable_routes": ["/check-in"]}`,
				region, place, s, s+1, s/250, s%250)
		}
	}
	text.WriteString("}")
	return decode(b, text.String())
}

// liveHeap returns the octets of live heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkDocument(b *testing.B) {
	tree := targetTree(b)
	data, _ := json.Marshal(tree)
	path := mustPath(b, "region-1/place-4/service-700")
	b.Run("check_and_resolve", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := settings.NewDocument(1, tree)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tree.Len()), "ns/node")
	})
	b.Run("one_edit", func(b *testing.B) {
		b.ReportAllocs()
		own, _ := tree.Get(path)
		for b.Loop() {
			_ = tree.With(path, own)
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = json.Marshal(tree)
		}
		b.ReportMetric(float64(len(data))/float64(tree.Len()), "octets/node")
	})
	b.Run("memory", func(b *testing.B) {
		// Measures the live heap of one decoded document.
		var documents []*settings.Document
		before := liveHeap()
		for b.Loop() {
			document, err := settings.NewDocument(1, decode(b, string(data)))
			assert.NilError(b, err)
			documents = append(documents, document)
		}
		b.ReportMetric(float64(liveHeap()-before)/float64(len(documents))/float64(tree.Len()), "live-octets/node")
		runtime.KeepAlive(documents)
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var decoded settings.Tree
			assert.NilError(b, json.Unmarshal(data, &decoded))
		}
	})
}
