package settings

import (
	"slices"

	"github.com/gravitational/trace"
)

// Edit replaces the values that one node sets itself. Nil Before or After means
// that the node is not set.
type Edit struct {
	Path Path `json:"path"`
	// Before is the node's values at the revision that the edit is based on.
	Before *Values `json:"before,omitempty"`
	// After is the node's new values.
	After *Values `json:"after,omitempty"`
}

// Inverse returns the edit that undoes e.
func (e Edit) Inverse() Edit {
	return Edit{Path: e.Path, Before: e.After, After: e.Before}
}

// Equal reports whether both edits change the same node in the same way.
func (e Edit) Equal(other Edit) bool {
	return e.Path == other.Path && equalValues(e.Before, other.Before) && equalValues(e.After, other.After)
}

// Diff returns the edits that turn t into other, in order of their paths.
func (t Tree) Diff(other Tree) []Edit {
	var edits []Edit
	for path, before := range t.All() {
		after, ok := other.Get(path)
		switch {
		case !ok:
			edits = append(edits, Edit{Path: path, Before: &before})
		case !before.Equal(after):
			edits = append(edits, Edit{Path: path, Before: &before, After: &after})
		}
	}
	for path, after := range other.All() {
		if _, ok := t.Get(path); !ok {
			edits = append(edits, Edit{Path: path, After: &after})
		}
	}
	slices.SortFunc(edits, func(a, b Edit) int { return comparePaths(a.Path, b.Path) })
	return edits
}

// Apply returns the tree with all edits applied. It returns a CompareFailed error
// if the current values of a node differ from its edit's Before.
func (t Tree) Apply(edits ...Edit) (Tree, error) {
	b := newBuilder(t)
	for _, edit := range edits {
		if !nodeEquals(b.tree, edit.Path, edit.Before) {
			return t, trace.CompareFailed("%s: the node is not as the edit expects", edit.Path)
		}
		b.set(edit.Path, edit.After)
	}
	return b.tree, nil
}

// nodeEquals reports whether the node at path has the values want; nil means that
// the node is not set.
func nodeEquals(t Tree, path Path, want *Values) bool {
	got, ok := t.Get(path)
	if !ok {
		return want == nil
	}
	return equalValues(&got, want)
}

func equalValues(a, b *Values) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Equal(*b)
}
