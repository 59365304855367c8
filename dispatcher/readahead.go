package dispatcher

import (
	"io"

	"gopkg.in/tomb.v2"
)

const (
	// _aheadParts is how many parts of _copyBytes, 64 KB in all, are read of an
	// answer before its caller has taken the part in hand.
	_readAheadChunks = 2
	// _aheadAnswers bounds the answers that are read ahead at once, and with
	// them the memory for it: at most four parts each, 8 MB in all.
	_maxReadAheadAnswers = 64
)

// readAhead reads an answer faster than its caller takes it, so that the
// upstream is done with the request before a slow caller is.
type readAhead struct {
	tomb   tomb.Tomb
	source io.Reader
	// ended is called when the source has ended.
	sourceRead func()
	chunks     chan chunk
}

// part is a piece of an answer. Its buffer belongs to the receiver.
type chunk struct {
	buf *[_copyBufferBytes]byte
	n   int
}

// newReadAhead starts to read the source. Its parts must be received until the
// ring is closed.
func newReadAhead(source io.Reader, sourceRead func()) *readAhead {
	a := &readAhead{source: source, sourceRead: sourceRead, chunks: make(chan chunk, _readAheadChunks)}
	a.tomb.Go(a.loop)
	return a
}

// loop fills the ring until the source ends, and returns its error.
func (a *readAhead) loop() error {
	defer close(a.chunks)
	for {
		buf := _copyBuffers.Get().(*[_copyBufferBytes]byte)
		n, err := a.source.Read(buf[:])
		if err != nil {
			a.sourceRead()
		}
		a.chunks <- chunk{buf: buf, n: n}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyAhead copies an answer's body to the caller and reads ahead of it.
func (c *bodyCopy) copyReadingAhead(source io.Reader, bodyRead func()) error {
	a := newReadAhead(source, bodyRead)
	for p := range a.chunks {
		c.write(p.buf[:p.n])
		_copyBuffers.Put(p.buf)
	}
	return a.tomb.Wait()
}
