package service_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/service"
)

func TestDecodersRejectInvalidValues(t *testing.T) {
	tests := []struct {
		target any
		good   string
		bad    []string
	}{
		{new(service.Name), `"orders"`, []string{`""`, `"Orders"`, `"-a"`, `"a-"`, `"a.b"`, `7`}},
		{new(service.Place), `"oslo-a"`, []string{`""`, `"oslo a"`, `null1`}},
		{new(service.Region), `"oslo"`, []string{`"øslo"`, `"oslo/a"`}},
		{new(service.ID), `65535`, []string{`0`, `65536`, `-1`, `"7"`}},
		{new(service.State), `"draining"`, []string{`"gone away"`, `""`, `3`}},
	}
	for _, tt := range tests {
		assert.NilError(t, json.Unmarshal([]byte(tt.good), tt.target))
		for _, bad := range tt.bad {
			assert.Assert(t, json.Unmarshal([]byte(bad), tt.target) != nil, "%T accepted %s", tt.target, bad)
		}
	}
}

func TestIncarnationIncreasesWhenClockIsSetBack(t *testing.T) {
	start := service.IncarnationEpoch.Add(time.Hour)
	first := service.IncarnationAt(start)
	assert.Assert(t, service.IncarnationAt(start.Add(time.Second)) > first)
	early := service.IncarnationAt(start.Add(-time.Minute))
	assert.Assert(t, early.After(first) > first)
	assert.Equal(t, service.IncarnationAt(service.IncarnationEpoch.Add(-time.Hour)), service.Incarnation(1))
}

func ExampleCheckAddress() {
	fmt.Println(service.CheckAddress("control address", netip.MustParseAddrPort("[::1]:7001")))
	// Output: control address "[::1]:7001": want an IPv4 address and a port
}
