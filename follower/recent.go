package follower

import (
	"bytes"
	"encoding/json"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/settings"
)

// _maxRecentSize bounds the changes that a process keeps for others, in octets of JSON.
const _maxRecentSize = 256 << 10

// recentChanges are consecutive changes in their JSON form, oldest first. They
// are immutable.
type recentChanges struct {
	list []recentChange
	size int
}

type recentChange struct {
	revision settings.Revision
	data     []byte
}

// with returns the changes with the newer ones of a list. If they do not
// follow on from the revision that was in force, the older ones are dropped.
func (r recentChanges) with(revision settings.Revision, changes []audit.Change) recentChanges {
	next := recentChanges{list: r.list[:len(r.list):len(r.list)], size: r.size}
	if len(changes) == 0 || changes[0].Revision > revision+1 {
		next = recentChanges{}
	}
	for _, change := range changes {
		if len(next.list) > 0 && change.Revision <= next.list[len(next.list)-1].revision {
			continue
		}
		data, err := json.Marshal(change)
		if err != nil {
			return recentChanges{}
		}
		next.list = append(next.list, recentChange{revision: change.Revision, data: data})
		next.size += len(data)
	}
	for len(next.list) > 0 && next.size > _maxRecentSize {
		next.size -= len(next.list[0].data)
		next.list = next.list[1:]
	}
	return next
}

// after returns a JSON list of the changes above one revision up to another,
// and whether they are all there.
func (r recentChanges) after(since, last settings.Revision) ([]byte, bool) {
	if len(r.list) == 0 || r.list[0].revision > since+1 || r.list[len(r.list)-1].revision != last {
		return nil, false
	}
	var parts [][]byte
	for _, change := range r.list {
		if change.revision > since {
			parts = append(parts, change.data)
		}
	}
	return append(append([]byte("["), bytes.Join(parts, []byte(","))...), ']'), true
}
