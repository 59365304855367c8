package agent

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWhole sends requests of two services over many balancers.
func TestWhole(t *testing.T) {
	r := newRig(t, 4, 2, 2)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			svc := i % 2
			client := r.client(svc)
			for range 5 {
				assert.Check(t, r.call(client, svc, 50_000))
			}
		})
	}
	wg.Wait()
}
