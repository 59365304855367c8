package main

import (
	"context"
	"time"
)

// sleepContext waits for d or until ctx ends, and reports whether d has elapsed.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
