package ticket

// Outcome is what became of a request: NotRun, Done or Unknown. An outcome is
// final: a request that was said not to have run never runs afterwards.
type Outcome interface {
	outcome()
}

// NotRun says that the request did not run and never will.
type NotRun struct{}

// Done says that the request ran and was answered.
type Done struct {
	// Status is the HTTP status of the answer.
	Status int
	// Header holds the kept header fields of the answer, in canonical form.
	Header map[string][]string
	// Body is the answer's body, if it was small enough to keep.
	Body []byte
	// Kept says that Body is the whole body.
	Kept bool
	// Size is the size of the whole body in octets.
	Size int64
	// Digest is the xxhash of the whole body.
	Digest uint64
}

// Unknown says that the request may have run, wholly or in part.
type Unknown struct{}

func (NotRun) outcome()  {}
func (Done) outcome()    {}
func (Unknown) outcome() {}

// Verdict is what to do with a request that carries a ticket: Run, InProgress,
// Settled, Forgotten or Mismatch.
type Verdict interface {
	verdict()
}

// Run says to run the request and to call Settle afterwards.
type Run struct{}

// InProgress says that another copy of the request has the ticket and has no
// outcome yet.
type InProgress struct{}

// Settled says that the outcome is known.
type Settled struct {
	Outcome Outcome
}

// Forgotten says that the ledger does not hold the ticket, because it has
// expired or was never issued here. It must not run, and nothing is known of it.
type Forgotten struct{}

// Mismatch says that the ticket was used before for a different request.
type Mismatch struct{}

func (Run) verdict()        {}
func (InProgress) verdict() {}
func (Settled) verdict()    {}
func (Forgotten) verdict()  {}
func (Mismatch) verdict()   {}
