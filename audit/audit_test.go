package audit_test

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// path parses a path of the settings tree.
func path(t assert.TestingT, text string) settings.Path {
	p, err := settings.ParsePath(text)
	assert.NilError(t, err)
	return p
}

// change returns a valid change whose ID is derived from n.
func change(n int, base settings.Revision, edits ...settings.Edit) audit.Change {
	var id [16]byte
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	return audit.Change{
		ID: audit.NewChangeID(id), Base: base, Author: "kari", Reason: "test", Edits: edits,
		Time: time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC),
	}
}

// edit returns the edit of the tree that sets max_flows of a node.
func edit(t assert.TestingT, tree settings.Tree, node string, flows int) settings.Edit {
	before, ok := tree.Get(path(t, node))
	after := before
	after.MaxFlows = &flows
	e := settings.Edit{Path: path(t, node), After: &after}
	if ok {
		e.Before = &before
	}
	return e
}

// TestHeadAgainstAList commits random numbers of changes and moves full batches
// out of the head. It checks against a list of all changes and trees that every
// change is in the head or in its batch and that the snapshot is complete.
func TestHeadAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var head audit.Head
		trees := []settings.Tree{{}}
		batches := map[string]audit.Batch{}
		shards := map[string]settings.Tree{}
		all := []audit.Change{}
		for i := range rapid.IntRange(1, 400).Draw(t, "changes") {
			tree := trees[i]
			c := change(i, head.Revision, edit(t, tree, []string{"/", "akl", "akl/akl-a", "oslo/oslo-b"}[i/7%4], i+1))
			if head.IsFull() {
				oldest := head.OldestBatch()
				batches[audit.BatchKey(oldest.Changes[0].Revision)] = oldest
				for _, expired := range head.Expired() {
					delete(shards, audit.ShardKey(expired.Revision, expired.Shard))
				}
				head = head.WithSnapshot(snapshot(head, tree, shards))
			}
			verdict, err := audit.Evaluate(head, tree, c, nil)
			assert.NilError(t, err)
			next := verdict.(audit.Accepted).Tree
			head, c, err = head.With(c, next)
			assert.NilError(t, err)
			all, trees = append(all, c), append(trees, next)
		}
		data, err := json.Marshal(head)
		assert.NilError(t, err)
		var decoded audit.Head
		assert.NilError(t, json.Unmarshal(data, &decoded))
		assert.DeepEqual(t, decoded, head)

		since := settings.Revision(rapid.IntRange(0, len(all)).Draw(t, "since"))
		recent, complete := head.After(since)
		assert.Equal(t, complete, since+1 >= head.Oldest())
		if complete {
			assert.Equal(t, fmt.Sprint(recent), fmt.Sprint(all[since:]))
		}
		for _, c := range all[:head.Oldest()-1] {
			batch := batches[audit.BatchKey(c.Revision)]
			assert.DeepEqual(t, batch.Changes[c.Revision-audit.BatchOf(c.Revision)], c)
		}
		restored := settings.Tree{}
		for name, revision := range head.Snapshot.Shards {
			restored = restored.Merge(shards[audit.ShardKey(revision, name)])
		}
		assert.Equal(t, restored.Digest(), trees[head.Snapshot.Revision].Digest())
		_, complete = head.After(head.Snapshot.Revision)
		assert.Assert(t, complete, "the head must hold all changes since the snapshot")
		assert.Assert(t, len(shards) <= 3*8, "%d shards are stored", len(shards))
	})
}

// snapshot stores the shards of the tree that differ from those of the last
// snapshot. It returns the revision under which each shard is stored.
func snapshot(head audit.Head, tree settings.Tree, stored map[string]settings.Tree) map[string]settings.Revision {
	revisions := map[string]settings.Revision{}
	for name, shard := range tree.Shards() {
		revisions[name] = head.Snapshot.Shards[name]
		if old := stored[audit.ShardKey(revisions[name], name)]; revisions[name] == 0 || old.Digest() != shard.Digest() {
			revisions[name] = head.Revision
			stored[audit.ShardKey(head.Revision, name)] = shard
		}
	}
	return revisions
}

