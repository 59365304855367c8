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

func path(t assert.TestingT, text string) settings.Path {
	p, err := settings.ParsePath(text)
	assert.NilError(t, err)
	return p
}

func change(n int, base settings.Revision, edits ...settings.Edit) audit.Change {
	var id [16]byte
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	return audit.Change{
		ID: audit.NewChangeID(id), Base: base, Author: "kari", Reason: "test", Edits: edits,
		Time: time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC),
	}
}

// edit returns the edit that sets max_flows at a path.
func edit(t assert.TestingT, tree settings.Tree, at string, flows int) settings.Edit {
	before, ok := tree.Get(path(t, at))
	after := before
	after.MaxFlows = &flows
	e := settings.Edit{Path: path(t, at), After: &after}
	if ok {
		e.Before = &before
	}
	return e
}

// TestHeadAgainstAList commits changes and moves batches out, and compares the
// head with a plain list of all changes and trees.
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
				leaving := head.Leaving()
				batches[audit.BatchKey(leaving.Changes[0].Revision)] = leaving
				for _, gone := range head.Expired() {
					delete(shards, audit.ShardKey(gone.Revision, gone.Shard))
				}
				head = head.WithSnapshot(snapshot(head, tree, shards))
			}
			verdict, err := audit.Judge(head, tree, c, nil)
			assert.NilError(t, err)
			next := verdict.(audit.Accepted).Tree
			head, c, err = head.With(c, next)
			assert.NilError(t, err)
			all, trees = append(all, c), append(trees, next)
		}
		data, err := json.Marshal(head)
		assert.NilError(t, err)
		var back audit.Head
		assert.NilError(t, json.Unmarshal(data, &back))
		assert.DeepEqual(t, back, head)

		since := settings.Revision(rapid.IntRange(0, len(all)).Draw(t, "since"))
		recent, whole := head.After(since)
		assert.Equal(t, whole, since+1 >= head.Oldest())
		if whole {
			assert.Equal(t, fmt.Sprint(recent), fmt.Sprint(all[since:]))
		}
		for _, c := range all[:head.Oldest()-1] {
			batch := batches[audit.BatchKey(c.Revision)]
			assert.DeepEqual(t, batch.Changes[c.Revision-audit.BatchOf(c.Revision)], c)
		}
		kept := settings.Tree{}
		for name, revision := range head.Snapshot.Shards {
			kept = kept.Merge(shards[audit.ShardKey(revision, name)])
		}
		assert.Equal(t, kept.Digest(), trees[head.Snapshot.Revision].Digest())
		_, whole = head.After(head.Snapshot.Revision)
		assert.Assert(t, whole, "the changes reach back to the snapshot")
		assert.Assert(t, len(shards) <= 3*8, "%d shards are kept", len(shards))
	})
}

// snapshot keeps the shards that differ from the last snapshot's.
func snapshot(head audit.Head, tree settings.Tree, kept map[string]settings.Tree) map[string]settings.Revision {
	names := map[string]settings.Revision{}
	for name, shard := range tree.Shards() {
		names[name] = head.Snapshot.Shards[name]
		if old := kept[audit.ShardKey(names[name], name)]; names[name] == 0 || old.Digest() != shard.Digest() {
			names[name] = head.Revision
			kept[audit.ShardKey(head.Revision, name)] = shard
		}
	}
	return names
}

// TestJudge proposes one change after others were accepted.
func TestJudge(t *testing.T) {
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
		{"first", nil, settings.Edit{Path: orders, After: limits(1)}, ""},
		{"another branch", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: rounds, After: limits(2)}, ""},
		{"the same node", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: orders, After: limits(1)}, "has changed since revision 0"},
		{"a node below", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: path(t, "akl"), After: &settings.Values{MaxFlows: new(int)}}, "has changed since revision 0"},
		{"a used id", []settings.Edit{{Path: orders, After: limits(1)}}, settings.Edit{Path: rounds, After: limits(1)}, "id: 1 is used by"},
		{"a retired id", []settings.Edit{{Path: orders, After: limits(1)}, {Path: orders, Before: limits(1)}}, settings.Edit{Path: rounds, After: limits(1)}, "1 was the id of orders"},
		{"an id that comes back", []settings.Edit{{Path: orders, After: limits(1)}, {Path: orders, Before: limits(1)}}, settings.Edit{Path: path(t, "akl/akl-b/orders"), After: limits(1)}, ""},
		{"an id still used elsewhere", []settings.Edit{{Path: orders, After: limits(1)}, {Path: path(t, "akl/akl-b/orders"), After: limits(1)}, {Path: orders, Before: limits(1)}}, settings.Edit{Path: rounds, After: limits(2)}, ""},
		{"not what was seen", nil, settings.Edit{Path: orders, Before: limits(1), After: limits(1)}, "not as the edit expects"},
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
		verdict, err := audit.Judge(head, tree, change(99, 0, tt.mine), head.Recent)
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

func TestChangesAreChecked(t *testing.T) {
	e := settings.Edit{After: &settings.Values{}}
	good := change(1, 0, e)
	assert.NilError(t, good.Validate())
	spoil := []func(*audit.Change){
		func(c *audit.Change) { c.ID = "12" },
		func(c *audit.Change) { c.ID = audit.ChangeID(strings.Repeat("G", 32)) },
		func(c *audit.Change) { c.Author = " " },
		func(c *audit.Change) { c.Reason = "two\nlines" },
		func(c *audit.Change) { c.Reason = strings.Repeat("x", 2000) },
		func(c *audit.Change) { c.Time = time.Time{} },
		func(c *audit.Change) { c.Edits = nil },
		func(c *audit.Change) { c.Edits = []settings.Edit{e, e} },
	}
	for i, f := range spoil {
		bad := good
		f(&bad)
		assert.ErrorContains(t, bad.Validate(), "", "spoiled in way %d", i)
		data, err := json.Marshal(bad)
		assert.NilError(t, err)
		var back audit.Change
		assert.ErrorContains(t, json.Unmarshal(data, &back), "", "spoiled in way %d", i)
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
		var back audit.Head
		assert.NilError(t, json.Unmarshal(again, &back))
		_, whole := head.After(head.Snapshot.Revision)
		assert.Assert(t, whole)
	})
}
