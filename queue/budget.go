package queue

// Budget bounds retries to a share of the requests, so that retries cannot
// multiply the load of an overloaded service. The zero value allows none.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that allows share retries for each request, and
// up to burst at once. It begins full.
func NewBudget(share, burst float64) Budget {
	return Budget{share: share, burst: burst, tokens: burst}
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Withdraw reports whether one retry is allowed, and counts it if so.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The budgets of an upstream's agent.
const (
	// _retryShare is the share of retries after a start, which cost a second run.
	_retryShare = 0.1
	_retryBurst = 10
	// _handOverShare is the share of hand-overs, which cost a message and no run.
	_handOverShare = 1
	_handOverBurst = 20
)

// RetryBudget returns the budget for retries of requests that may have started.
func RetryBudget() Budget { return NewBudget(_retryShare, _retryBurst) }

// HandOverBudget returns the budget for hand-overs of requests that have not started.
func HandOverBudget() Budget { return NewBudget(_handOverShare, _handOverBurst) }
