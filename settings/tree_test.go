package settings_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/settings"
)

// oracle is a reference model of a tree: a map from path to field to JSON text.
type oracle map[string]map[string]string

func (o oracle) clone() oracle {
	c := oracle{}
	for path, fields := range o {
		c[path] = maps.Clone(fields)
	}
	return c
}

// deleteIfUnset deletes a node without fields, unless it is a service.
func (o oracle) deleteIfUnset(path string) {
	if len(o[path]) == 0 && depth(path) < 3 {
		delete(o, path)
	}
}

// effective returns the value of a field and the nearest node that sets it, from path
// up to the root.
func (o oracle) effective(path, field string) (value, source string, ok bool) {
	for node := path; ; node = parent(node) {
		if value, ok := o[node][field]; ok {
			return value, node, true
		}
		if node == "/" {
			return "", "", false
		}
	}
}

// depth returns the number of parts of a path.
func depth(path string) int {
	if path == "/" {
		return 0
	}
	n := 1
	for _, r := range path {
		if r == '/' {
			n++
		}
	}
	return n
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '/' {
			return path[:i]
		}
	}
	return "/"
}

func drawPath(t *rapid.T) string {
	parts := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3).Draw(t, "path")
	path := ""
	for _, part := range parts {
		path += "/" + part
	}
	if path == "" {
		return "/"
	}
	return path[1:]
}

func mustPath(t assert.TestingT, text string) settings.Path {
	path, err := settings.ParsePath(text)
	assert.NilError(t, err)
	return path
}

// _sampleValues are the JSON values that the test draws from, by field.
var _sampleValues = map[string][]string{
	"max_flows":       {"1", "2", "0"},
	"slots":           {"3", "4"},
	"long_routes":     {`[]`, `["/a"]`},
	"request_timeout": {`"1s"`, `"2m0s"`},
	"id":              {"1", "2"},
}

// TestTreeAgainstMaps applies the same random edits to a tree and to the reference
// model, and compares values, inheritance with sources, diffs, digests and JSON.
// Deriving a tree must not change the original.
func TestTreeAgainstMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, model := settings.Tree{}, oracle{}
		type state struct {
			tree  settings.Tree
			model oracle
		}
		past := []state{{tree, model.clone()}}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				path := drawPath(t)
				field := rapid.SampledFrom(slices.Sorted(maps.Keys(_sampleValues))).Draw(t, "field")
				value := rapid.SampledFrom(_sampleValues[field]).Draw(t, "value")
				own, _ := tree.Get(mustPath(t, path))
				own, err := own.With(settings.Field(field), json.RawMessage(value))
				assert.NilError(t, err)
				tree = tree.With(mustPath(t, path), own)
				if model[path] == nil {
					model[path] = map[string]string{}
				}
				model[path][field] = value
				past = append(past, state{tree, model.clone()})
			},
			"unset": func(t *rapid.T) {
				path := drawPath(t)
				field := rapid.SampledFrom(slices.Sorted(maps.Keys(_sampleValues))).Draw(t, "field")
				own, ok := tree.Get(mustPath(t, path))
				if !ok {
					return
				}
				own, err := own.Without(settings.Field(field))
				assert.NilError(t, err)
				tree = tree.With(mustPath(t, path), own)
				delete(model[path], field)
				model.deleteIfUnset(path)
			},
			"remove": func(t *rapid.T) {
				path := drawPath(t)
				tree = tree.Without(mustPath(t, path))
				delete(model, path)
			},
			"revert": func(t *rapid.T) {
				old := rapid.SampledFrom(past).Draw(t, "old")
				edits := tree.Diff(old.tree)
				reverted, err := tree.Apply(edits...)
				assert.NilError(t, err)
				assert.Equal(t, reverted.Digest(), old.tree.Digest())
				for i, edit := range edits {
					edits[i] = edit.Inverse()
				}
				restored, err := reverted.Apply(edits...)
				assert.NilError(t, err)
				assert.Equal(t, restored.Digest(), tree.Digest())
				tree, model = reverted, old.model.clone()
			},
			"": func(t *rapid.T) { checkAgainstModel(t, tree, model) },
		})
		for _, old := range past {
			checkAgainstModel(t, old.tree, old.model)
		}
	})
}

// checkAgainstModel compares a tree with the model, the effective values at a random
// path, and the tree after a JSON round trip.
func checkAgainstModel(t *rapid.T, tree settings.Tree, model oracle) {
	got := oracle{}
	for path, values := range tree.All() {
		got[path.String()] = map[string]string{}
		for _, field := range settings.Fields() {
			if value, ok := values.Get(field); ok {
				got[path.String()][string(field)] = string(value)
			}
		}
	}
	assert.DeepEqual(t, got, model)
	assert.Equal(t, tree.Len(), len(model))
	path := drawPath(t)
	found := 0
	for _, e := range tree.Effective(mustPath(t, path)) {
		if e.Source.Default {
			continue
		}
		found++
		value, source, ok := model.effective(path, string(e.Field))
		assert.Assert(t, ok)
		assert.Equal(t, fmt.Sprint(string(e.Value), " ", e.Source.Path), value+" "+source)
	}
	for field := range _sampleValues {
		if _, _, ok := model.effective(path, field); ok {
			found--
		}
	}
	assert.Equal(t, found, 0, "effective values at %s", path)
	data, err := json.Marshal(tree)
	assert.NilError(t, err)
	var decoded settings.Tree
	assert.NilError(t, json.Unmarshal(data, &decoded))
	assert.Equal(t, decoded.Digest(), tree.Digest())
	assert.Equal(t, len(tree.Diff(decoded)), 0)
}

// TestPathOverlaps checks that paths overlap only if one contains the other, and that
// malformed paths are refused.
func TestPathOverlaps(t *testing.T) {
	tests := []struct {
		a, b    string
		overlap bool
	}{
		{"/", "oslo/oslo-a/orders", true},
		{"oslo", "oslo/oslo-a", true},
		{"oslo/oslo-a/orders", "oslo/oslo-a/orders", true},
		{"oslo/oslo-a/orders", "oslo/oslo-a/rounds", false},
		{"oslo/oslo-a", "oslo/oslo-b/orders", false},
		{"oslo", "akl", false},
	}
	for _, tt := range tests {
		a, b := mustPath(t, tt.a), mustPath(t, tt.b)
		assert.Equal(t, a.Overlaps(b), tt.overlap, "%s and %s", tt.a, tt.b)
		assert.Equal(t, b.Overlaps(a), tt.overlap, "%s and %s", tt.b, tt.a)
	}
	for _, bad := range []string{"", "oslo/", "/oslo", "Oslo", "a/b/c/d", "a//c", "a b"} {
		_, err := settings.ParsePath(bad)
		assert.ErrorContains(t, err, "", "path %q", bad)
	}
}
