package standin

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"dandelionhitch.example/platform"
)

// _platformPast is how many older versions of an object are kept for stale reads.
const _platformPast = 8

// platformObjects keeps the objects of a stand-in platform. Versions come from
// one counter, so that an object that is made again has a higher one.
type platformObjects struct {
	mu      sync.Mutex
	version platform.Version
	states  map[string]*platformState
}

// platformState is one object with its past. It stays after a deletion.
type platformState struct {
	current platform.Object
	exists  bool
	past    []platform.Object
	changed chan struct{}
}

func newPlatformObjects() *platformObjects {
	return &platformObjects{states: make(map[string]*platformState)}
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

// observe returns the object and a channel that is closed at its next change.
func (o *platformObjects) observe(key string) (platform.Object, bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	return state.current, state.exists, state.changed
}

func (o *platformObjects) list(prefix string) []platform.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	objects := []platform.Object{}
	for key, state := range o.states {
		if state.exists && strings.HasPrefix(key, prefix) {
			objects = append(objects, state.current)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects
}

func (o *platformObjects) put(key string, value json.RawMessage, expected platform.Version) (platform.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	if state.version() != expected {
		return 0, false
	}
	state.remember()
	o.version++
	state.current = platform.Object{Key: key, Value: value, Version: o.version}
	state.exists = true
	state.notify()
	return o.version, true
}

func (o *platformObjects) remove(key string, expected platform.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	if state.version() != expected {
		return false
	}
	state.remember()
	state.exists = false
	state.notify()
	return true
}

func (o *platformObjects) state(key string) *platformState {
	state, ok := o.states[key]
	if !ok {
		state = &platformState{changed: make(chan struct{})}
		o.states[key] = state
	}
	return state
}

func (s *platformState) version() platform.Version {
	if !s.exists {
		return 0
	}
	return s.current.Version
}

func (s *platformState) remember() {
	if !s.exists {
		return
	}
	s.past = append(s.past, s.current)
	if len(s.past) > _platformPast {
		s.past = s.past[1:]
	}
}

func (s *platformState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
