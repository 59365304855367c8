package dispatcher

import (
	"io"

	"gopkg.in/tomb.v2"
)

const (
	// _readAheadChunks is how many chunks of an answer are buffered while an earlier
	// chunk is being written to the caller. A chunk has up to _copyBufferBytes, so
	// they take 64 KB in all.
	_readAheadChunks = 2
	// _maxReadAheadAnswers limits how many answers are read ahead at the same time,
	// and thus the memory for reading ahead to 8 MB. Each answer takes at most four
	// chunks: two buffered, one being read and one being written.
	_maxReadAheadAnswers = 64
)

// readAhead reads an answer ahead of the writes to its caller, so that a slow caller
// does not occupy the upstream longer than necessary.
type readAhead struct {
	tomb   tomb.Tomb
	source io.Reader
	// onSourceEnd is called when a read from source returns io.EOF or an error.
	onSourceEnd func()
	chunks      chan chunk
}

// chunk is the result of one read of an answer's body: the first n bytes of buf. The
// receiver owns buf.
type chunk struct {
	buf *[_copyBufferBytes]byte
	n   int
}

// newReadAhead starts reading from source. The caller must receive from the channel
// chunks until it is closed.
func newReadAhead(source io.Reader, onSourceEnd func()) *readAhead {
	a := &readAhead{source: source, onSourceEnd: onSourceEnd, chunks: make(chan chunk, _readAheadChunks)}
	a.tomb.Go(a.loop)
	return a
}

// loop reads chunks from the source until its end. It returns the error of the
// source, or nil for io.EOF.
func (a *readAhead) loop() error {
	defer close(a.chunks)
	for {
		buf := _copyBuffers.Get().(*[_copyBufferBytes]byte)
		n, err := a.source.Read(buf[:])
		if err != nil {
			a.onSourceEnd()
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

// copyReadingAhead copies an answer's body to the caller, and reads it ahead of the
// writes to the caller.
func (c *bodyCopy) copyReadingAhead(source io.Reader, onBodyRead func()) error {
	a := newReadAhead(source, onBodyRead)
	for p := range a.chunks {
		c.write(p.buf[:p.n])
		_copyBuffers.Put(p.buf)
	}
	return a.tomb.Wait()
}
