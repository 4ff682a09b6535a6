/*
Package registry is the replicated state machine of a control group.

# Concept

Every replica applies the same commands in the same order and so reaches the
same state. The state holds the intent with its revision, the results of
operation ids, the ledger of idempotency keys, the fencing numbers, the catalog,
the drained failure domains, the quarantined parts of prompts, the holder of the
duty of usage reports with the counts of open reports, and the decisions on expert
maps. [Registry.Apply] is deterministic: it reads no clock,
uses no random numbers and depends only on the state and the command. Its
results never depend on parsing an intent, since two versions of the program
could then disagree; the leader checks an intent before it proposes it.

A fencing number is the index of the log entry that issued it, so numbers are
unique and only increase, also across leaders and snapshots.

# Use

A command is built with one of the constructors, proposed through the log, and
its result decoded:

	command := registry.ConfirmCommand(now, req)
	result, err := log.Propose(ctx, command)
	answer, err := registry.DecodeConfirmResult(result)

Reads may run concurrently with Apply. A read that must be current requires
that a quorum has confirmed the leader first.
*/
package registry

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/ledger"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Limits on the retained state.
const (
	// maxOperations is the number of operation ids whose results are kept,
	// about ten days at 400 changes a day. The oldest are removed first.
	maxOperations = 4096
	// maxHistory is the number of revisions whose operator is kept.
	maxHistory = 4096
	// maxFencedServers limits the backend servers with a fencing number of their own.
	maxFencedServers = 100_000
)

// Registry is the state machine. Create it with New. Apply, Snapshot and
// Restore must be called from one goroutine; all other methods are safe for
// concurrent use.
type Registry struct {
	mu       sync.RWMutex
	nowMS    uint64
	revision uint64
	current  CurrentIntent
	ops      operations
	history  []*Revision // ascending, the newest last
	groups   map[string]*GroupRecord
	fencing  map[string]uint64
	ledger   *ledger.Ledger
	catalog  Catalog
	drained  DrainedDomains
	// drainChanges holds the log index of the last change of a failure domain since
	// the last restore, which was at restoredDrainIndex.
	drainChanges       map[string]uint64
	restoredDrainIndex uint64

	quarantineIndex uint64
	quarantine      []*QuarantineRecord // sorted by part; records are not modified

	duty *DutyRecord // replaced by each change; nil if the duty was never granted
}

// New returns an empty state at revision 0. Its intent lists no failure domain,
// so all backend servers count as drained.
func New() *Registry {
	return &Registry{
		ops:     newOperations(),
		groups:  map[string]*GroupRecord{},
		fencing: map[string]uint64{},
		ledger:  ledger.New(),

		drainChanges: map[string]uint64{},
	}
}

// CurrentIntent is the configuration of the newest revision.
type CurrentIntent struct {
	Revision uint64
	// Index is the log index of the revision. It is the lowest fencing number
	// of orders that result from the revision.
	Index uint64
	// Canonical is the intent's canonical form, as sent to nodes of the role entry.
	Canonical []byte
	// CanonicalForAgents is Canonical without client accounts.
	CanonicalForAgents []byte
	// AccountsDigest is the SHA-256 of the client accounts' canonical form.
	AccountsDigest []byte
	Intent         intent.Intent
	// Err is the error of parsing Canonical; Intent is then empty.
	Err error
}

// Apply applies one command and returns an encoded Result, also for a command
// that cannot be decoded: replicas that failed instead would stop the group.
func (r *Registry) Apply(index uint64, command []byte) []byte {
	c := &Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return encodeResult(failedResult(fault.New(fault.BadRequest, "command cannot be decoded")))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nowMS = max(r.nowMS, c.NowMs)
	return encodeResult(r.apply(index, c))
}

