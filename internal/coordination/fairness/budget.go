package fairness

// The retry budget: each first attempt adds a tenth of a retry, and at most ten
// are saved up.
const (
	budgetPerFirst = 0.1
	budgetBurst    = 10
)

// RetryBudget bounds redispatches. Without it, retries multiply the load
// exactly when backend servers fail. The zero value has spent its burst; use NewBudget.
type RetryBudget struct {
	left float64
}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: budgetBurst} }

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.left = min(b.left+budgetPerFirst, budgetBurst) }

// TryRetry takes one retry from the budget, if there is one.
func (b *RetryBudget) TryRetry() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
