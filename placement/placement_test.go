package placement_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/placement"
)

func TestChoose(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, placement.Choose(nil, random), -1)
	for _, tt := range []struct {
		name       string
		candidates []placement.Candidate
		want       int
	}{
		{"lowest utilization", []placement.Candidate{{Busy: 3, Slots: 4}, {Busy: 0, Slots: 4}}, 1},
		{"own zone", []placement.Candidate{{Busy: 0, Slots: 4}, {Busy: 0, Slots: 4, SameZone: true}}, 1},
		{"other zone if the own zone is overloaded", []placement.Candidate{{Busy: 0, Slots: 4}, {Busy: 6, Slots: 4, SameZone: true}}, 0},
		{"utilization is relative to slots", []placement.Candidate{{Busy: 1, Slots: 1}, {Busy: 2, Slots: 8}}, 1},
	} {
		for range 100 {
			assert.Equal(t, placement.Choose(tt.candidates, random), tt.want, tt.name)
		}
	}
}

// TestChooseSpreadsEqualCandidates checks that processes with the same knowledge do not
// all choose the same upstream.
func TestChooseSpreadsEqualCandidates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, 4)
	for range 1000 {
		counts[placement.Choose([]placement.Candidate{{Slots: 4}, {Slots: 4}, {Slots: 4}, {Slots: 4}}, random)]++
	}
	for _, n := range counts {
		assert.Assert(t, n > 150, "%v", counts)
	}
}

func TestPassOn(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	idle := []placement.Candidate{{Busy: 0, Slots: 2, SameZone: true}}
	assert.Equal(t, placement.PassOn(placement.Candidate{Busy: 1, Slots: 2}, idle, random), -1, "the local upstream has a free slot")
	assert.Equal(t, placement.PassOn(placement.Candidate{Busy: 2, Slots: 2}, idle, random), 0)
	full := []placement.Candidate{{Busy: 2, Slots: 2, SameZone: true}}
	assert.Equal(t, placement.PassOn(placement.Candidate{Busy: 2, Slots: 2}, full, random), -1, "the peer has the same utilization")
}
