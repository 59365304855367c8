package dispatcher

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/queue"
	"dandelionhitch.example/settings"
)

// TestLeavingKeepsHandOverBudget checks that a request that has started in the meantime
// takes no handover from the budget when it tries to leave for a peer.
func TestLeavingKeepsHandOverBudget(t *testing.T) {
	policy := func() settings.Service {
		return settings.Service{Limits: settings.Limits{Slots: 1, QueueLength: 1}}
	}
	a, err := newAdmission(policy, zap.NewNop())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, a.close()) }()
	id, replies := a.offer(queue.Request{Deadline: a.now() + 1e9})
	_, started := (<-replies).(queue.Start)
	assert.Assert(t, started)
	full := queue.HandOverBudget()
	burst := 0
	for full.Withdraw() {
		burst++
	}
	assert.Assert(t, !a.leave(id))
	for range burst {
		assert.Assert(t, a.withdraw(_budgetHandOver))
	}
	assert.Assert(t, !a.withdraw(_budgetHandOver))
}
