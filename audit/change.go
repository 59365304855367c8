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

// Bounds of a change.
const (
	_changeIDSize = 16 // octets
	_maxAuthor    = 100
	_maxReason    = 1000
	// MaxInlineSize is the largest JSON form of a change's edits that the head
	// holds itself, in octets. Larger edits are kept in an object of their own.
	MaxInlineSize = 4 << 10
	// MaxEditsSize is the largest JSON form of a change's edits, in octets.
	MaxEditsSize = 900 << 10
)

// ChangeID tells changes apart, also when one is sent twice because the first
// answer was lost. It is 32 hexadecimal digits.
type ChangeID string

// NewChangeID returns the id made of 16 random octets.
func NewChangeID(random [_changeIDSize]byte) ChangeID {
	return ChangeID(hex.EncodeToString(random[:]))
}

// UnmarshalText decodes and checks a change id.
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
	// Revision is the one that the change led to; zero until it is accepted.
	Revision settings.Revision `json:"revision,omitempty"`
	// Base is the revision that the author saw.
	Base   settings.Revision `json:"base"`
	Author string            `json:"author"`
	Time   time.Time         `json:"time"`
	Reason string            `json:"reason"`
	// Edits are what the change replaced and with what. They are nil in the
	// head if EditsApart is set.
	Edits []settings.Edit `json:"edits,omitempty"`
	// EditsApart says that the edits are too large for the head and kept in the
	// object named by EditsKey.
	EditsApart bool `json:"edits_apart,omitempty"`
}

// Validate returns a BadParameter error unless the change may be proposed.
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
		return trace.BadParameter("change %s: it changes nothing", c.ID)
	}
	return c.checkEdits()
}

// UnmarshalJSON decodes and checks a change.
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

// Overlaps reports whether the two changes have edits on one line of the tree,
// from the root to a service.
func (c Change) Overlaps(other Change) bool {
	return slices.ContainsFunc(c.Edits, func(mine settings.Edit) bool {
		return slices.ContainsFunc(other.Edits, func(theirs settings.Edit) bool {
			return mine.Path.Overlaps(theirs.Path)
		})
	})
}

// Compact returns the change as the head holds it, and the edits that have to
// be kept apart, nil if none.
func (c Change) Compact() (Change, json.RawMessage, error) {
	data, err := json.Marshal(c.Edits)
	switch {
	case err != nil:
		return c, nil, trace.Wrap(err, "encode change %s", c.ID)
	case len(data) > MaxEditsSize:
		return c, nil, trace.LimitExceeded("change %s: its edits have %d octets, the most is %d; apply it in parts", c.ID, len(data), MaxEditsSize)
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

func checkText(kind, text string, most int) error {
	if strings.TrimSpace(text) == "" {
		return trace.BadParameter("%s: is missing", kind)
	}
	if len(text) > most || strings.ContainsFunc(text, unicode.IsControl) {
		return trace.BadParameter("%s %.20q: want one line of up to %d octets", kind, text, most)
	}
	return nil
}
