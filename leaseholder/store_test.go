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

// faultMode selects the faults that a memoryStore injects.
type faultMode int

const (
	_healthy faultMode = iota
	// _unavailable fails all calls.
	_unavailable
	// _repliesLost applies writes but returns an ambiguous error.
	_repliesLost
)

// memoryStore is a platform.Store that holds one object in memory.
type memoryStore struct {
	platform.Store
	mu     sync.Mutex
	object platform.Object
	mode   faultMode
	calls  int
}

func (s *memoryStore) setMode(mode faultMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *memoryStore) Get(context.Context, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.mode == _unavailable:
		return platform.Object{}, trace.ConnectionProblem(nil, "store unavailable")
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
	if s.mode == _unavailable {
		return 0, trace.ConnectionProblem(nil, "store unavailable")
	}
	if expected != s.object.Version {
		return 0, trace.CompareFailed("version %d", s.object.Version)
	}
	s.object = platform.Object{Key: key, Value: value, Version: expected + 1}
	if s.mode == _repliesLost {
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
