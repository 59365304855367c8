package limit

import (
	"time"

	"dandelionhitch.example/platform"
)

// Action is an instruction of a Holder to its owner: Wait, Read, Write or Done.
type Action interface{ isAction() }

// Wait says that nothing is to be done until the monotonic clock reaches Until,
// or until TryAdmit reports that Act is to be called earlier.
type Wait struct{ Until time.Duration }

// Read says to read the Share. The answer is a ReadDone or Failed.
type Read struct{}

// Write says to replace the Share if its version is still the expected one. The
// answer is a WriteDone or Failed.
type Write struct {
	Share    Share
	Expected platform.Version
}

// Done says that the Holder has left the Share and needs no more calls of Act.
type Done struct{}

func (Wait) isAction()  {}
func (Read) isAction()  {}
func (Write) isAction() {}
func (Done) isAction()  {}

// Event is the answer to a Read or Write: ReadDone, WriteDone or Failed.
type Event interface{ isEvent() }

// ReadDone is the Share that was read and its version. Both are zero if the
// object does not exist.
type ReadDone struct {
	Share   Share
	Version platform.Version
}

// WriteDone says that the write took effect and produced this version.
type WriteDone struct{ Version platform.Version }

// Failed says that the read or write was refused, not answered, or answered with an
// error. A failed write may have taken effect, and may still do so later.
type Failed struct {
	// Conflict says that the platform refused the write because the version of the
	// Share was no longer the expected one.
	Conflict bool
}

func (ReadDone) isEvent()  {}
func (WriteDone) isEvent() {}
func (Failed) isEvent()    {}
