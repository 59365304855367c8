package audit

import (
	"fmt"
	"maps"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// RetiredIDs are the numbers that a node has given up, each with the service
// that had it, which may still have it at another place. A number is part of connection IDs that callers may
// still hold, so it is never given to another service.
type RetiredIDs map[service.ID]service.Name

// check returns a finding for each edit that gives a retired number to another service.
func (r RetiredIDs) check(edits []settings.Edit) settings.Findings {
	var findings settings.Findings
	for _, edit := range edits {
		id := idOf(edit.After)
		if name, retired := r[id]; retired && name != edit.Path.Name {
			findings = append(findings, settings.Finding{
				Path:    edit.Path,
				Field:   "id",
				Message: fmt.Sprintf("%d was the id of %s; a number is never given to another service", id, name),
			})
		}
	}
	return findings
}

// withRetired returns the numbers after the edits were accepted.
func (r RetiredIDs) withRetired(edits []settings.Edit) RetiredIDs {
	left := make(RetiredIDs)
	for _, edit := range edits {
		if id := idOf(edit.Before); id != 0 && id != idOf(edit.After) {
			left[id] = edit.Path.Name
		}
	}
	if len(left) == 0 {
		return r
	}
	maps.Copy(left, r)
	return left
}

func idOf(values *settings.Values) service.ID {
	if values == nil || values.ID == nil {
		return 0
	}
	return *values.ID
}
