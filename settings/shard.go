package settings

// RootShard is the name of the shard that holds the root and the regions.
const RootShard = "root"

// ShardOf returns the name of the shard that holds the node at path. Each place
// forms a shard together with its services, named by the place's path. The root and
// the regions are in RootShard.
func ShardOf(path Path) string {
	if path.Place == "" {
		return RootShard
	}
	return Path{Region: path.Region, Place: path.Place}.String()
}

// Shards splits the tree into shards by name. Merge reassembles them.
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

// Merge returns the tree with all set nodes of the other trees copied into it.
func (t Tree) Merge(others ...Tree) Tree {
	b := newBuilder(t)
	for _, other := range others {
		for path, values := range other.All() {
			b.set(path, &values)
		}
	}
	return b.tree
}