// TestEvaluate proposes a change based on revision 0 after other edits were accepted, and
// checks whether the change is accepted or with which error it is refused.
func TestEvaluate(t *testing.T) {
	limits := func(id service.ID) *settings.Values {
		n := 5
		return &settings.Values{
			ID: &id, Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(id)}), 1)},
			MaxFlows: &n, MaxFlowsPerUpstream: &n, Slots: &n, QueueLength: &n, MaxHosts: &n,
		}
	}
	orders, rounds := path(t, "akl/akl-a/orders"), path(t, "akl/akl-a/rounds")
	tests := []struct {
		name     string
		accepted []settings.Edit
		mine     settings.Edit
		want     string
	}{
		{"first change", nil, settings.Edit{Path: orders, After: limits(1)}, ""},
		{"another branch", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: rounds, After: limits(2)}, ""},
		{"the same node", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: orders, After: limits(1)}, "has changed since revision 0"},
		{"an ancestor of a changed node", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: path(t, "akl"), After: &settings.Values{MaxFlows: new(int)}}, "has changed since revision 0"},
		{"a used id", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: rounds, After: limits(1)}, "id: 1 is used by"},
		{"a retired id", []settings.Edit{{Path: orders, After: limits(1)}, {Path: orders, Before: limits(1)}}, settings.Edit{Path: rounds, After: limits(1)}, "1 was the id of orders"},
		{"a retired id of the same service", []settings.Edit{{Path: orders, After: limits(1)}, {Path: orders, Before: limits(1)}}, settings.Edit{Path: path(t, "akl/akl-b/orders"), After: limits(1)}, ""},
		{"an id still used elsewhere", []settings.Edit{{Path: orders, After: limits(1)}, {Path: path(t, "akl/akl-b/orders"), After: limits(1)}, {Path: orders, Before: limits(1)}}, settings.Edit{Path: rounds, After: limits(2)}, ""},
		{"values before the edit differ", nil, settings.Edit{Path: orders, Before: limits(1), After: limits(1)}, "not as the edit expects"},
	}
	for _, tt := range tests {
		var head audit.Head
		tree := settings.Tree{}
		for i, e := range tt.accepted {
			next, err := tree.Apply(e)
			assert.NilError(t, err, tt.name)
			tree = next
			head, _, err = head.With(change(i, head.Revision, e), tree)
			assert.NilError(t, err, tt.name)
		}
		verdict, err := audit.Evaluate(head, tree, change(99, 0, tt.mine), head.Recent)
		if tt.want == "" {
			assert.NilError(t, err, tt.name)
			assert.Assert(t, verdict.(audit.Accepted).Tree.Len() > 0)
			continue
		}
		assert.ErrorContains(t, err, tt.want, tt.name)
		var conflict *audit.ConflictError
		if errors.As(err, &conflict) {
			assert.DeepEqual(t, conflict.Mine.Edits[0], tt.mine)
		}
	}
}

// TestChangeValidation checks that Validate and UnmarshalJSON reject each kind of
// invalid change.
func TestChangeValidation(t *testing.T) {
	e := settings.Edit{After: &settings.Values{}}
	valid := change(1, 0, e)
	assert.NilError(t, valid.Validate())
	invalidate := []func(*audit.Change){
		func(c *audit.Change) { c.ID = "12" },
		func(c *audit.Change) { c.ID = audit.ChangeID(strings.Repeat("G", 32)) },
		func(c *audit.Change) { c.Author = " " },
		func(c *audit.Change) { c.Reason = "two\nlines" },
		func(c *audit.Change) { c.Reason = strings.Repeat("x", 2000) },
		func(c *audit.Change) { c.Time = time.Time{} },
		func(c *audit.Change) { c.Edits = nil },
		func(c *audit.Change) { c.Edits = []settings.Edit{e, e} },
	}
	for i, f := range invalidate {
		invalid := valid
		f(&invalid)
		assert.ErrorContains(t, invalid.Validate(), "", "case %d", i)
		data, err := json.Marshal(invalid)
		assert.NilError(t, err)
		var decoded audit.Change
		assert.ErrorContains(t, json.Unmarshal(data, &decoded), "", "case %d", i)
	}
}

func FuzzHead(f *testing.F) {
	head, _, _ := audit.Head{}.With(change(1, 0, settings.Edit{After: &settings.Values{}}), settings.Tree{})
	data, _ := json.Marshal(head)
	f.Add(data)
	f.Add([]byte(`{"revision":3,"snapshot":{"revision":9},"recent":[]}`))
	f.Add([]byte(fmt.Sprintf(`{"changes":[%s]}`, data)))
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch audit.Batch
		_ = json.Unmarshal(data, &batch)
		var head audit.Head
		if json.Unmarshal(data, &head) != nil {
			return
		}
		again, err := json.Marshal(head)
		assert.NilError(t, err)
		var decoded audit.Head
		assert.NilError(t, json.Unmarshal(again, &decoded))
		_, complete := head.After(head.Snapshot.Revision)
		assert.Assert(t, complete)
	})
}
