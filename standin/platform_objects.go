package standin

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"dandelionhitch.example/platform"
)

const (
	// _platformPast is how many older versions of an object are kept for stale reads.
	_platformPast = 8
	// _platformHistory is how many events are kept for watches by default.
	_platformHistory = 10_000
	// _platformPage is how many objects a page of a list has.
	_platformPage = 500
)

// platformObjects keeps the objects of a stand-in platform. Versions come from
// one counter, so that an object that is made again has a higher one.
type platformObjects struct {
	mu      sync.Mutex
	version platform.Version
	states  map[string]*platformState
	// events are the last changes, the oldest first, and forgotten the version of
	// the last one that is no longer among them.
	events    []platformEvent
	history   int
	forgotten platform.Version
	changed   chan struct{}
}

// platformState is one object with its past. It stays after a deletion.
type platformState struct {
	current platform.Object
	exists  bool
	past    []platform.Object
}

// platformEvent is a change of an object of a kind.
type platformEvent struct {
	kind    string
	version platform.Version
	event   platform.Event
}

func newPlatformObjects() *platformObjects {
	return &platformObjects{
		version: 1, states: make(map[string]*platformState), history: _platformHistory, changed: make(chan struct{}),
	}
}

// get returns the object, or the state that it had back versions ago.
func (o *platformObjects) get(key string, back int) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok := o.states[key]
	if !ok {
		return platform.Object{}, false
	}
	if back > 0 && len(state.past) > 0 {
		return state.past[max(0, len(state.past)-back)], true
	}
	return state.current, state.exists
}

// list returns a page of the objects of a kind, from the name behind after.
func (o *platformObjects) list(kind, after string) platform.Listing {
	o.mu.Lock()
	defer o.mu.Unlock()
	page := platform.Listing{Items: []platform.StoredObject{}, StoreRevision: o.version}
	for key, state := range o.states {
		itsKind, name := platform.SplitKey(key)
		if state.exists && itsKind == kind && name > after {
			page.Items = append(page.Items, stored(state.current))
		}
	}
	slices.SortFunc(page.Items, func(a, b platform.StoredObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	if len(page.Items) > _platformPage {
		page.Items, page.HasMore = page.Items[:_platformPage], true
	}
	return page
}

// since returns the events of a kind after a version, whether all of them are
// still known, and a channel that is closed at the next change of any object.
func (o *platformObjects) since(kind string, version platform.Version) (platform.Events, bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events := platform.Events{Events: []platform.Event{}, StoreRevision: o.version}
	for _, e := range o.events {
		if e.kind == kind && e.version > version {
			events.Events = append(events.Events, e.event)
		}
	}
	return events, version >= o.forgotten, o.changed
}

// put writes a value. It returns the object as it is then, and whether it wrote.
func (o *platformObjects) put(key string, value json.RawMessage, expected platform.Version) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	if state.version() != expected {
		return state.object(), false
	}
	state.remember()
	o.version++
	state.current = platform.Object{Key: key, Value: value, Version: o.version}
	state.exists = true
	o.notify(state.current, false)
	return state.current, true
}

// remove removes an object. It returns the object as it was, and whether it did.
func (o *platformObjects) remove(key string, expected platform.Version) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	if state.version() != expected {
		return state.object(), false
	}
	state.remember()
	state.exists = false
	o.version++
	o.notify(state.current, true)
	return state.current, true
}

func (o *platformObjects) state(key string) *platformState {
	state, ok := o.states[key]
	if !ok {
		state = &platformState{}
		o.states[key] = state
	}
	return state
}

// notify remembers the change that made the present version, and wakes watches.
func (o *platformObjects) notify(object platform.Object, deleted bool) {
	kind, _ := platform.SplitKey(object.Key)
	o.events = append(o.events, platformEvent{
		kind: kind, version: o.version, event: platform.Event{Deleted: deleted, Object: stored(object)},
	})
	if excess := len(o.events) - o.history; excess > 0 {
		o.forgotten = o.events[excess-1].version
		o.events = slices.Delete(o.events, 0, excess)
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// object returns the object as it is; one that does not exist has version zero.
func (s *platformState) object() platform.Object {
	if !s.exists {
		return platform.Object{}
	}
	return s.current
}

func (s *platformState) version() platform.Version { return s.object().Version }

func (s *platformState) remember() {
	if !s.exists {
		return
	}
	s.past = append(s.past, s.current)
	if len(s.past) > _platformPast {
		s.past = s.past[1:]
	}
}
