package leaseholder_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/gravitational/trace"

	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
)

// weather is how the store answers.
type weather int

const (
	_fair weather = iota
	// _down refuses all calls.
	_down
	// _mute takes writes but loses the answers.
	_mute
)

// memoryStore holds one object.
type memoryStore struct {
	platform.Store
	mu      sync.Mutex
	object  platform.Object
	weather weather
	calls   int
}

func (s *memoryStore) set(w weather) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weather = w
}

func (s *memoryStore) Get(context.Context, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.weather == _down:
		return platform.Object{}, trace.ConnectionProblem(nil, "down")
	case s.object.Version == 0:
		return platform.Object{}, trace.NotFound("no object")
	default:
		return s.object, nil
	}
}

func (s *memoryStore) Put(_ context.Context, key string, value json.RawMessage, expected platform.Version) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.weather == _down {
		return 0, trace.ConnectionProblem(nil, "down")
	}
	if expected != s.object.Version {
		return 0, trace.CompareFailed("version %d", s.object.Version)
	}
	s.object = platform.Object{Key: key, Value: value, Version: expected + 1}
	if s.weather == _mute {
		return 0, &platform.AmbiguousError{Op: "put", Key: key, Err: errors.New("lost")}
	}
	return s.object.Version, nil
}

func (s *memoryStore) share() (share limit.Share, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err = json.Unmarshal(s.object.Value, &share)
	return share, err
}
