package audit

import (
	"fmt"
	"maps"

	"dandelionhitch.example/service"
	"dandelionhitch.example/settings"
)

// RetiredIDs maps service IDs that were removed from a node of the tree to the
// service that used them. That service may still use the ID at another place. No
// other service may use it: callers may still hold connection IDs that contain it.
type RetiredIDs map[service.ID]service.Name

// check returns a finding for each edit that assigns a retired ID to a service
// other than its former one.
func (r RetiredIDs) check(edits []settings.Edit) settings.Findings {
	var findings settings.Findings
	for _, edit := range edits {
		id := idOf(edit.After)
		if name, retired := r[id]; retired && name != edit.Path.Name {
			findings = append(findings, settings.Finding{
				Path:    edit.Path,
				Field:   "id",
				Message: fmt.Sprintf("%d was the id of %s; an id is never reused for another service", id, name),
			})
		}
	}
	return findings
}

// withRetired returns the retired IDs after the edits were accepted.
func (r RetiredIDs) withRetired(edits []settings.Edit) RetiredIDs {
	retired := make(RetiredIDs)
	for _, edit := range edits {
		if id := idOf(edit.Before); id != 0 && id != idOf(edit.After) {
			retired[id] = edit.Path.Name
		}
	}
	if len(retired) == 0 {
		return r
	}
	maps.Copy(retired, r)
	return retired
}

// idOf returns the service ID that the values set, or zero if they set none.
func idOf(values *settings.Values) service.ID {
	if values == nil || values.ID == nil {
		return 0
	}
	return *values.ID
}
