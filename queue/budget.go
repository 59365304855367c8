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
