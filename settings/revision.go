package settings

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Revision numbers the accepted states of the settings tree. Each accepted
// change adds one. Zero is the empty tree before the first change.
type Revision uint64

// Duration is a time span written in JSON as a string such as "30s".
// It is never negative.
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes and checks a duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return trace.BadParameter("duration %s: want a string such as \"30s\"", data)
	}
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		return trace.BadParameter("duration %q: want a span of zero or more, such as \"30s\"", text)
	}
	*d = Duration(span)
	return nil
}
