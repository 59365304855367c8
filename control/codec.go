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

// emptyBody is the body of a response whose header holds an error.
type emptyBody struct{}

// serverCodec implements rpc.ServerCodec on one connection.
type serverCodec struct {
	*framer
	// inFlight is a semaphore that bounds the concurrent calls: a slot is acquired
	// before a request is read and released with its response.
	inFlight chan struct{}
}

func newServerCodec(f *framer) *serverCodec {
	return &serverCodec{framer: f, inFlight: make(chan struct{}, _maxInFlight)}
}

// ReadRequestHeader waits for a free slot, reads the next request and decodes its
// header.
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

// ReadRequestBody decodes the body of the request that ReadRequestHeader has read.
func (c *serverCodec) ReadRequestBody(message any) error { return c.readBody(message) }

// WriteResponse writes one response. If it can't be encoded, WriteResponse sends
// the error to the client instead.
func (c *serverCodec) WriteResponse(response *rpc.Response, message any) error {
	defer c.release()
	header := responseHeader{Seq: response.Seq, Error: response.Error}
	if response.Error != "" {
		message = emptyBody{}
	}
	err := c.write(header, message)
	var failed *writeError
	if err == nil || errors.As(err, &failed) {
		if err != nil {
			_ = c.conn.Close()
		}
		return err
	}
	header.Error = err.Error()
	return c.write(header, emptyBody{})
}

// release releases a slot, if one is held.
func (c *serverCodec) release() {
	select {
	case <-c.inFlight:
	default:
	}
}

// Close closes the connection.
func (c *serverCodec) Close() error { return c.conn.Close() }

// outgoingRequest is the body of a request to send. sent is set once the complete
// request was written.
type outgoingRequest struct {
	body any
	sent atomic.Bool
}

// clientCodec implements rpc.ClientCodec on one connection.
type clientCodec struct {
	*framer
}

// WriteRequest writes one request, whose body must be an *outgoingRequest.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	out := body.(*outgoingRequest)
	err := c.write(requestHeader{Seq: request.Seq, Method: request.ServiceMethod}, out.body)
	if err == nil {
		out.sent.Store(true)
		return nil
	}
	var failed *writeError
	if errors.As(err, &failed) {
		_ = c.conn.Close()
	}
	return err
}

// ReadResponseHeader reads the next response and decodes its header.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	var header responseHeader
	if err := c.readHeader(&header); err != nil {
		return err
	}
	response.Seq = header.Seq
	response.Error = header.Error
	return nil
}

// ReadResponseBody decodes the body of the response that ReadResponseHeader has
// read.
func (c *clientCodec) ReadResponseBody(message any) error { return c.readBody(message) }

// Close closes the connection.
func (c *clientCodec) Close() error { return c.conn.Close() }
