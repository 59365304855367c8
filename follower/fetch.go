package follower

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/settings"
)

// fetch returns what the process at addr has in force if it is newer than what
// is known: the changes since, or else all shards of its tree.
func (f *Follower) fetch(ctx context.Context, addr netip.AddrPort, known candidate) (candidate, error) {
	request := FetchRequest{Since: known.revision}
	if f.options.path.IsService() {
		request.Path = f.options.path.String()
	}
	reply, err := f.call(ctx, addr, request)
	if err != nil {
		return known, err
	}
	if reply.Revision <= known.revision {
		return known, nil
	}
	switch {
	case f.options.path.IsService():
		return reply.service(f.options.path)
	case len(reply.Changes) > 0:
		return reply.replay(known)
	default:
		return f.fetchShards(ctx, addr, reply)
	}
}

func (f *Follower) call(ctx context.Context, addr netip.AddrPort, request FetchRequest) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, _fetchTimeout)
	defer cancel()
	reply, err := f.options.fetch(ctx, addr, request)
	return reply, trace.Wrap(err, "fetch settings from %s", addr)
}

// service returns the candidate that holds one service.
func (r FetchReply) service(path settings.Path) (candidate, error) {
	found := candidate{revision: r.Revision}
	if len(r.Service) == 0 {
		return found, nil
	}
	var values settings.Values
	if err := json.Unmarshal(r.Service, &values); err != nil {
		return found, trace.Wrap(err, "settings of %s", path)
	}
	found.tree = settings.Tree{}.With(path, values)
	return found, nil
}

// replay returns the candidate that the reply's changes lead to.
func (r FetchReply) replay(known candidate) (candidate, error) {
	var changes []audit.Change
	if err := json.Unmarshal(r.Changes, &changes); err != nil {
		return known, trace.Wrap(err, "changes up to revision %d", r.Revision)
	}
	tree, err := replay(known.tree, changes, r.Digest)
	if err != nil {
		return known, err
	}
	return candidate{revision: r.Revision, tree: tree, changes: changes}, nil
}

// fetchShards fetches the tree of the reply's revision in parts.
func (f *Follower) fetchShards(ctx context.Context, addr netip.AddrPort, reply FetchReply) (candidate, error) {
	found := candidate{revision: reply.Revision}
	for _, name := range reply.Shards {
		part, err := f.call(ctx, addr, FetchRequest{At: reply.Revision, Shard: name})
		if err != nil {
			return candidate{}, err
		}
		var shard settings.Tree
		if err := json.Unmarshal(part.Tree, &shard); err != nil {
			return candidate{}, trace.Wrap(err, "shard %s", name)
		}
		found.tree = found.tree.Merge(shard)
	}
	if found.tree.Digest() != reply.Digest {
		return candidate{}, trace.CompareFailed("revision %d from %s has digest %d, want %d", reply.Revision, addr, found.tree.Digest(), reply.Digest)
	}
	return found, nil
}
