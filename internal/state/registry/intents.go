package registry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// PlanID returns the id of a plan: a digest of the base revision and the
// canonical new intent.
func PlanID(base uint64, canonical []byte) string {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, base))
	h.Write(canonical)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// confirm makes the intent the next revision, or returns a conflict that names
// the operator who confirmed first. The first result of an operation id is
// kept, so a resend is neither applied twice nor gets another result.
func (r *Registry) confirm(index uint64, c *ConfirmIntent) *Result {
	if op := r.ops.get(c.OperationId); op != nil {
		return repeatedResult(op, c)
	}
	res := r.compareAndSwap(index, c)
	op := &Operation{OperationId: c.OperationId, PlanId: c.PlanId, Failure: res.Failure}
	if res.Failure == nil {
		op.Revision = r.revision
	}
	r.ops.put(op)
	return res
}

func repeatedResult(op *Operation, c *ConfirmIntent) *Result {
	if op.PlanId != c.PlanId {
		return failedResult(fault.New(fault.Conflict, "operation id %q was already used for another plan", c.OperationId))
	}
	if op.Failure != nil {
		return &Result{Failure: op.Failure}
	}
	return &Result{Result: &Result_Intent{Intent: &IntentResult{Revision: op.Revision, RepeatedAnswer: true}}}
}

func (r *Registry) compareAndSwap(index uint64, c *ConfirmIntent) *Result {
	if c.PlanId != PlanID(c.BaseRevision, c.Intent) {
		return failedResult(fault.New(fault.BadRequest, "plan id does not belong to the base revision and the intent"))
	}
	if c.BaseRevision != r.revision {
		return failedResult(fault.New(fault.Conflict, "%s; make a new plan", r.describeConflict(c.BaseRevision)))
	}
	r.revision++
	r.history = append(r.history, &Revision{
		Revision: r.revision, OperatorName: c.OperatorName, OperationId: c.OperationId, NowMs: r.nowMS, Index: index,
	})
	if len(r.history) > maxHistory {
		r.history = append([]*Revision(nil), r.history[len(r.history)-maxHistory:]...)
	}
	r.current = parseIntent(r.revision, index, c.Intent)
	return &Result{Result: &Result_Intent{Intent: &IntentResult{Revision: r.revision}}}
}

// describeConflict says why a base revision is not the current one. It names the
// operator who confirmed the revision after it, if the history still holds it.
func (r *Registry) describeConflict(base uint64) string {
	if base > r.revision {
		return fmt.Sprintf("base revision %d does not exist, the current one is %d", base, r.revision)
	}
	for _, h := range r.history {
		if h.Revision == base+1 {
			return fmt.Sprintf("operator %q won with operation %q: revision %d follows base revision %d, the current one is %d",
				h.OperatorName, h.OperationId, h.Revision, base, r.revision)
		}
	}
	return fmt.Sprintf("base revision %d is out of date, the current one is %d", base, r.revision)
}

// History returns the newest revisions with their operators, the newest last.
func (r *Registry) History() []*Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return append([]*Revision(nil), r.history...)
}

func parseIntent(revision, index uint64, canonical []byte) CurrentIntent {
	c := CurrentIntent{Revision: revision, Index: index, Canonical: canonical}
	c.Intent, c.Err = intent.Parse(canonical)
	if c.Err == nil {
		c.CanonicalForAgents = c.Intent.WithoutClientAccounts().Canonical()
		sum := sha256.Sum256(intent.Intent{ClientAccounts: c.Intent.ClientAccounts}.Canonical())
		c.AccountsDigest = sum[:]
	}
	return c
}

// operations holds the results of the newest operation ids.
type operations struct {
	byID  map[string]*Operation
	order []*Operation
}

func newOperations() operations { return operations{byID: map[string]*Operation{}} }

func (o *operations) get(id string) *Operation { return o.byID[id] }

func (o *operations) put(op *Operation) {
	o.byID[op.OperationId] = op
	o.order = append(o.order, op)
	if len(o.order) > maxOperations {
		delete(o.byID, o.order[0].OperationId)
		o.order = o.order[1:]
	}
}
