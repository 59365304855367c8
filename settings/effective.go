package settings

import "encoding/json"

// Source says where a value in force comes from.
type Source struct {
	// Path is the node that sets the value; the root if Default.
	Path Path `json:"path"`
	// Default is true if no node sets it and the built-in default holds.
	Default bool `json:"default,omitempty"`
}

// EffectiveValue is one value in force at a node.
type EffectiveValue struct {
	Field  Field           `json:"field"`
	Value  json.RawMessage `json:"value"`
	Source Source          `json:"source"`
}

// Effective returns every value in force at path, with the node that it comes
// from, in the order of Fields. Settings that nothing sets are left out.
func (t Tree) Effective(path Path) []EffectiveValue {
	resolved := t.Resolve(path)
	defaults := defaultsOf(resolved)
	var effective []EffectiveValue
	for _, f := range _fields {
		source := Source{}
		value, ok := resolved.Get(f.name)
		if ok {
			source.Path = t.sourceOf(path, f)
		} else {
			value, ok = defaults.Get(f.name)
			source.Default = true
		}
		if ok {
			effective = append(effective, EffectiveValue{Field: f.name, Value: value, Source: source})
		}
	}
	return effective
}

// sourceOf returns the node nearest to path that sets f.
func (t Tree) sourceOf(path Path, f fieldInfo) Path {
	for path != (Path{}) {
		if values, ok := t.Get(path); ok && f.isSet(values) {
			return path
		}
		path = path.Parent()
	}
	return path
}
