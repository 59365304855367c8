package settings

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Tree is an immutable tree of values. Trees share the nodes that they have in
// common, so that a change copies one path and no more. The zero Tree is empty.
type Tree struct {
	root   *node
	digest Digest
	size   int
}

// Digest tells trees apart. Trees with the same nodes and values have the same
// digest, whichever edits led to them.
type Digest uint64

// node is one node of the tree, shared and never changed once a tree holds it.
type node struct {
	values   Values
	set      bool
	children map[string]*node
}

// Digest returns the tree's digest.
func (t Tree) Digest() Digest { return t.digest }

// Len returns the number of nodes that are set.
func (t Tree) Len() int { return t.size }

// Get returns what the node at path sets itself, and whether it is set.
func (t Tree) Get(path Path) (Values, bool) {
	n := t.find(path)
	if n == nil {
		return Values{}, false
	}
	return n.values, n.set
}

// With returns the tree with the node's own values replaced.
func (t Tree) With(path Path, values Values) Tree {
	b := newBuilder(t)
	b.set(path, &values)
	return b.tree
}

// Without returns the tree with the node no longer set. Nodes below it stay.
func (t Tree) Without(path Path) Tree {
	b := newBuilder(t)
	b.set(path, nil)
	return b.tree
}

// All yields the nodes that are set, a node before those below it, in order of
// their names.
func (t Tree) All() iter.Seq2[Path, Values] { return t.Under(Path{}) }

// Under yields the node at path and those below it that are set, in order.
func (t Tree) Under(path Path) iter.Seq2[Path, Values] {
	return func(yield func(Path, Values) bool) {
		t.find(path).walk(path.parts(), yield)
	}
}

// Resolve returns what is in force at path: each value from the node nearest to it.
func (t Tree) Resolve(path Path) Values {
	var values Values
	for _, n := range t.line(path) {
		values = n.values.Over(values)
	}
	return values
}

// line returns the existing nodes from the root to path.
func (t Tree) line(path Path) []*node {
	if t.root == nil {
		return nil
	}
	line := []*node{t.root}
	n := t.root
	for _, part := range path.parts() {
		n = n.children[part]
		if n == nil {
			break
		}
		line = append(line, n)
	}
	return line
}

func (t Tree) find(path Path) *node {
	line := t.line(path)
	if len(line) != len(path.parts())+1 {
		return nil
	}
	return line[len(line)-1]
}

func (n *node) walk(parts []string, yield func(Path, Values) bool) bool {
	if n == nil {
		return true
	}
	if n.set && !yield(pathOf(parts), n.values) {
		return false
	}
	for _, name := range slices.Sorted(maps.Keys(n.children)) {
		if !n.children[name].walk(append(parts[:len(parts):len(parts)], name), yield) {
			return false
		}
	}
	return true
}

// builder changes a tree, copying each node once.
type builder struct {
	tree  Tree
	owned map[*node]bool
}

func newBuilder(t Tree) *builder {
	return &builder{tree: t, owned: make(map[*node]bool)}
}

// set replaces the values of one node; nil values mean that it is not set.
// A node above the services that sets nothing counts as not set.
func (b *builder) set(path Path, values *Values) {
	if values != nil && !path.IsService() && values.IsEmpty() {
		values = nil
	}
	old, wasSet := b.tree.Get(path)
	if values == nil && !wasSet {
		return
	}
	if wasSet {
		b.tree.digest -= digestOf(path, old)
		b.tree.size--
	}
	if values != nil {
		b.tree.digest += digestOf(path, *values)
		b.tree.size++
	}
	b.tree.root = b.replace(b.tree.root, path.parts(), values)
}

// replace returns a copy of n with the node at parts changed, or nil if nothing is left.
func (b *builder) replace(n *node, parts []string, values *Values) *node {
	n = b.own(n)
	switch {
	case len(parts) > 0:
		child := b.replace(n.children[parts[0]], parts[1:], values)
		if child == nil {
			delete(n.children, parts[0])
		} else {
			n.children[parts[0]] = child
		}
	case values == nil:
		n.values, n.set = Values{}, false
	default:
		n.values, n.set = *values, true
	}
	if !n.set && len(n.children) == 0 {
		return nil
	}
	return n
}

func (b *builder) own(n *node) *node {
	if b.owned[n] {
		return n
	}
	fresh := &node{children: make(map[string]*node)}
	if n != nil {
		fresh.values, fresh.set = n.values, n.set
		maps.Copy(fresh.children, n.children)
	}
	b.owned[fresh] = true
	return fresh
}

func digestOf(path Path, values Values) Digest {
	hash := xxhash.New()
	// Writing to a hash does not fail.
	_, _ = hash.WriteString(path.String())
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(values.encode())
	return Digest(hash.Sum64())
}
