package queue

// Budget is a token bucket that bounds retries to a share of the requests, so
// that retries cannot multiply the load of an overloaded service. The zero
// value allows no retries.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget that allows share retries for each request
// on average, and up to burst retries at once.
func NewBudget(share, burst float64) Budget {
	return Budget{share: share, burst: burst, tokens: burst}
}

// Deposit adds the tokens that one new request is worth.
func (b *Budget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Withdraw reports whether one retry is allowed, and takes a token if so.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return puts back the token of a retry that was allowed and not made.
func (b *Budget) Return() { b.tokens = min(b.burst, b.tokens+1) }

// The budgets of the agent in front of an upstream, as shares of the agent's requests.
const (
	// _retryShare is the share of retries of requests that may have started,
	// each of which costs a second run.
	_retryShare = 0.1
	_retryBurst = 10
	// _handOverShare is the share of handovers to other upstreams, each of
	// which costs a message but no run.
	_handOverShare = 1
	_handOverBurst = 20
)

// RetryBudget returns the budget for retries of requests that may have started.
func RetryBudget() Budget { return NewBudget(_retryShare, _retryBurst) }

// HandOverBudget returns the budget for handovers of requests that have not started.
func HandOverBudget() Budget { return NewBudget(_handOverShare, _handOverBurst) }
