package follower

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/settings"
)

// fetch returns the settings of the process at addr, or current if they are not
// newer. It fetches the changes since current if the peer still has them, and
// all shards of the tree otherwise.
func (f *Follower) fetch(ctx context.Context, addr netip.AddrPort, current candidate) (candidate, error) {
	request := FetchRequest{Since: current.revision}
	if f.options.path.IsService() {
		request.Path = f.options.path.String()
	}
	reply, err := f.call(ctx, addr, request)
	if err != nil {
		return current, err
	}
	if reply.Revision <= current.revision {
		return current, nil
	}
	switch {
	case f.options.path.IsService():
		return reply.serviceCandidate(f.options.path)
	case len(reply.Changes) > 0:
		return reply.replayChanges(current)
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

// serviceCandidate returns a candidate whose tree holds only the service at
// path, or is empty if the reply holds no such service.
func (r FetchReply) serviceCandidate(path settings.Path) (candidate, error) {
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

// replayChanges returns the candidate that results from applying the reply's
// changes to current.
func (r FetchReply) replayChanges(current candidate) (candidate, error) {
	var changes []audit.Change
	if err := json.Unmarshal(r.Changes, &changes); err != nil {
		return current, trace.Wrap(err, "changes up to revision %d", r.Revision)
	}
	tree, err := replay(current.tree, changes, r.Digest)
	if err != nil {
		return current, err
	}
	return candidate{revision: r.Revision, tree: tree, changes: changes}, nil
}

// fetchShards fetches all shards that the reply names and merges them into one
// tree. It returns a CompareFailed error if the tree does not have the reply's
// digest.
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
