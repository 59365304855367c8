package ticket

// Outcome is the final outcome of a request: NotRun, Done or Unknown. A request whose
// outcome is NotRun never runs later.
type Outcome interface {
	outcome()
}

// NotRun means that the request did not run and never will.
type NotRun struct{}

// Done means that the request ran and was answered.
type Done struct {
	// Status is the HTTP status of the answer.
	Status int
	// Header holds the answer's header fields that are stored, in canonical form.
	Header map[string][]string
	// Body is the answer's body, if it was small enough to be stored.
	Body []byte
	// Kept reports whether Body is the complete body.
	Kept bool
	// Size is the size of the complete body in bytes.
	Size int64
	// Digest is the xxhash of the complete body.
	Digest uint64
}

// Unknown means that the request may have run, completely or in part.
type Unknown struct{}

func (NotRun) outcome()  {}
func (Done) outcome()    {}
func (Unknown) outcome() {}

// Verdict is the ledger's decision on a request that carries a ticket: Run, InProgress,
// Settled, Forgotten or Mismatch.
type Verdict interface {
	verdict()
}

// Run means that the caller must run the request and call Settle afterwards.
type Run struct{}

// InProgress means that another copy of the request has claimed the ticket and has no
// outcome yet.
type InProgress struct{}

// Settled means that the outcome is known.
type Settled struct {
	Outcome Outcome
}

// Forgotten means that the ledger does not hold the ticket, because the ticket has expired
// or was never issued here. The request must not run, and its outcome is not known.
type Forgotten struct{}

// Mismatch means that the ticket was already claimed by a different request.
type Mismatch struct{}

func (Run) verdict()        {}
func (InProgress) verdict() {}
func (Settled) verdict()    {}
func (Forgotten) verdict()  {}
func (Mismatch) verdict()   {}
