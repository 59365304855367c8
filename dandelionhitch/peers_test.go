package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLoadLevelsSurviveHeartbeats(t *testing.T) {
	for level := range _maxLoad + 1 {
		assert.Equal(t, levelOf(percentOf(level)), level)
	}
}
