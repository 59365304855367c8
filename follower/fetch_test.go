package follower

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/settings"
)

// FuzzFetch decodes arbitrary requests and replies of other processes and handles
// them as a follower does.
func FuzzFetch(f *testing.F) {
	path, err := settings.ParsePath("akl/akl-a/orders")
	assert.NilError(f, err)
	for _, message := range []any{
		FetchRequest{Since: 1, Path: "akl/akl-a/orders"},
		FetchRequest{At: 1, Shard: settings.RootShard},
		FetchReply{Revision: 2, Changes: []byte(`[{"id":"00"}]`)},
		FetchReply{Revision: 2, Service: []byte(`{"id":1}`), Shards: []string{settings.RootShard}},
	} {
		data, err := cbor.Marshal(message)
		assert.NilError(f, err)
		f.Add(data)
	}
	document, err := settings.NewDocument(1, settings.Tree{})
	assert.NilError(f, err)
	follower := &Follower{current: currentState{document: document}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request FetchRequest
		if cbor.Unmarshal(data, &request) == nil {
			var reply FetchReply
			_ = follower.Endpoint().Fetch(&request, &reply)
		}
		var reply FetchReply
		if cbor.Unmarshal(data, &reply) != nil || reply.Validate() != nil {
			return
		}
		if found, err := reply.serviceCandidate(path); err == nil {
			_, _ = settings.NewDocument(found.revision, found.tree)
		}
		if found, err := reply.replayChanges(candidate{}); err == nil {
			assert.Equal(t, found.tree.Digest(), reply.Digest)
		}
	})
}
