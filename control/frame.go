package control

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// _lengthSize is the size of a frame's length prefix in bytes.
const _lengthSize = 4

// _readBufferSize is the size of a connection's read buffer in bytes.
const _readBufferSize = 1 << 10

// _maxRetainedBuffer is the capacity in bytes above which a frame buffer is not
// reused for the next frame.
const _maxRetainedBuffer = 4 << 10

// Limits for decoding one message: levels of nesting, elements of an array, and
// pairs of a map.
const (
	_maxDepth    = 12
	_maxElements = 1 << 17
	_maxPairs    = 1 << 12
)

var (
	errMalformed = errors.New("malformed message")
	errOversized = errors.New("message exceeds the size limit")
)

var _decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  _maxDepth,
		MaxArrayElements: _maxElements,
		MaxMapPairs:      _maxPairs,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// framer reads and writes the frames of one connection: a length prefix, then a
// header and a body in CBOR. At most one goroutine may read, and at most one may
// write, at a time.
type framer struct {
	conn       net.Conn
	reader     *bufio.Reader
	counters   *counters
	maxMessage int
	timeout    time.Duration
	// lastRead is the time, in nanoseconds since start, at which the last frame was
	// received.
	lastRead atomic.Int64
	start    time.Time

	readBuf  bytes.Buffer
	writeBuf bytes.Buffer
	// body is the body of the last frame, valid until the next frame is read.
	body []byte
}

func newFramer(conn net.Conn, counters *counters, o options) *framer {
	return &framer{
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, _readBufferSize),
		counters:   counters,
		maxMessage: o.maxMessage,
		timeout:    o.timeout,
		start:      time.Now(),
	}
}

// elapsed returns the time since the framer was created.
func (f *framer) elapsed() time.Duration { return time.Since(f.start) }

// readHeader reads one frame, decodes its header and stores its body for readBody.
// It closes the connection after an error, since net/rpc would report some errors
// to the client and read on, although the stream can't be resynchronized.
func (f *framer) readHeader(header any) error {
	body, err := f.read(header)
	if err != nil {
		_ = f.conn.Close()
		return err
	}
	f.body = body
	return nil
}

// readBody decodes the body of the last frame, or discards it if message is nil.
// It closes the connection after an error.
func (f *framer) readBody(message any) error {
	if message == nil {
		return nil
	}
	if err := f.decode(f.body, message); err != nil {
		_ = f.conn.Close()
		return err
	}
	return nil
}

// read reads one frame, decodes its header, and returns its body, which is
// valid until the next read.
func (f *framer) read(header any) ([]byte, error) {
	var length [_lengthSize]byte
	if _, err := io.ReadFull(f.reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if int64(size) > int64(f.maxMessage) {
		f.counters.oversized.Add(1)
		return nil, trace.Wrap(errOversized, "read a frame of %d bytes", size)
	}
	if f.readBuf.Cap() > _maxRetainedBuffer {
		f.readBuf = bytes.Buffer{}
	}
	f.readBuf.Reset()
	// CopyN grows the buffer with the received data, so that a forged length
	// does not allocate memory.
	if _, err := io.CopyN(&f.readBuf, f.reader, int64(size)); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	f.lastRead.Store(int64(f.elapsed()))
	f.counters.messagesIn.Add(1)
	body, err := _decMode.UnmarshalFirst(f.readBuf.Bytes(), header)
	if err != nil {
		return nil, f.malformed(err)
	}
	return body, nil
}

// decode decodes a body into message and, if message is a Validator, validates it.
func (f *framer) decode(body []byte, message any) error {
	if err := _decMode.Unmarshal(body, message); err != nil {
		return f.malformed(err)
	}
	if v, ok := message.(Validator); ok {
		if err := v.Validate(); err != nil {
			return f.malformed(err)
		}
	}
	return nil
}

// malformed counts a malformed message and wraps the cause in errMalformed.
func (f *framer) malformed(err error) error {
	f.counters.malformed.Add(1)
	return trace.Wrap(errMalformed, "decode: %v", err)
}

// write writes one frame with a single Write. After a *writeError the connection
// must not be used any more; after any other error nothing was written.
func (f *framer) write(header, body any) error {
	if err := f.encode(header, body); err != nil {
		return err
	}
	if err := f.conn.SetWriteDeadline(time.Now().Add(f.timeout)); err != nil {
		return &writeError{err}
	}
	if _, err := f.conn.Write(f.writeBuf.Bytes()); err != nil {
		return &writeError{err}
	}
	f.counters.messagesOut.Add(1)
	return nil
}

// encode encodes a frame into writeBuf.
func (f *framer) encode(header, body any) error {
	if f.writeBuf.Cap() > _maxRetainedBuffer {
		f.writeBuf = bytes.Buffer{}
	}
	f.writeBuf.Reset()
	f.writeBuf.Write(make([]byte, _lengthSize))
	encoder := cbor.NewEncoder(&f.writeBuf)
	if err := encoder.Encode(header); err != nil {
		return trace.Wrap(err, "encode header")
	}
	if err := encoder.Encode(body); err != nil {
		return trace.Wrap(err, "encode body")
	}
	size := f.writeBuf.Len() - _lengthSize
	if size > f.maxMessage {
		return trace.Wrap(errOversized, "encode %d bytes", size)
	}
	binary.BigEndian.PutUint32(f.writeBuf.Bytes(), uint32(size))
	return nil
}

// writeError reports that a frame was not written completely. The peer discards an
// incomplete frame.
type writeError struct {
	err error
}

// Error describes the failure.
func (e *writeError) Error() string { return "write: " + e.err.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.err }
