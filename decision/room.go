package decision

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Subjects of beliefs about capacity.
const (
	// RoomSubject is the subject of beliefs about the priorities for which a sidecar's upstream
	// or a service has capacity. The states are RoomForAll and RoomBelow with a number.
	RoomSubject = "room"
	// CapacitySubject is the subject of beliefs about the number of requests that an upstream
	// works on or queues. The states are numbers.
	CapacitySubject = "upstream_capacity"
)

// States of beliefs of RoomSubject.
const (
	// RoomForAll means that there is capacity for all priorities.
	RoomForAll = "all"
	// RoomBelow precedes a number: there is capacity only for smaller priorities.
	RoomBelow = "below "
)

// RoomState returns the state for a value of peer.UpstreamReport.NoRoomFrom.
func RoomState(noRoomFrom uint8) string {
	if noRoomFrom == 0 {
		return RoomForAll
	}
	return RoomBelow + strconv.Itoa(int(noRoomFrom)-1)
}

// Room is the capacity of a sidecar's upstream or of a service at some time, as a process
// believed it.
type Room struct {
	// Name is the upstream, the sidecar or the service. State is the state of the belief.
	Name, State string
	// Capacity is the number of requests that the upstream works on or queues; empty if it is
	// not known.
	Capacity string
	// Age is how long the belief had been held. It is zero if the logs contain only the change
	// that ended it.
	Age time.Duration
}

// addRoom adds a line to the beliefs about capacity if it is one.
func (t *Trail) addRoom(line Line) {
	if line.Subject == RoomSubject || line.Subject == CapacitySubject {
		t.rooms = append(t.rooms, line)
	}
}

// Rooms returns the capacity that the process that wrote a decision line believed in then,
// sorted by name. A process may believe something about a service or about each upstream; if it
// does about the service of the line, the others are left out. For a process without such
// beliefs, Rooms returns those of the sidecars of the line's service, named after the sidecars.
func (t *Trail) Rooms(line Line) []Room {
	byName := t.roomsOf(line.Node, line.Time)
	if room, ofService := byName[line.Service]; ofService {
		return []Room{room}
	}
	if len(byName) == 0 && line.Service != "" {
		for node, service := range t.services {
			if service != line.Service {
				continue
			}
			for _, room := range t.roomsOf(node, line.Time) {
				room.Name = node
				byName[node] = room
			}
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b Room) int { return cmp.Compare(a.Name, b.Name) })
}

// roomsOf returns the capacity that a process believed in at some time, by name.
func (t *Trail) roomsOf(node string, at time.Time) map[string]Room {
	byName, seen := make(map[string]Room), make(map[string]bool)
	for _, l := range t.rooms {
		if l.Node != node || l.Subject != RoomSubject || seen[l.Name] {
			continue
		}
		seen[l.Name] = true
		room, known := stateAt(t.rooms, l, at)
		if !known {
			continue
		}
		if capacity, known := stateAt(t.rooms, Line{Node: node, Subject: CapacitySubject, Name: l.Name}, at); known {
			room.Capacity = capacity.State
		}
		byName[l.Name] = room
	}
	return byName
}

// stateAt returns the state of what a line is about at some time, according to the latest change up to
// then or, if there is none, the first change after it. changes are ordered by time.
func stateAt(changes []Line, about Line, at time.Time) (Room, bool) {
	room, known := Room{Name: about.Name}, false
	for _, l := range changes {
		if l.Node != about.Node || l.Subject != about.Subject || l.Name != about.Name {
			continue
		}
		if !l.Time.After(at) {
			room.State, room.Age, known = l.To, at.Sub(l.Time), true
			continue
		}
		if !known {
			room.State, known = l.From, l.From != ""
		}
		break
	}
	return room, known
}

// String describes the priorities that have capacity.
func (r Room) String() string {
	below, isBelow := strings.CutPrefix(r.State, RoomBelow)
	switch {
	case r.State == RoomForAll:
		return "capacity for all priorities"
	case isBelow && below == "0":
		return "no capacity for any priority"
	case isBelow:
		return "capacity only for priorities below " + below
	default:
		return "capacity " + r.State
	}
}