func (r *Registry) apply(index uint64, c *Command) *Result {
	if err := checkLedgerCommand(c); err != nil {
		return failedResult(err)
	}
	switch body := c.Command.(type) {
	case *Command_Confirm:
		return r.confirm(index, body.Confirm)
	case *Command_Claim:
		return claimResult(r.ledger.Claim(c.NowMs, body.Claim))
	case *Command_Reassign:
		return claimResult(r.ledger.Reassign(c.NowMs, body.Reassign))
	case *Command_Complete:
		state, err := r.ledger.Complete(c.NowMs, body.Complete)
		if err != nil {
			return failedResult(fault.From(err))
		}
		return &Result{Result: &Result_Complete{Complete: &peer.CompleteResponse{State: state}}}
	case *Command_GroupDecision:
		return r.decideGroup(index, body.GroupDecision)
	case *Command_Fence:
		return r.issueFencing(index, body.Fence)
	case *Command_ReplaceCatalog:
		return r.replaceCatalog(body.ReplaceCatalog)
	case *Command_DrainDomain:
		return r.drain(index, body.DrainDomain)
	case *Command_Quarantine:
		return r.changeQuarantine(index, c.NowMs, body.Quarantine)
	case *Command_DutyGrant:
		return r.grantDuty(index, body.DutyGrant)
	case *Command_DutyRenewal:
		return r.renewDuty(index, body.DutyRenewal)
	case *Command_UsageClose:
		return r.closeUsage(index, body.UsageClose)
	case *Command_UsageSettle:
		return r.settleUsage(body.UsageSettle)
	case *Command_UsageAbandon:
		return r.abandonUsage(body.UsageAbandon)
	}
	return failedResult(fault.New(fault.BadRequest, "command is empty or of an unknown type"))
}

// checkLedgerCommand rejects ledger commands without a key or an attempt. Control
// checks every call before it proposes it; this check prevents a command from
// another version of the program from creating a state that cannot be restored
// from a snapshot.
func checkLedgerCommand(c *Command) *fault.Error {
	var key *peer.KeyRef
	var attempts []*peer.AttemptRef
	switch body := c.Command.(type) {
	case *Command_Claim:
		key, attempts = body.Claim.GetKey(), []*peer.AttemptRef{body.Claim.GetAttempt()}
	case *Command_Reassign:
		key, attempts = body.Reassign.GetKey(), []*peer.AttemptRef{body.Reassign.GetFailed(), body.Reassign.GetNext()}
	case *Command_Complete:
		key, attempts = body.Complete.GetKey(), []*peer.AttemptRef{body.Complete.GetAttempt()}
	default:
		return nil
	}
	if key == nil || slices.Contains(attempts, nil) {
		return fault.New(fault.BadRequest, "ledger command without a key or an attempt")
	}
	return nil
}

// Current returns the configuration of the newest revision.
func (r *Registry) Current() CurrentIntent {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// Revision returns the newest revision.
func (r *Registry) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Lookup returns the state of an idempotency key.
func (r *Registry) Lookup(nowMS uint64, key *peer.KeyRef) *peer.ClaimResponse {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ledger.Lookup(nowMS, key)
}

// Stats holds the sizes that the status reports.
type Stats struct {
	LedgerKeys        int
	LedgerUnresolved  int
	LedgerAnswerBytes int
}

// Stats returns the current sizes of the ledger.
func (r *Registry) Stats() Stats {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Stats{
		LedgerKeys:        r.ledger.Keys(),
		LedgerUnresolved:  r.ledger.Unresolved(),
		LedgerAnswerBytes: r.ledger.AnswerBytes(),
	}
}

func claimResult(res *peer.ClaimResponse) *Result {
	return &Result{Result: &Result_Claim{Claim: res}}
}

func failedResult(err *fault.Error) *Result {
	return &Result{Failure: &Failure{Kind: err.Kind.String(), Message: err.Message}}
}

func encodeResult(res *Result) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil {
		// Encoding fails only for text that is not UTF-8. All text comes from
		// decoded commands, and decoding rejects such text.
		panic("registry: " + err.Error())
	}
	return data
}
