package settings

import "encoding/json"

// Source is the origin of an effective value.
type Source struct {
	// Path is the node that sets the value; the root if Default is true.
	Path Path `json:"path"`
	// Default is true if no node sets the value, so that the built-in default
	// applies.
	Default bool `json:"default,omitempty"`
}

// EffectiveValue is the value of one setting at a node after inheritance and
// defaults.
type EffectiveValue struct {
	Field  Field           `json:"field"`
	Value  json.RawMessage `json:"value"`
	Source Source          `json:"source"`
}

// Effective returns the effective values at path with their sources, in the order
// of Fields. Settings that neither a node nor a default sets are omitted.
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

// sourceOf returns the nearest node that sets f, from path up to the root. It
// returns the root if no other node sets f.
func (t Tree) sourceOf(path Path, f fieldInfo) Path {
	for path != (Path{}) {
		if values, ok := t.Get(path); ok && f.isSet(values) {
			return path
		}
		path = path.Parent()
	}
	return path
}
