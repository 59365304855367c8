package standin_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/directory"
	"dandelionhitch.example/standin"
)

// _maxControlRate is the limit on a VM's control traffic in one direction, in bytes per
// second.
const _maxControlRate = 11_000

// _datagramHeaders is the size of the IP and UDP headers of a message in bytes.
const _datagramHeaders = 28

// TestLargeFleetDiscovery starts 300 VMs with two services at once. After 5 s relays must
// know all VMs, and sidecars all relays. Control traffic must stay within its limit on
// average over 30 s, which includes the discovery.
func TestLargeFleetDiscovery(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Parallel()
	const relays, hosts = 100, 200
	s := standin.NewSimulation(1)
	var vms []*standin.SimulatedVM
	for i := range relays {
		vms = append(vms, s.AddRelay(fmt.Sprint(i%3)))
	}
	for i := range hosts {
		vms = append(vms, s.AddHost(fmt.Sprint(i%3), fmt.Sprint("service", min(i%3, 1)), nil))
	}
	s.SetTable(directory.New(1, 0, nil))
	s.Run(5 * _seconds)
	for _, vm := range vms {
		if vm.Relay == nil {
			knownRelays, _ := vm.Sidecar.Known()
			assert.Equal(t, knownRelays, relays, "relays known at %v", vm)
			continue
		}
		knownRelays, knownSidecars := vm.Relay.Known()
		assert.Equal(t, knownRelays, relays-1, "relays known at %v", vm)
		assert.Equal(t, knownSidecars, hosts, "sidecars known at %v", vm)
	}
	const span = 30 * _seconds
	s.Run(span)
	for _, vm := range vms {
		for direction, traffic := range map[string]standin.Traffic{"sent": vm.Sent, "got": vm.Received} {
			perSecond := float64(traffic.Bytes+_datagramHeaders*traffic.Messages) / span.Seconds()
			assert.Assert(t, perSecond <= _maxControlRate, "%v %s %.0f B/s", vm, direction, perSecond)
		}
	}
}
