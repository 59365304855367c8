package settings

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Tree is an immutable tree of values. Trees share unchanged nodes: an edit copies
// only the nodes from the root to the edited node. The zero Tree is empty.
type Tree struct {
	root   *node
	digest Digest
	size   int
}

// Digest is a checksum of a tree. Trees with the same nodes and values have the
// same digest, regardless of the edits that produced them.
type Digest uint64

// node is one node of a tree. It may be shared between trees, and is not modified
// once its builder is done.
type node struct {
	values   Values
	set      bool // false if the node only has descendants that are set
	children map[string]*node
}

// Digest returns the tree's digest.
func (t Tree) Digest() Digest { return t.digest }

// Len returns the number of nodes that are set.
func (t Tree) Len() int { return t.size }

// Get returns the node's own values, and whether the node is set.
func (t Tree) Get(path Path) (Values, bool) {
	n := t.find(path)
	if n == nil {
		return Values{}, false
	}
	return n.values, n.set
}

// With returns the tree with the node's own values replaced by values.
func (t Tree) With(path Path, values Values) Tree {
	b := newBuilder(t)
	b.set(path, &values)
	return b.tree
}

// Without returns the tree with the node unset. Its descendants stay set.
func (t Tree) Without(path Path) Tree {
	b := newBuilder(t)
	b.set(path, nil)
	return b.tree
}

// All yields the nodes that are set, each before its descendants, and siblings in
// order of their names.
func (t Tree) All() iter.Seq2[Path, Values] { return t.Under(Path{}) }

// Under yields the node at path and its descendants as far as they are set, in the
// order of All.
func (t Tree) Under(path Path) iter.Seq2[Path, Values] {
	return func(yield func(Path, Values) bool) {
		t.find(path).walk(path.parts(), yield)
	}
}

// Resolve returns the values at path after inheritance, without defaults. Each
// value is that of the nearest node that sets it, from path up to the root.
func (t Tree) Resolve(path Path) Values {
	var values Values
	for _, n := range t.nodesAlong(path) {
		values = n.values.InheritFrom(values)
	}
	return values
}

// nodesAlong returns the existing nodes from the root down to path.
func (t Tree) nodesAlong(path Path) []*node {
	if t.root == nil {
		return nil
	}
	nodes := []*node{t.root}
	n := t.root
	for _, part := range path.parts() {
		n = n.children[part]
		if n == nil {
			break
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// find returns the node at path, or nil if it does not exist.
func (t Tree) find(path Path) *node {
	nodes := t.nodesAlong(path)
	if len(nodes) != len(path.parts())+1 {
		return nil
	}
	return nodes[len(nodes)-1]
}

// walk yields those of n and its descendants that are set. parts is the path of n. walk
// returns false if yield returned false.
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

// builder applies several edits to a tree. It copies each changed node only once.
type builder struct {
	tree   Tree
	copied map[*node]bool // nodes made by this builder, which it may modify
}

func newBuilder(t Tree) *builder {
	return &builder{tree: t, copied: make(map[*node]bool)}
}

// set replaces the values of one node; nil unsets the node. A node other than a
// service is also unset by empty values.
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

// replace returns a modifiable copy of n in which the node at parts, relative to n,
// has the given values. It returns nil if the copy is unset and has no children.
func (b *builder) replace(n *node, parts []string, values *Values) *node {
	n = b.writable(n)
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

// writable returns n if this builder made it, and otherwise a copy of n that the
// builder may modify.
func (b *builder) writable(n *node) *node {
	if b.copied[n] {
		return n
	}
	clone := &node{children: make(map[string]*node)}
	if n != nil {
		clone.values, clone.set = n.values, n.set
		maps.Copy(clone.children, n.children)
	}
	b.copied[clone] = true
	return clone
}

// digestOf returns the contribution of one node to the tree's digest, which is the
// sum over all nodes that are set.
func digestOf(path Path, values Values) Digest {
	hash := xxhash.New()
	// Writing to a hash never fails.
	_, _ = hash.WriteString(path.String())
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(values.encode())
	return Digest(hash.Sum64())
}
