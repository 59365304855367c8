package audit

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/gravitational/trace"

	"dandelionhitch.example/settings"
)

// Sizes and limits of a change, in octets.
const (
	_changeIDSize = 16
	_maxAuthor    = 100
	_maxReason    = 1000
	// MaxInlineSize is the maximum JSON size of a change's edits that the head
	// stores itself. Larger edits are stored in an object of their own.
	MaxInlineSize = 4 << 10
	// MaxEditsSize is the maximum JSON size of a change's edits.
	MaxEditsSize = 900 << 10
)

// ChangeID identifies a change. A retry after a lost reply carries the same ID, so
// that the change is committed only once. It consists of 32 lower-case hexadecimal
// digits.
type ChangeID string

// NewChangeID returns the ID that encodes 16 random octets.
func NewChangeID(random [_changeIDSize]byte) ChangeID {
	return ChangeID(hex.EncodeToString(random[:]))
}

// UnmarshalText decodes a change ID. It returns a BadParameter error if the ID is
// invalid.
func (id *ChangeID) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != _changeIDSize || strings.ToLower(string(text)) != string(text) {
		return trace.BadParameter("change id %q: want %d hexadecimal digits in lower case", text, 2*_changeIDSize)
	}
	*id = ChangeID(text)
	return nil
}

// Change is one change of the settings tree, proposed or accepted.
type Change struct {
	ID ChangeID `json:"id"`
	// Revision is the revision that the change created, or zero before the change
	// is accepted.
	Revision settings.Revision `json:"revision,omitempty"`
	// Base is the revision of the tree that the author edited.
	Base   settings.Revision `json:"base"`
	Author string            `json:"author"`
	Time   time.Time         `json:"time"`
	Reason string            `json:"reason"`
	// Edits holds the values of each changed node before and after the change. It
	// is nil in the head if EditsApart is set.
	Edits []settings.Edit `json:"edits,omitempty"`
	// EditsApart reports that the edits are too large for the head and are stored
	// under EditsKey.
	EditsApart bool `json:"edits_apart,omitempty"`
}

// Validate returns a BadParameter error if the change has an invalid ID, author or
// reason, has no time or no edits, or edits a node twice.
func (c Change) Validate() error {
	var id ChangeID
	if err := id.UnmarshalText([]byte(c.ID)); err != nil {
		return err
	}
	if err := checkText("author", c.Author, _maxAuthor); err != nil {
		return err
	}
	if err := checkText("reason", c.Reason, _maxReason); err != nil {
		return err
	}
	if c.Time.IsZero() {
		return trace.BadParameter("change %s: the time is missing", c.ID)
	}
	if len(c.Edits) == 0 && !c.EditsApart {
		return trace.BadParameter("change %s: no edits", c.ID)
	}
	return c.checkEdits()
}

// UnmarshalJSON decodes and validates a change.
func (c *Change) UnmarshalJSON(data []byte) error {
	type plain Change
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return trace.Wrap(err, "decode change")
	}
	if err := Change(decoded).Validate(); err != nil {
		return err
	}
	*c = Change(decoded)
	return nil
}

// Overlaps reports whether a node edited by one change is the same as, an ancestor
// of, or a descendant of a node edited by the other.
func (c Change) Overlaps(other Change) bool {
	return slices.ContainsFunc(c.Edits, func(mine settings.Edit) bool {
		return slices.ContainsFunc(other.Edits, func(theirs settings.Edit) bool {
			return mine.Path.Overlaps(theirs.Path)
		})
	})
}

// Compact returns the change in the form in which the head stores it, and the JSON
// form of the edits if they must be stored separately, nil otherwise. It returns a
// LimitExceeded error if the edits exceed MaxEditsSize.
func (c Change) Compact() (Change, json.RawMessage, error) {
	data, err := json.Marshal(c.Edits)
	switch {
	case err != nil:
		return c, nil, trace.Wrap(err, "encode change %s", c.ID)
	case len(data) > MaxEditsSize:
		return c, nil, trace.LimitExceeded("change %s: the edits have %d octets, the limit is %d; split the change", c.ID, len(data), MaxEditsSize)
	case len(data) <= MaxInlineSize:
		return c, nil, nil
	}
	c.Edits, c.EditsApart = nil, true
	return c, data, nil
}

func (c Change) checkEdits() error {
	seen := make(map[settings.Path]bool, len(c.Edits))
	for _, edit := range c.Edits {
		if seen[edit.Path] {
			return trace.BadParameter("change %s: %s is edited twice", c.ID, edit.Path)
		}
		seen[edit.Path] = true
	}
	return nil
}

// checkText returns a BadParameter error unless text is one non-blank line of at
// most limit octets.
func checkText(kind, text string, limit int) error {
	if strings.TrimSpace(text) == "" {
		return trace.BadParameter("%s: is missing", kind)
	}
	if len(text) > limit || strings.ContainsFunc(text, unicode.IsControl) {
		return trace.BadParameter("%s %.20q: want one line of up to %d octets", kind, text, limit)
	}
	return nil
}
