package settings

// RootShard is the shard that holds the root and what the regions set.
const RootShard = "root"

// ShardOf returns the name of the shard that holds a node: each place with its
// services is a shard, named by its path; all above the places is RootShard.
func ShardOf(path Path) string {
	if path.Place == "" {
		return RootShard
	}
	return Path{Region: path.Region, Place: path.Place}.String()
}

// Shards splits the tree into shards. Merge puts them together again.
func (t Tree) Shards() map[string]Tree {
	builders := make(map[string]*builder)
	for path, values := range t.All() {
		name := ShardOf(path)
		if builders[name] == nil {
			builders[name] = newBuilder(Tree{})
		}
		builders[name].set(path, &values)
	}
	shards := make(map[string]Tree, len(builders))
	for name, b := range builders {
		shards[name] = b.tree
	}
	return shards
}

// Merge returns the tree with all nodes of the others set as they are there.
func (t Tree) Merge(others ...Tree) Tree {
	b := newBuilder(t)
	for _, other := range others {
		for path, values := range other.All() {
			b.set(path, &values)
		}
	}
	return b.tree
}
