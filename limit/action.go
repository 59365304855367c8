package limit

import (
	"time"

	"dandelionhitch.example/platform"
)

// Action is what a Holder wants done next: Rest, Read, Write or Done.
type Action interface{ isAction() }

// Rest waits until the monotonic clock has come to Until, or the Holder says
// that it should be asked earlier.
type Rest struct{ Until time.Duration }

// Read reads the Share. The answer is a ReadDone or Failed.
type Read struct{}

// Write puts the Share if its version is still the expected one. The answer is
// a WriteDone or Failed.
type Write struct {
	Share    Share
	Expected platform.Version
}

// Done ends a Holder that has returned its share.
type Done struct{}

func (Rest) isAction()  {}
func (Read) isAction()  {}
func (Write) isAction() {}
func (Done) isAction()  {}

// Event is the answer to a Read or Write: ReadDone, WriteDone or Failed.
type Event interface{ isEvent() }

// ReadDone brings the Share at a version; zero if there is none.
type ReadDone struct {
	Share   Share
	Version platform.Version
}

// WriteDone says that the write took effect as this version.
type WriteDone struct{ Version platform.Version }

// Failed says that the read or write has no certain result: refused, not
// answered, or answered by an error. A write that failed may have taken
// effect, and may still do so later.
type Failed struct {
	// Conflict says that the version was no longer the expected one.
	Conflict bool
}

func (ReadDone) isEvent()  {}
func (WriteDone) isEvent() {}
func (Failed) isEvent()    {}
