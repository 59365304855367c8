package control

import (
	"context"
	"net"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// Counters is a snapshot of what a Server or a Client has sent and received.
// Bytes are those of the TCP streams, TLS included; the headers of IP and TCP
// come on top.
type Counters struct {
	BytesIn, BytesOut       uint64
	MessagesIn, MessagesOut uint64
	// Handshakes counts TLS handshakes that succeeded, Resumed those of them
	// that resumed a session.
	Handshakes, Resumed uint64
	// Malformed counts frames that could not be decoded or failed their check,
	// Oversized those over the bound.
	Malformed, Oversized uint64
	// DialFailures counts connections that could not be made.
	DialFailures uint64
	// Silent counts connections closed because they had gone silent.
	Silent uint64
	// Refused counts connections refused: too many, or no valid certificate.
	Refused uint64
}

type counters struct {
	bytesIn, bytesOut       atomic.Uint64
	messagesIn, messagesOut atomic.Uint64
	handshakes, resumed     atomic.Uint64
	malformed, oversized    atomic.Uint64
	dialFailures, silent    atomic.Uint64
	refused                 atomic.Uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		MessagesIn: c.messagesIn.Load(), MessagesOut: c.messagesOut.Load(),
		Handshakes: c.handshakes.Load(), Resumed: c.resumed.Load(),
		Malformed: c.malformed.Load(), Oversized: c.oversized.Load(),
		DialFailures: c.dialFailures.Load(), Silent: c.silent.Load(),
		Refused: c.refused.Load(),
	}
}

// observe reports the counters under the prefix, such as
// "dandelionhitch.control.server". A meter that refuses an instrument leaves
// the counters readable by snapshot alone.
func (c *counters) observe(meter metric.Meter, prefix string) {
	for name, counter := range map[string]*atomic.Uint64{
		"bytes_in": &c.bytesIn, "bytes_out": &c.bytesOut,
		"messages_in": &c.messagesIn, "messages_out": &c.messagesOut,
		"handshakes": &c.handshakes, "resumed": &c.resumed,
		"malformed": &c.malformed, "oversized": &c.oversized,
		"dial_failures": &c.dialFailures, "silent": &c.silent,
		"refused": &c.refused,
	} {
		callback := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(counter.Load()))
			return nil
		}
		_, _ = meter.Int64ObservableCounter(prefix+"."+name, metric.WithInt64Callback(callback))
	}
}

// countedConn counts the bytes of a TCP stream.
type countedConn struct {
	net.Conn
	counters *counters
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}
