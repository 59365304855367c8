package soak

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/standin"
)

// TestFlowAtReusedAddressIsBreach opens a flow of the former service at an upstream that has
// taken over the address. This must count as one breach.
func TestFlowAtReusedAddressIsBreach(t *testing.T) {
	h := newHarness(t)
	host := h.hostByService[_orders]
	assert.Assert(t, host.freeAddress(FallsSilent))
	host.reuseAddress()
	host.upstream.Send = func(packet []byte) { h.toCaller = append(h.toCaller, packet) }
	h.deliverUntil(host, h.startCallTo(_ordersAddress), standin.CallAnswered)
	assert.Equal(t, h.breaches(_rightService), 1)
	assert.Equal(t, h.report().FlowsAtReused, 0)
	h.deliverUntil(host, h.startCallTo(_photosAddress), standin.CallAnswered)
	assert.Equal(t, h.breaches(_rightService), 1, "the address belongs to the new service")
	assert.Equal(t, h.report().FlowsAtReused, 1)
}

// TestFreeAddressStaysFree checks that other faults start no upstream at an address that is
// free, and that the last host of a service keeps its address.
func TestFreeAddressStaysFree(t *testing.T) {
	h := newHarness(t)
	host := h.hostByService[_orders]
	assert.Assert(t, !h.hostByService[_photos].freeAddress(FallsSilent), "no other host has the service")
	assert.Assert(t, host.freeAddress(FallsSilent))
	assert.Assert(t, !host.freeAddress(FallsSilent), "the address is free already")
	assert.Assert(t, !h.vms[0].freeAddress(FallsSilent), "no other host has the service")
	host.startUpstreamIfNone()
	assert.Assert(t, host.upstream == nil)
	host.reuseAddress()
	assert.Equal(t, host.service, _photos)
}
