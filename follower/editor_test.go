package follower_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/follower"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

func parsePath(text string) settings.Path {
	path, err := settings.ParsePath(text)
	if err != nil {
		panic(err)
	}
	return path
}

func intPtr(n int) *int { return &n }

// newChange returns a proposed change that sets max_flows at one node of the
// document to a random value.
func newChange(random *rand.Rand, document *settings.Document, author string, path settings.Path) audit.Change {
	var id [16]byte
	binary.BigEndian.PutUint64(id[:], random.Uint64())
	before, ok := document.Tree().Get(path)
	after := before
	after.MaxFlows = intPtr(1 + random.IntN(1e6))
	edit := settings.Edit{Path: path, After: &after}
	if ok {
		edit.Before = &before
	}
	return audit.Change{
		ID:     audit.NewChangeID(id),
		Base:   document.Revision(),
		Author: author,
		Reason: "test",
		Time:   time.Now(),
		Edits:  []settings.Edit{edit},
	}
}

// commitChange submits a change of the node at path and returns it as accepted.
func commitChange(t testing.TB, editor *follower.Editor, random *rand.Rand, path settings.Path) audit.Change {
	t.Helper()
	state, err := editor.Load(t.Context())
	assert.NilError(t, err)
	accepted, err := editor.Submit(t.Context(), newChange(random, state.Document, "kari", path))
	assert.NilError(t, err)
	return accepted
}

// outcome is the result of an operation as the operator observed it.
type outcome uint8

const (
	_accepted outcome = iota + 1
	_refused
	_unknown
	_read
)

// operation is one operation in a porcupine history: the submission of the change
// id, or a read that returned the head's revision and the id of its latest change.
type operation struct {
	outcome  outcome
	id       audit.ChangeID
	revision settings.Revision
}

// register is the state of the porcupine model: the latest accepted change.
type register struct {
	revision settings.Revision
	id       audit.ChangeID
}

// _model is a register whose revision each accepted change raises by exactly one.
// A submission of unknown outcome may or may not have changed it.
var _model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		current, op := state.(register), output.(operation)
		next := register{revision: current.revision + 1, id: op.id}
		switch op.outcome {
		case _accepted:
			if op.revision == next.revision {
				return []any{next}
			}
			return nil
		case _read:
			if (register{op.revision, op.id}) == current {
				return []any{current}
			}
			return nil
		case _unknown:
			return []any{current, next}
		default:
			return []any{current}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// operator submits changes, reads the head, and records the outcomes.
type operator struct {
	tomb    tomb.Tomb
	store   *store
	editor  *follower.Editor
	random  *rand.Rand
	client  int
	steps   int
	history []porcupine.Operation
	results map[audit.ChangeID]operation
}

// _nodeCount is the number of nodes that operators edit: eight services and four
// of their ancestors.
const _nodeCount = 12

// nodePath returns the path of the i-th edited node.
func nodePath(i int) settings.Path {
	if i >= 8 {
		return parsePath([]string{"/", "akl", "akl/akl-a", "oslo/oslo-b"}[i-8])
	}
	region := []string{"akl", "oslo"}[i%2]
	return parsePath(fmt.Sprintf("%s/%s-%c/service-%d", region, region, 'a'+rune(i/2%2), i))
}

// initialChange returns the first change, which creates all services.
func initialChange() audit.Change {
	change := newChange(rand.New(rand.NewPCG(0, 0)), nil, "kari", settings.Path{})
	root := change.Edits[0].After
	root.MaxFlowsPerUpstream, root.Slots, root.QueueLength, root.MaxHosts = intPtr(9), intPtr(4), intPtr(9), intPtr(9)
	for i := range 8 {
		id := service.ID(i + 1)
		values := settings.Values{ID: &id, Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 443)}}
		change.Edits = append(change.Edits, settings.Edit{Path: nodePath(i), After: &values})
	}
	return change
}

