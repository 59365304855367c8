package follower_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/platform"
)

// store is a platform.Store in memory with faults. An answer can be lost
// before its write takes effect, so that the write lands later or never. In a
// synctest bubble its delays cost no time.
type store struct {
	mu      sync.Mutex
	random  *rand.Rand
	faults  faults
	version platform.Version
	past    map[string][]platform.Object // newest last; a nil value is a deletion
	late    []write
	changed chan struct{}
	reads   int
	writes  int
	octets  int  // written
	instant bool // calls take no time
}

type faults struct {
	outage              bool
	refuse, lose, stale float64
}

type write struct {
	key      string
	value    json.RawMessage
	expected platform.Version
}

func newStore(seed uint64) *store {
	return &store{
		random:  rand.New(rand.NewPCG(seed, 0)),
		past:    make(map[string][]platform.Object),
		changed: make(chan struct{}),
	}
}

func (s *store) set(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *store) chance(share float64) bool { return s.random.Float64() < share }

// enter delays a call, lets late writes land, and locks the store.
func (s *store) enter() error {
	s.mu.Lock()
	pause := time.Duration(1+s.random.IntN(5)) * time.Millisecond
	s.mu.Unlock()
	if !s.instant {
		time.Sleep(pause)
	}
	s.mu.Lock()
	if s.faults.outage || s.chance(s.faults.refuse) {
		s.mu.Unlock()
		return trace.ConnectionProblem(nil, "unavailable")
	}
	s.late = slices.DeleteFunc(s.late, func(w write) bool {
		if !s.chance(0.3) {
			return false
		}
		_, _ = s.apply(w)
		return true
	})
	return nil
}

func (s *store) current(key string) platform.Object {
	past := s.past[key]
	if len(past) == 0 || past[len(past)-1].Value == nil {
		return platform.Object{}
	}
	return past[len(past)-1]
}

func (s *store) apply(w write) (platform.Version, error) {
	if s.current(w.key).Version != w.expected {
		return 0, trace.CompareFailed("version of %s", w.key)
	}
	s.version++
	s.past[w.key] = append(s.past[w.key], platform.Object{Key: w.key, Value: w.value, Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *store) write(op string, w write) (platform.Version, error) {
	if err := s.enter(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.writes++
	s.octets += len(w.value)
	if s.chance(s.faults.lose) {
		if s.chance(0.5) {
			s.late = append(s.late, w)
		} else {
			_, _ = s.apply(w)
		}
		return 0, &platform.AmbiguousError{Op: op, Key: w.key, Err: context.DeadlineExceeded}
	}
	return s.apply(w)
}

func (s *store) Put(_ context.Context, key string, value json.RawMessage, expected platform.Version) (platform.Version, error) {
	return s.write("put", write{key, value, expected})
}

func (s *store) Delete(_ context.Context, key string, expected platform.Version) error {
	_, err := s.write("delete", write{key, nil, expected})
	return err
}

func (s *store) Get(_ context.Context, key string) (platform.Object, error) {
	if err := s.enter(); err != nil {
		return platform.Object{}, err
	}
	defer s.mu.Unlock()
	s.reads++
	object := s.current(key)
	if past := s.past[key]; len(past) > 1 && s.chance(s.faults.stale) {
		object = past[max(0, len(past)-1-s.random.IntN(4))]
	}
	if object.Value == nil {
		return platform.Object{}, trace.NotFound("object %s", key)
	}
	return object, nil
}

func (s *store) List(_ context.Context, prefix string) ([]platform.Object, error) {
	if err := s.enter(); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var objects []platform.Object
	for key := range s.past {
		if object := s.current(key); object.Value != nil && strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	return objects, nil
}

func (s *store) Watch(ctx context.Context, key string, after platform.Version) (platform.Object, error) {
	for {
		s.mu.Lock()
		object, changed, down := s.current(key), s.changed, s.faults.outage
		s.mu.Unlock()
		if object.Version > after && !down {
			return object, nil
		}
		pause := time.NewTimer(time.Second)
		select {
		case <-changed:
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return platform.Object{}, ctx.Err()
		}
		pause.Stop()
	}
}
