package limit

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// Share is the division of the limit of one service at one place among runs. It
// is an immutable value, stored as one object in the platform's store. The object
// is never deleted, so that its versions order all changes.
type Share struct {
	// Revision is the highest revision of the settings that any writer of the
	// Share knew.
	Revision settings.Revision `json:"revision"`
	// Limit is the flow limit in that revision.
	Limit int `json:"limit"`
	// Entries has one entry for each run; their units add up to at most the Whole.
	Entries []Entry `json:"entries"`
	// Epoch is one more than the store's epoch in which the entries are known to be complete,
	// or zero if a build wrote the Share that does not distinguish epochs. If it is of an
	// earlier epoch than the object, the store was restored from a copy; see recount.
	Epoch uint32 `json:"epoch,omitempty"`
	// Spare are units that no run uses, and that may be claimed although entries may be
	// missing.
	Spare Units `json:"spare,omitempty"`
}

// Entry is one run's part of a Share. Only its own run changes it, except that
// other runs reclaim parts that have lapsed.
type Entry struct {
	Run
	// Seq numbers the run's attempts to write its entry, from one.
	Seq uint64 `json:"seq"`
	// Floor is the part that the run may use during an outage of the platform.
	Floor Units `json:"floor"`
	// Leased is the part that lapses after Term.
	Leased Units `json:"leased"`
	// Lacking is the number of further units that the run needs but that were not free.
	Lacking Units `json:"lacking,omitempty"`
	// Open is the number of open flows when the entry was written.
	Open int `json:"open"`
	// Term is how long the run uses the leased part without a renewal, and
	// FloorTerm how long it uses the floor.
	Term      settings.Duration `json:"term"`
	FloorTerm settings.Duration `json:"floor_term"`
}

// Units returns the sum of the entry's floor and leased parts.
func (e Entry) Units() Units { return e.Floor + e.Leased }

// _maxOpenFlows is the maximum Open of a valid entry.
const _maxOpenFlows = 1 << 30

func (e Entry) validate() error {
	switch {
	case e.Seq == 0:
		return trace.BadParameter("entry of %s: seq is zero, want a positive number", e.Address)
	case e.Floor > Whole || e.Leased > Whole || e.Lacking > Whole:
		return trace.BadParameter("entry of %s: floor, leased or lacking is above %d units", e.Address, Whole)
	case e.Open < 0 || e.Open > _maxOpenFlows:
		return trace.BadParameter("entry of %s: number of open flows %d is out of range", e.Address, e.Open)
	case e.Term <= 0 || e.FloorTerm < e.Term:
		return trace.BadParameter("entry of %s: term %s must be positive, and floor term %s at least as long", e.Address, time.Duration(e.Term), time.Duration(e.FloorTerm))
	}
	return trace.Wrap(e.Validate())
}

// UnmarshalJSON decodes a share. It returns a BadParameter error if the share is
// invalid or its entries' units add up to more than the Whole.
func (s *Share) UnmarshalJSON(data []byte) error {
	type rawShare Share
	var decoded rawShare
	if err := json.Unmarshal(data, &decoded); err != nil {
		return trace.BadParameter("share: %v", err)
	}
	if err := Share(decoded).validate(); err != nil {
		return trace.Wrap(err, "share")
	}
	*s = Share(decoded)
	return nil
}

func (s Share) validate() error {
	if s.Limit < 0 {
		return trace.BadParameter("limit %d is negative", s.Limit)
	}
	if s.Spare > Whole {
		return trace.BadParameter("spare is %d units, more than %d", s.Spare, Whole)
	}
	var sum Units
	runs := make(map[Run]struct{}, len(s.Entries))
	for _, entry := range s.Entries {
		if err := entry.validate(); err != nil {
			return err
		}
		sum += entry.Units()
		if sum > Whole {
			return trace.BadParameter("the entries' units add up to more than %d", Whole)
		}
		runs[entry.Run] = struct{}{}
	}
	if len(runs) < len(s.Entries) {
		return trace.BadParameter("two entries of one run")
	}
	return nil
}

// Entry returns the entry of a run, or false if it has none.
func (s Share) Entry(run Run) (Entry, bool) {
	i := s.index(run)
	if i < 0 {
		return Entry{}, false
	}
	return s.Entries[i], true
}

// Free returns the units that no entry has.
func (s Share) Free() Units {
	free := Whole
	for _, entry := range s.Entries {
		free = free.less(entry.Units())
	}
	return free
}

// openElsewhere returns the number of flows that all runs except this one had
// open when they last wrote their entries.
func (s Share) openElsewhere(run Run) (flows int) {
	for _, entry := range s.Entries {
		if entry.Run != run {
			flows += entry.Open
		}
	}
	return flows
}

// WithEntry returns a copy of the share in which the entry's run has this entry.
func (s Share) WithEntry(entry Entry) Share {
	i := s.index(entry.Run)
	if i < 0 {
		s.Entries = append(slices.Clip(s.Entries), entry)
		return s
	}
	s.Entries = slices.Clone(s.Entries)
	s.Entries[i] = entry
	return s
}

// WithoutRun returns a copy of the share without the run's entry.
func (s Share) WithoutRun(run Run) Share {
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Run == run })
	return s
}

// WithLimits returns a copy of the share with the revision and flow limit of
// limits, if that revision is higher than the share's.
func (s Share) WithLimits(limits Limits) Share {
	if limits.Revision > s.Revision {
		s.Revision = limits.Revision
		s.Limit = limits.Flows
	}
	return s
}

// withSpare returns a copy of the share with these spare units.
func (s Share) withSpare(spare Units) Share {
	s.Spare = spare
	return s
}

// withEpoch returns a copy of the share whose entries are complete in an epoch.
func (s Share) withEpoch(epoch platform.Epoch) Share {
	s.Epoch = uint32(epoch) + 1
	return s
}

// isComplete reports whether the entries are known to be complete in an epoch.
func (s Share) isComplete(epoch platform.Epoch) bool { return s.Epoch == uint32(epoch)+1 }

// index returns the index of the run's entry, or -1 if it has none.
func (s Share) index(run Run) int {
	return slices.IndexFunc(s.Entries, func(e Entry) bool { return e.Run == run })
}
