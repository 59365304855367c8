package control

import (
	"context"
	"net"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// Counters is a snapshot of the counters of a Server or a Client. Bytes are
// counted in the TCP streams, so they include TLS but no TCP and IP headers.
type Counters struct {
	BytesIn, BytesOut       uint64
	MessagesIn, MessagesOut uint64
	// Handshakes counts successful TLS handshakes, Resumed those among them that
	// resumed a session.
	Handshakes, Resumed uint64
	// Malformed counts received messages that failed to decode or to validate,
	// Oversized received frames that exceed the size limit.
	Malformed, Oversized uint64
	// DialFailures counts failed dials, including failed handshakes.
	DialFailures uint64
	// Silent counts connections that a client closed because a call timed out and
	// nothing was received since the call began.
	Silent uint64
	// Refused counts connections that a server refused because it had too many or
	// was closed, or because the handshake failed, as without a valid certificate.
	Refused uint64
}

// counters holds the counters that Counters reports.
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

// observe registers the counters with the meter under names that begin with the
// prefix, such as "dandelionhitch.control.server". Registration errors are
// ignored: the counter is then available from snapshot only.
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

// Read reads from the connection and counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}
