package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhitch.example/sidecar"
)

// TestAdmissionMetrics guards against metrics of admission by priority that are missing in the
// export, that have the value of another one, or that the guide and the list of names don't have.
func TestAdmissionMetrics(t *testing.T) {
	var st sidecar.Stats
	st.Displaced, st.Held, st.HeldNow, st.UpstreamRefusals, st.Capacity = 1, 2, 3, 4, 5
	for i := range st.RefusedByPriority {
		st.RefusedByPriority[i], st.ServedByPriority[i] = uint64(10+i), uint64(20+i)
	}
	want := map[string]int64{
		"sidecar_displaced": 1, "sidecar_held": 2, "sidecar_held_now": 3, "sidecar_upstream_refusals": 4, "sidecar_capacity": 5,
		"sidecar_refused_priority_0": 10, "sidecar_refused_priority_7": 17, "sidecar_served_priority_0": 20, "sidecar_served_priority_7": 27,
	}
	values := admissionMetrics(st)
	for name, value := range want {
		assert.Assert(t, slices.Contains(values, metricValue{name, value}), "%s is not %d in %v", name, value, values)
	}
	for _, page := range []string{"OPERATIONS.md", "names.md"} {
		content, err := os.ReadFile(filepath.Join("..", "docs", page))
		assert.NilError(t, err)
		for _, v := range values {
			name := regexp.MustCompile(`_priority_[0-9]$`).ReplaceAllString(v.name, "_priority_")
			assert.Assert(t, strings.Contains(string(content), "`"+name), "%s does not have %s", page, name)
		}
	}
}
