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

// store is an in-memory platform.Store that injects faults. If the reply to a
// write is lost, the write takes effect at once, later, or never. Its delays use
// the fake clock in a synctest bubble.
type store struct {
	mu            sync.Mutex
	random        *rand.Rand
	faults        faults
	version       platform.Version
	versions      map[string][]platform.Object // per key, newest last; a nil value marks a deletion
	delayed       []write                      // writes without a reply that may still take effect
	changed       chan struct{}                // closed and replaced by each write that takes effect
	reads         int
	writes        int
	octetsWritten int
	noDelay       bool // omits the delay of each call
}

// faults selects the faults that a store injects.
type faults struct {
	outage bool // every call fails

	// Probabilities that a call other than Watch fails, that the reply to a write is lost, and
	// that a Get returns an older version.
	refuse, loseReply, stale float64
}

type write struct {
	key      string
	value    json.RawMessage
	expected platform.Version
}

func newStore(seed uint64) *store {
	return &store{
		random:   rand.New(rand.NewPCG(seed, 0)),
		versions: make(map[string][]platform.Object),
		changed:  make(chan struct{}),
	}
}

func (s *store) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// storeCopy holds the objects of a store at one time.
type storeCopy struct {
	version platform.Version
	objects map[string]platform.Object
}

func (s *store) copyOf() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{version: s.version, objects: make(map[string]platform.Object)}
	for key := range s.versions {
		c.objects[key] = s.current(key)
	}
	return c
}

// restore replaces all objects by those of a copy, with versions of the next epoch.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := s.version.Epoch() + 1
	s.version = platform.NewVersion(epoch, c.version.Revision())
	s.versions, s.delayed = make(map[string][]platform.Object), nil
	for key, object := range c.objects {
		if object.Value != nil {
			object.Version = platform.NewVersion(epoch, object.Version.Revision())
			s.versions[key] = []platform.Object{object}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// chance returns true with the given probability.
func (s *store) chance(probability float64) bool { return s.random.Float64() < probability }

// begin delays a call, locks the store, and applies some of the delayed writes. It
// returns an error, with the store unlocked, if the call is to fail.
func (s *store) begin() error {
	s.mu.Lock()
	delay := time.Duration(1+s.random.IntN(5)) * time.Millisecond
	s.mu.Unlock()
	if !s.noDelay {
		time.Sleep(delay)
	}
	s.mu.Lock()
	if s.faults.outage || s.chance(s.faults.refuse) {
		s.mu.Unlock()
		return trace.ConnectionProblem(nil, "unavailable")
	}
	s.delayed = slices.DeleteFunc(s.delayed, func(w write) bool {
		if !s.chance(0.3) {
			return false
		}
		_, _ = s.apply(w)
		return true
	})
	return nil
}

// current returns the latest version of an object, or the zero Object if it does
// not exist.
func (s *store) current(key string) platform.Object {
	versions := s.versions[key]
	if len(versions) == 0 || versions[len(versions)-1].Value == nil {
		return platform.Object{}
	}
	return versions[len(versions)-1]
}

func (s *store) apply(w write) (platform.Version, error) {
	if s.current(w.key).Version != w.expected {
		return 0, trace.CompareFailed("version of %s", w.key)
	}
	s.version++
	s.versions[w.key] = append(s.versions[w.key], platform.Object{Key: w.key, Value: w.value, Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *store) write(op string, w write) (platform.Version, error) {
	if err := s.begin(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.writes++
	s.octetsWritten += len(w.value)
	if s.chance(s.faults.loseReply) {
		if s.chance(0.5) {
			s.delayed = append(s.delayed, w)
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
	if err := s.begin(); err != nil {
		return platform.Object{}, err
	}
	defer s.mu.Unlock()
	s.reads++
	object := s.current(key)
	if versions := s.versions[key]; len(versions) > 1 && s.chance(s.faults.stale) {
		object = versions[max(0, len(versions)-1-s.random.IntN(4))]
	}
	if object.Value == nil {
		return platform.Object{}, trace.NotFound("object %s", key)
	}
	return object, nil
}

func (s *store) List(_ context.Context, prefix string) ([]platform.Object, error) {
	if err := s.begin(); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var objects []platform.Object
	for key := range s.versions {
		if object := s.current(key); object.Value != nil && strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	return objects, nil
}

func (s *store) Watch(ctx context.Context, key string, after platform.Version) (platform.Object, error) {
	for {
		s.mu.Lock()
		object, changed, unavailable := s.current(key), s.changed, s.faults.outage
		s.mu.Unlock()
		if object.Version > after && !unavailable {
			return object, nil
		}
		timer := time.NewTimer(time.Second)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return platform.Object{}, ctx.Err()
		}
		timer.Stop()
	}
}
