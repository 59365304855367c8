package follower

import (
	"bytes"
	"encoding/json"

	"dandelionhitch.example/audit"
	"dandelionhitch.example/settings"
)

// _maxRecentSize is the maximum size, in octets of JSON, of the changes that a
// process keeps for peers to fetch.
const _maxRecentSize = 256 << 10

// recentChanges is an immutable list of consecutive changes in JSON form, oldest
// first.
type recentChanges struct {
	list []recentChange
	size int // octets of JSON in list
}

type recentChange struct {
	revision settings.Revision
	data     []byte
}

// with returns the list extended by the newer ones of changes, without the
// oldest entries that exceed _maxRecentSize. If changes leave a gap after the
// current revision, the existing entries are dropped.
func (r recentChanges) with(current settings.Revision, changes []audit.Change) recentChanges {
	next := recentChanges{list: r.list[:len(r.list):len(r.list)], size: r.size}
	if len(changes) == 0 || changes[0].Revision > current+1 {
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

// encodeAfter returns the changes after revision since, up to and including last,
// as a JSON list. It returns false if one of them is missing.
func (r recentChanges) encodeAfter(since, last settings.Revision) ([]byte, bool) {
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
