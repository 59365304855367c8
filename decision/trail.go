package decision

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"dandelionhitch.example/flow"
)

const (
	// Lines that name no flow may explain a flow's outcome if they were written at most
	// _contextBefore before the flow's first line or _contextAfter after its last line: an
	// upstream's heartbeats and a relay's start may be some seconds away.
	_contextBefore = 5 * time.Second
	_contextAfter  = time.Second
	// _maxLineSize is the longest line that is read, in bytes; lines of Log are far shorter.
	_maxLineSize = 1 << 20
)

// Line is one line of a log, with the fields that are used to analyse flows.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Node is the name of the process that wrote the line.
	Node string `json:"node"`

	Flow    string `json:"flow"`
	Action  Action `json:"action"`
	Reason  string `json:"reason"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Busy    uint16 `json:"busy"`
	Slots   uint16 `json:"slots"`
	Attempt int    `json:"attempt"`
	Version uint64 `json:"settings_version"`
	AgeMS   int64  `json:"age_ms"`

	Subject string `json:"subject"`
	Name    string `json:"name"`
	From    string `json:"from"`
	To      string `json:"to"`

	// Addr and Upstream are only set on the line that a process logs when it starts.
	Addr     string `json:"addr"`
	Upstream string `json:"upstream"`

	// The numbers of omitted lines by class are only set on "lines left out".
	RoutineOmitted  int `json:"routine_decisions"`
	OthersOmitted   int `json:"other_decisions"`
	EndsOmitted     int `json:"ends"`
	BeliefsOmitted  int `json:"beliefs"`
	WarningsOmitted int `json:"warnings"`

	Error string `json:"error"`
}

// ReadLines reads the lines of a log. It ignores text before a line's JSON object, which
// a log collector may have added. invalid is the number of lines without valid JSON.
func ReadLines(r io.Reader) (lines []Line, invalid int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, _maxLineSize)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			invalid++
			continue
		}
		var line Line
		if json.Unmarshal(scanner.Bytes()[at:], &line) != nil {
			invalid++
			continue
		}
		lines = append(lines, line)
	}
	return lines, invalid, trace.Wrap(scanner.Err(), "read log")
}

// Flows returns the flows of a caller in the order of their first line. If the caller's
// port is zero, it returns the flows of all its ports.
func Flows(lines []Line, caller netip.AddrPort) []flow.Key {
	var flows []flow.Key
	seen := make(map[string]bool)
	for _, line := range lines {
		if line.Flow == "" || seen[line.Flow] {
			continue
		}
		seen[line.Flow] = true
		key, err := flow.ParseKey(line.Flow)
		if err != nil || key.Caller.Addr() != caller.Addr() || caller.Port() != 0 && key.Caller.Port() != caller.Port() {
			continue
		}
		flows = append(flows, key)
	}
	return flows
}

// Trail is the history of one flow in the logs of the processes that handled it.
type Trail struct {
	Flow flow.Key
	// Decisions are the flow's own lines. Related are lines that name no flow and were
	// written at about the same time by processes that handled this flow: beliefs, starts
	// and failures. Both are ordered by time.
	Decisions, Related []Line
	// Omitted has one line for each process that handled the flow and omitted lines at
	// about the same time, with the numbers of lines that it omitted.
	Omitted []Line
	// rooms are all beliefs about capacity, ordered by time.
	rooms []Line
	// names maps addresses to names of processes, and services maps names of sidecars to their
	// services.
	names, services map[string]string
}

// NewTrail returns the trail of a flow in the given lines, which may be in any order.
func NewTrail(key flow.Key, lines []Line) Trail {
	t := Trail{Flow: key, names: make(map[string]string), services: make(map[string]string)}
	id := key.String()
	involved := make(map[string]bool)
	for _, line := range lines {
		t.recordName(line)
		t.addRoom(line)
		if line.Flow == id {
			t.Decisions = append(t.Decisions, line)
			involved[line.Node] = true
		}
	}
	slices.SortStableFunc(t.Decisions, byTime)
	slices.SortStableFunc(t.rooms, byTime)
	for _, line := range t.Decisions {
		if line.Target != "" {
			involved[line.Target], involved[t.Process(line.Target)] = true, true
		}
	}
	for _, line := range lines {
		if line.Flow != "" || !involved[line.Node] || !t.covers(line.Time) {
			continue
		}
		switch {
		case line.Message == "lines left out":
			t.countOmitted(line)
		case line.Subject == "", line.Subject == SettingsSubject, line.Subject == IdentitySubject, line.Subject == "upstream_life",
			line.Subject == CapacitySubject:
			t.Related = append(t.Related, line)
		case line.Subject == "upstream" || line.Subject == "sidecar" || line.Subject == RoomSubject:
			// A sidecar logs its own upstream by its ID, and a service has no address either. A relay logs all upstreams by
			// their address; only those that the flow was sent to are of interest.
			if _, err := netip.ParseAddr(line.Name); err != nil || involved[line.Name] {
				t.Related = append(t.Related, line)
			}
		}
	}
	slices.SortStableFunc(t.Related, byTime)
	return t
}

// countOmitted adds the numbers of omitted lines that a line reports to those of its
// process.
func (t *Trail) countOmitted(line Line) {
	at := slices.IndexFunc(t.Omitted, func(l Line) bool { return l.Node == line.Node })
	if at < 0 {
		t.Omitted = append(t.Omitted, line)
		return
	}
	t.Omitted[at].addOmitted(line)
}

// addOmitted adds the numbers of omitted lines that other reports to those in l.
func (l *Line) addOmitted(other Line) {
	l.RoutineOmitted += other.RoutineOmitted
	l.OthersOmitted += other.OthersOmitted
	l.EndsOmitted += other.EndsOmitted
	l.BeliefsOmitted += other.BeliefsOmitted
	l.WarningsOmitted += other.WarningsOmitted
}

// recordName records the name of a process under its address, and the service of a sidecar, if
// the line is the one that the process logs when it starts.
func (t *Trail) recordName(line Line) {
	if host, _, ok := strings.Cut(line.Upstream, ":"); ok {
		t.names[host] = line.Node
	}
	if line.Message == "sidecar started" {
		t.services[line.Node] = line.Service
	}
	if line.Addr != "" {
		t.names[line.Addr] = line.Node
	}
}

// Process returns the name of the process at an address, or the address itself if the
// logs do not contain the line that the process wrote when it started.
func (t *Trail) Process(addr string) string {
	if name, ok := t.names[addr]; ok {
		return name
	}
	return addr
}

// covers reports whether a time is at most _contextBefore before the flow's first line and
// at most _contextAfter after its last line.
func (t *Trail) covers(at time.Time) bool {
	if len(t.Decisions) == 0 {
		return false
	}
	first, last := t.Decisions[0].Time, t.Decisions[len(t.Decisions)-1].Time
	return at.After(first.Add(-_contextBefore)) && at.Before(last.Add(_contextAfter))
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// End returns the last reset or drop of the flow, and whether there is one.
func (t *Trail) End() (Line, bool) {
	for _, line := range slices.Backward(t.Decisions) {
		if line.Action == Reset || line.Action == Dropped {
			return line, true
		}
	}
	return Line{}, false
}

// Slowest returns the longest time between two consecutive decisions, and the first of
// these two decisions.
func (t *Trail) Slowest() (Line, time.Duration) {
	var slowest Line
	var longest time.Duration
	for i := 1; i < len(t.Decisions); i++ {
		if took := t.Decisions[i].Time.Sub(t.Decisions[i-1].Time); took > longest {
			slowest, longest = t.Decisions[i-1], took
		}
	}
	return slowest, longest
}