func (o *operator) run() error {
	for range o.steps {
		state, err := o.editor.Load(context.Background())
		for err != nil {
			time.Sleep(100 * time.Millisecond)
			state, err = o.editor.Load(context.Background())
		}
		// The minimum makes edits of services more frequent than of their ancestors.
		path := nodePath(min(o.random.IntN(_nodeCount), o.random.IntN(_nodeCount), o.random.IntN(_nodeCount)))
		change := newChange(o.random, state.Document, fmt.Sprint(o.client), path)
		if o.random.IntN(8) == 0 {
			// Makes this and all later edits of the node too large for the head.
			after := change.Edits[0].After
			after.LongRoutes = slices.Repeat([]string{"/" + strings.Repeat("x", 200)}, 22)
		}
		time.Sleep(time.Duration(o.random.IntN(40)) * time.Millisecond)
		o.record(change.ID, func() operation { return o.submit(change) })
		o.record("", o.read)
	}
	return nil
}

func (o *operator) submit(change audit.Change) operation {
	accepted, err := o.editor.Submit(context.Background(), change)
	op := operation{outcome: _refused, id: change.ID, revision: accepted.Revision}
	switch {
	case err == nil:
		op.outcome = _accepted
	case platform.IsAmbiguous(err):
		op.outcome = _unknown
	}
	o.results[change.ID] = op
	return op
}

// read returns the revision and the latest change of the current head.
func (o *operator) read() operation {
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	op := operation{outcome: _read}
	var head audit.Head
	if json.Unmarshal(o.store.current(audit.HeadKey).Value, &head) == nil {
		op.revision, op.id = head.Revision, head.Recent[len(head.Recent)-1].ID
	}
	return op
}

// record adds an operation to the history. One of unknown outcome gets an end
// far in the future, because it may still take effect.
func (o *operator) record(id audit.ChangeID, do func() operation) {
	call := time.Now().UnixNano()
	op := do()
	end := time.Now().UnixNano()
	if op.outcome == _unknown {
		end = 1 << 62
	}
	o.history = append(o.history, porcupine.Operation{ClientId: o.client, Input: id, Output: op, Call: call, Return: end})
}

// TestConcurrentEdits guards against lost, duplicated and conflicting changes.
// Several operators edit overlapping branches while replies are lost, writes are
// delayed, reads are stale and outages occur. The history must be linearizable as
// one register, the audit trail must agree with the outcomes reported to the
// operators, and no accepted change may overlap one accepted since its base.
func TestConcurrentEdits(t *testing.T) {
	steps := 30
	if testing.Short() {
		steps = 8
	}
	for i, f := range []faults{
		{refuse: 0.1, loseReply: 0.5, stale: 0.5},
		{loseReply: 0.2},
		{refuse: 0.2, stale: 0.2},
	} {
		seed := uint64(i)
		synctest.Test(t, func(t *testing.T) {
			s := newStore(seed)
			initial, err := follower.NewEditor(s).Submit(context.Background(), initialChange())
			assert.NilError(t, err)
			s.setFaults(f)
			operators := make([]*operator, 4)
			for i := range operators {
				operators[i] = &operator{
					store:   s,
					editor:  follower.NewEditor(s),
					random:  rand.New(rand.NewPCG(seed, uint64(i+1))),
					client:  i,
					steps:   steps,
					results: make(map[audit.ChangeID]operation),
				}
				operators[i].tomb.Go(operators[i].run)
			}
			// Some outages last longer than the submission timeout.
			for _, outage := range []time.Duration{20 * time.Second, time.Second, 30 * time.Second, 20 * time.Second} {
				time.Sleep(300 * time.Millisecond)
				s.setFaults(faults{outage: true})
				time.Sleep(outage)
				s.setFaults(f)
			}
			history := []porcupine.Operation{{Input: initial.ID, Output: operation{_accepted, initial.ID, 1}}}
			for _, o := range operators {
				_ = o.tomb.Wait()
				history = append(history, o.history...)
			}
			s.setFaults(faults{})
			result := porcupine.CheckOperationsTimeout(_model.ToModel(), history, time.Minute)
			assert.Equal(t, result, porcupine.Ok)
			checkAuditTrail(t, s, operators)
		})
	}
}

