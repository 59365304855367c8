package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLoadLevelPercentRoundTrip checks that a load level survives the conversion to the
// percentage in a heartbeat and back.
func TestLoadLevelPercentRoundTrip(t *testing.T) {
	for level := range _maxLoad + 1 {
		assert.Equal(t, levelOf(percentOf(level)), level)
	}
}
