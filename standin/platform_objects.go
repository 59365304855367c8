package standin

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"dandelionhitch.example/platform"
)

const (
	// _platformMaxPrevious is the number of previous versions of an object that are
	// retained for stale reads.
	_platformMaxPrevious = 8
	// _platformMaxEvents is the default number of events that are retained for watches.
	_platformMaxEvents = 10_000
	// _platformPageSize is the maximum number of objects in a page of a list.
	_platformPageSize = 500
)

// platformObjects stores the objects of a Platform. All versions come from one
// counter, so that an object that is created again has a higher version than the
// deleted one.
type platformObjects struct {
	mu      sync.Mutex
	version platform.Version
	entries map[string]*platformEntry
	// events are the most recent changes, the oldest first, and lastDropped is the
	// version of the latest change that is no longer among them.
	events      []platformEvent
	maxEvents   int
	lastDropped platform.Version
	changed     chan struct{}
	// era counts the copies from which the objects were restored, from one.
	era int
}

// platformEntry is an object with its previous versions. It is retained when the
// object is deleted.
type platformEntry struct {
	current  platform.Object
	exists   bool
	previous []platform.Object
}

// platformEvent is a change of an object, with the object's kind.
type platformEvent struct {
	kind    string
	version platform.Version
	event   platform.Event
}

func newPlatformObjects() *platformObjects {
	return &platformObjects{
		version: 1, entries: make(map[string]*platformEntry), maxEvents: _platformMaxEvents, changed: make(chan struct{}),
		era: 1,
	}
}

// get returns an object: the current version if versionsBehind is zero, and otherwise the
// version that many versions earlier. If fewer versions are retained, it returns the oldest
// of them.
func (o *platformObjects) get(key string, versionsBehind int) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry, ok := o.entries[key]
	if !ok {
		return platform.Object{}, false
	}
	if versionsBehind > 0 && len(entry.previous) > 0 {
		return entry.previous[max(0, len(entry.previous)-versionsBehind)], true
	}
	return entry.current, entry.exists
}

// list returns a page of the objects of a kind whose names are greater than after,
// in the order of their names.
func (o *platformObjects) list(kind, after string) platform.Listing {
	o.mu.Lock()
	defer o.mu.Unlock()
	page := platform.Listing{Items: []platform.StoredObject{}, StoreRevision: o.version.Revision()}
	for key, entry := range o.entries {
		objectKind, name := platform.SplitKey(key)
		if entry.exists && objectKind == kind && name > after {
			page.Items = append(page.Items, toStored(entry.current))
		}
	}
	slices.SortFunc(page.Items, func(a, b platform.StoredObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	if len(page.Items) > _platformPageSize {
		page.Items, page.HasMore = page.Items[:_platformPageSize], true
	}
	return page
}

// eventsSince returns the events of a kind after a version, whether the store has that
// version and still retains all events after it, and a channel that is closed at the next
// change of any object.
func (o *platformObjects) eventsSince(kind string, version platform.Version) (platform.Events, bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events := platform.Events{Events: []platform.Event{}, StoreRevision: o.version.Revision()}
	for _, e := range o.events {
		if e.kind == kind && e.version > version {
			events.Events = append(events.Events, e.event)
		}
	}
	return events, version >= o.lastDropped && version <= o.version, o.changed
}

// put writes a value if the object's version is the expected one, which is zero for an
// object that does not exist. It returns the current object, and whether the value was
// written.
func (o *platformObjects) put(key string, value json.RawMessage, expected platform.Version) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry := o.entry(key)
	if entry.version() != expected {
		return entry.object(), false
	}
	entry.savePrevious()
	o.version++
	entry.current = platform.Object{Key: key, Value: value, Version: o.version}
	entry.exists = true
	o.notify(entry.current, false)
	return entry.current, true
}

// remove removes an object if its version is the expected one. It returns the object
// as it was before, and whether it was removed.
func (o *platformObjects) remove(key string, expected platform.Version) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry := o.entry(key)
	if entry.version() != expected {
		return entry.object(), false
	}
	entry.savePrevious()
	entry.exists = false
	o.version++
	o.notify(entry.current, true)
	return entry.current, true
}

// copyOf returns a copy of the objects and the retained events.
func (o *platformObjects) copyOf() PlatformCopy {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := PlatformCopy{version: o.version, lastDropped: o.lastDropped, events: slices.Clone(o.events), entries: make(map[string]platformEntry)}
	for key, entry := range o.entries {
		c.entries[key] = entry.clone()
	}
	return c
}

// restore replaces the objects and events by those of a copy, and begins a new era.
func (o *platformObjects) restore(c PlatformCopy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.era++
	o.version, o.lastDropped, o.events = c.version, c.lastDropped, slices.Clone(c.events)
	o.entries = make(map[string]*platformEntry, len(c.entries))
	for key, entry := range c.entries {
		restored := entry.clone()
		o.entries[key] = &restored
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// currentEra returns the number of copies from which the objects were restored, plus one.
func (o *platformObjects) currentEra() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era
}

func (o *platformObjects) entry(key string) *platformEntry {
	entry, ok := o.entries[key]
	if !ok {
		entry = &platformEntry{}
		o.entries[key] = entry
	}
	return entry
}

// notify records the change that led to the current version, and wakes waiting watches.
func (o *platformObjects) notify(object platform.Object, deleted bool) {
	kind, _ := platform.SplitKey(object.Key)
	o.events = append(o.events, platformEvent{
		kind: kind, version: o.version, event: platform.Event{Deleted: deleted, Object: toStored(object)},
	})
	if excess := len(o.events) - o.maxEvents; excess > 0 {
		o.lastDropped = o.events[excess-1].version
		o.events = slices.Delete(o.events, 0, excess)
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// object returns the current object, or the zero Object if it does not exist.
func (e *platformEntry) object() platform.Object {
	if !e.exists {
		return platform.Object{}
	}
	return e.current
}

func (e *platformEntry) clone() platformEntry {
	return platformEntry{current: e.current, exists: e.exists, previous: slices.Clone(e.previous)}
}

func (e *platformEntry) version() platform.Version { return e.object().Version }

func (e *platformEntry) savePrevious() {
	if !e.exists {
		return
	}
	e.previous = append(e.previous, e.current)
	if len(e.previous) > _platformMaxPrevious {
		e.previous = e.previous[1:]
	}
}