// checkAuditTrail compares the audit trail with the outcomes reported to the
// operators.
func checkAuditTrail(t *testing.T, s *store, operators []*operator) {
	editor := follower.NewEditor(s)
	accepted, err := editor.Changes(context.Background(), 0)
	assert.NilError(t, err)
	revisions := make(map[audit.ChangeID]settings.Revision)
	tree := settings.Tree{}
	for i, change := range accepted {
		assert.Equal(t, change.Revision, settings.Revision(i+1))
		assert.Assert(t, revisions[change.ID] == 0, "change %s was accepted twice", change.ID)
		revisions[change.ID] = change.Revision
		for _, other := range accepted[change.Base:i] {
			assert.Assert(t, !change.Overlaps(other), "revision %d, based on %d, overlaps revision %d", change.Revision, change.Base, other.Revision)
		}
		for _, edit := range change.Edits {
			tree = tree.With(edit.Path, *edit.After)
		}
	}
	state, err := editor.Load(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, state.Document.Tree().Digest(), tree.Digest())
	for _, o := range operators {
		for id, op := range o.results {
			switch op.outcome {
			case _accepted:
				assert.Equal(t, revisions[id], op.revision, "an accepted change is missing or has another revision")
			case _refused:
				assert.Equal(t, revisions[id], settings.Revision(0), "a refused change is in force")
			}
		}
	}
}

// TestConflictErrorCarriesBothEdits submits two changes of one branch with the same
// base. The error of the second must carry both changes.
func TestConflictErrorCarriesBothEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		editor := follower.NewEditor(newStore(1))
		random := rand.New(rand.NewPCG(1, 1))
		state, err := editor.Load(t.Context())
		assert.NilError(t, err)
		first := newChange(random, state.Document, "kari", parsePath("akl/akl-a"))
		second := newChange(random, state.Document, "aroha", parsePath("akl"))
		third := newChange(random, state.Document, "ola", parsePath("oslo"))
		_, err = editor.Submit(t.Context(), first)
		assert.NilError(t, err)
		_, err = editor.Submit(t.Context(), second)
		var conflict *audit.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.DeepEqual(t, conflict.Mine, second)
		assert.Equal(t, len(conflict.Theirs), 1)
		assert.Equal(t, conflict.Theirs[0].Author, "kari")
		assert.DeepEqual(t, conflict.Theirs[0].Edits, first.Edits)
		accepted, err := editor.Submit(t.Context(), third)
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, settings.Revision(2))
		again, err := editor.Submit(t.Context(), first)
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, settings.Revision(1))
	})
}

// TestLargeEditsAreStoredSeparately submits a change that is too large for the
// head. Its edits must be stored in a separate object, different edits under the
// same change id must be refused, and a change refused because of a conflict must
// leave no such object behind.
func TestLargeEditsAreStoredSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(1)
		editor := follower.NewEditor(s)
		change := newChange(rand.New(rand.NewPCG(1, 1)), nil, "kari", parsePath("akl"))
		for i := range 200 {
			path := parsePath(fmt.Sprintf("akl/akl-%d", i))
			change.Edits = append(change.Edits, settings.Edit{Path: path, After: &settings.Values{MaxFlows: intPtr(i + 1)}})
		}
		_, err := editor.Submit(t.Context(), change)
		assert.NilError(t, err)
		other := change
		other.Edits = change.Edits[:150]
		_, err = editor.Submit(t.Context(), other)
		assert.ErrorContains(t, err, "used for other edits")
		stale := change
		stale.ID = audit.NewChangeID([16]byte{1})
		_, err = editor.Submit(t.Context(), stale)
		assert.ErrorContains(t, err, "has changed since")
		assert.Assert(t, s.current(audit.EditsKey(stale.ID)).Value == nil, "edits of a refused change are still stored")
		assert.Assert(t, len(s.current(audit.HeadKey).Value) < 2*audit.MaxInlineSize)
		changes, err := follower.NewEditor(s).Changes(t.Context(), 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, changes[0].Edits, change.Edits)
		state, err := follower.NewEditor(s).Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Document.Tree().Len(), 201)
	})
}
