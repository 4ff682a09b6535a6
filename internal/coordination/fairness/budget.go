package fairness

// Each first attempt adds a tenth of a retry to the budget, which holds at most
// ten retries.
const (
	budgetPerFirstAttempt = 0.1
	budgetBurst           = 10
)

// RetryBudget bounds redispatches. Without it, retries multiply the load
// exactly when backend servers fail. The zero value is an empty budget; use
// NewRetryBudget.
type RetryBudget struct {
	available float64
}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{available: budgetBurst} }

// RecordFirstAttempt adds the share of a first attempt to the budget.
func (b *RetryBudget) RecordFirstAttempt() {
	b.available = min(b.available+budgetPerFirstAttempt, budgetBurst)
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TryRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
