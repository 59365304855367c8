package control

import (
	"errors"
	"net/rpc"
	"sync/atomic"
	"time"
)

// requestHeader precedes each request's body.
type requestHeader struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Method string `cbor:"2,keyasint"`
}

// responseHeader precedes each response's body.
type responseHeader struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Error string `cbor:"2,keyasint,omitempty"`
}

// emptyBody is the body of a response that carries an error.
type emptyBody struct{}

// serverCodec is the server's end of one connection.
type serverCodec struct {
	*framer
	// inFlight bounds the calls in flight: one is taken before a request is read
	// and given back with its response.
	inFlight chan struct{}
}

func newServerCodec(f *framer) *serverCodec {
	return &serverCodec{framer: f, inFlight: make(chan struct{}, _maxInFlight)}
}

// ReadRequestHeader reads the next request, once there is a free slot.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	c.inFlight <- struct{}{}
	if err := c.conn.SetReadDeadline(time.Now().Add(_serverIdleTimeout)); err != nil {
		return err
	}
	var header requestHeader
	if err := c.readHeader(&header); err != nil {
		return err
	}
	request.Seq = header.Seq
	request.ServiceMethod = header.Method
	return nil
}

// ReadRequestBody decodes the body of the request whose header was read.
func (c *serverCodec) ReadRequestBody(message any) error { return c.readBody(message) }

// WriteResponse writes one response.
func (c *serverCodec) WriteResponse(response *rpc.Response, message any) error {
	defer c.release()
	header := responseHeader{Seq: response.Seq, Error: response.Error}
	if response.Error != "" {
		message = emptyBody{}
	}
	err := c.write(header, message)
	var broken *writeError
	if err == nil || errors.As(err, &broken) {
		if err != nil {
			_ = c.conn.Close()
		}
		return err
	}
	header.Error = err.Error()
	return c.write(header, emptyBody{})
}

func (c *serverCodec) release() {
	select {
	case <-c.inFlight:
	default:
	}
}

// Close closes the connection.
func (c *serverCodec) Close() error { return c.conn.Close() }

// outgoingRequest is a request's body together with whether it was written whole.
type outgoingRequest struct {
	body any
	sent atomic.Bool
}

// clientCodec is the client's end of one connection.
type clientCodec struct {
	*framer
}

// WriteRequest writes one request, whose body is an *outgoing.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	out := body.(*outgoingRequest)
	err := c.write(requestHeader{Seq: request.Seq, Method: request.ServiceMethod}, out.body)
	if err == nil {
		out.sent.Store(true)
		return nil
	}
	var broken *writeError
	if errors.As(err, &broken) {
		_ = c.conn.Close()
	}
	return err
}

// ReadResponseHeader reads the next response.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	var header responseHeader
	if err := c.readHeader(&header); err != nil {
		return err
	}
	response.Seq = header.Seq
	response.Error = header.Error
	return nil
}

// ReadResponseBody decodes the body of the response whose header was read.
func (c *clientCodec) ReadResponseBody(message any) error { return c.readBody(message) }

// Close closes the connection.
func (c *clientCodec) Close() error { return c.conn.Close() }
