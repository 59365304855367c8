package settings

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Revision is the sequence number of an accepted state of the settings tree. Each
// accepted change increments it. Zero is the empty tree before the first change.
type Revision uint64

// Duration is a non-negative duration that is encoded in JSON as a string such as
// "30s".
type Duration time.Duration

// MarshalJSON encodes the duration in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration. It returns a BadParameter error if the duration
// is malformed or negative.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return trace.BadParameter("duration %s: want a string such as \"30s\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return trace.BadParameter("duration %q: want zero or more, such as \"30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}
