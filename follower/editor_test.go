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

func number(n int) *int { return &n }

// propose returns a change of max_flows at one node of the document.
func propose(random *rand.Rand, document *settings.Document, author string, path settings.Path) audit.Change {
	var id [16]byte
	binary.BigEndian.PutUint64(id[:], random.Uint64())
	before, ok := document.Tree().Get(path)
	after := before
	after.MaxFlows = number(1 + random.IntN(1e6))
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

// commit has a change at path accepted and returns it.
func commit(t testing.TB, editor *follower.Editor, random *rand.Rand, path settings.Path) audit.Change {
	t.Helper()
	state, err := editor.Load(t.Context())
	assert.NilError(t, err)
	accepted, err := editor.Submit(t.Context(), propose(random, state.Document, "kari", path))
	assert.NilError(t, err)
	return accepted
}

// outcome is what an operator learnt of a change.
type outcome uint8

const (
	_accepted outcome = iota + 1
	_refused
	_unknown
	_read
)

// operation is one operation in a porcupine history: a submission by id, or a
// read of the head's revision and latest change.
type operation struct {
	outcome  outcome
	id       audit.ChangeID
	revision settings.Revision
}

// register is the state of the porcupine model: the last accepted change.
type register struct {
	revision settings.Revision
	id       audit.ChangeID
}

// _model is a register that each accepted change moves by exactly one. A
// submission of unknown outcome may have moved it or not.
var _model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		now, op := state.(register), output.(operation)
		next := register{revision: now.revision + 1, id: op.id}
		switch op.outcome {
		case _accepted:
			if op.revision == next.revision {
				return []any{next}
			}
			return nil
		case _read:
			if (register{op.revision, op.id}) == now {
				return []any{now}
			}
			return nil
		case _unknown:
			return []any{now, next}
		default:
			return []any{now}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// operator submits changes and reads the head, and records what it learns.
type operator struct {
	tomb    tomb.Tomb
	store   *store
	editor  *follower.Editor
	random  *rand.Rand
	client  int
	steps   int
	history []porcupine.Operation
	learnt  map[audit.ChangeID]operation
}

// _nodes are edited by the operators: eight services, and what is above them.
const _nodes = 12

// node returns the path of the i-th node.
func node(i int) settings.Path {
	if i >= 8 {
		return parsePath([]string{"/", "akl", "akl/akl-a", "oslo/oslo-b"}[i-8])
	}
	region := []string{"akl", "oslo"}[i%2]
	return parsePath(fmt.Sprintf("%s/%s-%c/service-%d", region, region, 'a'+rune(i/2%2), i))
}

// first is the change that makes all services.
func first() audit.Change {
	change := propose(rand.New(rand.NewPCG(0, 0)), nil, "kari", settings.Path{})
	root := change.Edits[0].After
	root.MaxFlowsPerUpstream, root.Slots, root.QueueLength, root.MaxHosts = number(9), number(4), number(9), number(9)
	for i := range 8 {
		id := service.ID(i + 1)
		values := settings.Values{ID: &id, Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 443)}}
		change.Edits = append(change.Edits, settings.Edit{Path: node(i), After: &values})
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
		// Services are edited more often than what is above them.
		path := node(min(o.random.IntN(_nodes), o.random.IntN(_nodes), o.random.IntN(_nodes)))
		change := propose(o.random, state.Document, fmt.Sprint(o.client), path)
		if o.random.IntN(8) == 0 {
			// Too large for the head, as are the node's later edits.
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
	o.learnt[change.ID] = op
	return op
}

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

func (o *operator) record(id audit.ChangeID, do func() operation) {
	call := time.Now().UnixNano()
	op := do()
	end := time.Now().UnixNano()
	if op.outcome == _unknown {
		end = 1 << 62
	}
	o.history = append(o.history, porcupine.Operation{ClientId: o.client, Input: id, Output: op, Call: call, Return: end})
}

// TestConcurrentEdits has several operators edit overlapping branches while
// answers are lost, writes land late, reads are stale and outages come and go.
// The history must be that of one register, and the accepted changes must be
// exactly those that operators were told of, in an order that honours branches.
func TestConcurrentEdits(t *testing.T) {
	steps := 30
	if testing.Short() {
		steps = 8
	}
	for i, f := range []faults{
		{refuse: 0.1, lose: 0.5, stale: 0.5},
		{lose: 0.2},
		{refuse: 0.2, stale: 0.2},
	} {
		seed := uint64(i)
		synctest.Test(t, func(t *testing.T) {
			s := newStore(seed)
			initial, err := follower.NewEditor(s).Submit(context.Background(), first())
			assert.NilError(t, err)
			s.set(f)
			operators := make([]*operator, 4)
			for i := range operators {
				operators[i] = &operator{
					store:  s,
					editor: follower.NewEditor(s),
					random: rand.New(rand.NewPCG(seed, uint64(i+1))),
					client: i,
					steps:  steps,
					learnt: make(map[audit.ChangeID]operation),
				}
				operators[i].tomb.Go(operators[i].run)
			}
			// Some outages outlast what a submission waits for.
			for _, outage := range []time.Duration{20 * time.Second, time.Second, 30 * time.Second, 20 * time.Second} {
				time.Sleep(300 * time.Millisecond)
				s.set(faults{outage: true})
				time.Sleep(outage)
				s.set(f)
			}
			history := []porcupine.Operation{{Input: initial.ID, Output: operation{_accepted, initial.ID, 1}}}
			for _, o := range operators {
				_ = o.tomb.Wait()
				history = append(history, o.history...)
			}
			s.set(faults{})
			result := porcupine.CheckOperationsTimeout(_model.ToModel(), history, time.Minute)
			assert.Equal(t, result, porcupine.Ok)
			checkAccepted(t, s, operators)
		})
	}
}

// checkAccepted compares the audit trail with what the operators learnt.
func checkAccepted(t *testing.T, s *store, operators []*operator) {
	editor := follower.NewEditor(s)
	accepted, err := editor.Changes(context.Background(), 0)
	assert.NilError(t, err)
	at := make(map[audit.ChangeID]settings.Revision)
	tree := settings.Tree{}
	for i, change := range accepted {
		assert.Equal(t, change.Revision, settings.Revision(i+1))
		assert.Assert(t, at[change.ID] == 0, "change %s is applied twice", change.ID)
		at[change.ID] = change.Revision
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
		for id, op := range o.learnt {
			switch op.outcome {
			case _accepted:
				assert.Equal(t, at[id], op.revision, "an accepted change is lost or elsewhere")
			case _refused:
				assert.Equal(t, at[id], settings.Revision(0), "a refused change is in force")
			}
		}
	}
}

func TestRefusalShowsBothEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		editor := follower.NewEditor(newStore(1))
		random := rand.New(rand.NewPCG(1, 1))
		state, err := editor.Load(t.Context())
		assert.NilError(t, err)
		first := propose(random, state.Document, "kari", parsePath("akl/akl-a"))
		second := propose(random, state.Document, "aroha", parsePath("akl"))
		third := propose(random, state.Document, "ola", parsePath("oslo"))
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

// TestLargeChangesAreKeptApart applies many edits at once, and refuses a second
// set of edits under the same change id.
func TestLargeChangesAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(1)
		editor := follower.NewEditor(s)
		change := propose(rand.New(rand.NewPCG(1, 1)), nil, "kari", parsePath("akl"))
		for i := range 200 {
			path := parsePath(fmt.Sprintf("akl/akl-%d", i))
			change.Edits = append(change.Edits, settings.Edit{Path: path, After: &settings.Values{MaxFlows: number(i + 1)}})
		}
		_, err := editor.Submit(t.Context(), change)
		assert.NilError(t, err)
		other := change
		other.Edits = change.Edits[:150]
		_, err = editor.Submit(t.Context(), other)
		assert.ErrorContains(t, err, "used for other edits")
		late := change
		late.ID = audit.NewChangeID([16]byte{1})
		_, err = editor.Submit(t.Context(), late)
		assert.ErrorContains(t, err, "has changed since")
		assert.Assert(t, s.current(audit.EditsKey(late.ID)).Value == nil, "a refused change keeps no edits")
		assert.Assert(t, len(s.current(audit.HeadKey).Value) < 2*audit.MaxInlineSize)
		changes, err := follower.NewEditor(s).Changes(t.Context(), 0)
		assert.NilError(t, err)
		assert.DeepEqual(t, changes[0].Edits, change.Edits)
		state, err := follower.NewEditor(s).Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Document.Tree().Len(), 201)
	})
}
