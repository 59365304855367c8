package peer

// Kinds is the number of message kinds.
const Kinds = int(KindRefusal-KindOffer) + 1

// String returns the kind's name in metrics.
func (k Kind) String() string {
	if k < KindOffer || k > KindRefusal {
		return "unknown"
	}
	return [Kinds]string{
		"offer", "carry", "try", "question", "verdict", "upstream_report", "relay_report", "ask", "part", "defer", "refusal",
	}[k-KindOffer]
}

// Traffic counts the bytes of messages that a process has sent, without the headers of IP and
// UDP. Near counts the bytes of messages to the process's own zone and Far those of messages
// to other zones, each by kind.
type Traffic struct {
	Near, Far [Kinds]uint64
}

// Add counts the bytes of a message. The near argument tells whether the message's receiver is
// in the zone of this process. Messages of unknown kinds are ignored.
func (t *Traffic) Add(message []byte, near bool) {
	if len(message) == 0 || Kind(message[0]) < KindOffer || Kind(message[0]) > KindRefusal {
		return
	}
	kind := Kind(message[0]) - KindOffer
	if near {
		t.Near[kind] += uint64(len(message))
	} else {
		t.Far[kind] += uint64(len(message))
	}
}
