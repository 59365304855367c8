package main

import (
	"time"

	"gopkg.in/tomb.v2"
)

// pauseUnlessDying waits for d, or until the owner of t is told to end.
func pauseUnlessDying(t *tomb.Tomb, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.Dying():
	}
}
