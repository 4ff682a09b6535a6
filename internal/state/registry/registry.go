/*
Package registry is the replicated state machine of a control group.

# Concept

Every replica applies the same commands in the same order and so reaches the
same state. The state holds the intent with its revision, the answers to
operation ids, the ledger of idempotency keys, the fencing numbers, and the
decisions on expert maps. [Registry.Apply] reads no clock, draws no random
number and depends on nothing but the state and the command. It never decides
by parsing an intent, since two versions of the program could then disagree;
the leader checks an intent before it proposes it.

A fencing number is the index of the log entry that drew it, so numbers never
repeat and never go back, also across leaders and snapshots.

# Use

A command is built with one of the constructors, proposed through the log, and
its result decoded:

	command := registry.ConfirmCommand(now, req)
	result, err := log.Propose(ctx, command)
	answer, err := registry.DecodeConfirmResult(result)

Reads are safe beside Apply. A read that must be current comes after a quorum
has confirmed the leader.
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

// Limits on what is remembered.
const (
	// maxOperations is the number of operation ids whose answers are kept,
	// about ten days at 400 changes a day. The oldest go first.
	maxOperations = 4096
	// maxHistory is the number of revisions whose confirmer is kept.
	maxHistory = 4096
	// maxFences bounds the backend servers with a fencing number of their own.
	maxFences = 100_000
)

// Registry is the state machine. Use New. Apply, Snapshot and Restore are
// called by one goroutine; all other methods may be called by any.
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
}

// New returns an empty state at revision 0, which drains everything.
func New() *Registry {
	return &Registry{
		ops:     newOperations(),
		groups:  map[string]*GroupRecord{},
		fencing: map[string]uint64{},
		ledger:  ledger.New(),
	}
}

// CurrentIntent is the configuration of the newest revision.
type CurrentIntent struct {
	Revision uint64
	// Index is the log index of the revision. It is the least fencing number
	// of orders that follow from the revision.
	Index uint64
	// Canonical is the intent's canonical form, for entries.
	Canonical []byte
	// CanonicalForAgents is the canonical form without client accounts.
	CanonicalForAgents []byte
	// AccountsDigest is the SHA-256 of the client accounts' canonical form.
	AccountsDigest []byte
	Intent         intent.Intent
	// Err says why Canonical cannot be read; Intent is empty then.
	Err error
}

// Apply carries out one command. It gives a Result, also for a command that
// cannot be decoded: a replica that failed instead would stop the group.
func (r *Registry) Apply(index uint64, command []byte) []byte {
	c := &Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return encode(failed(fault.New(fault.BadRequest, "command cannot be decoded")))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nowMS = max(r.nowMS, c.NowMs)
	return encode(r.apply(index, c))
}

func (r *Registry) apply(index uint64, c *Command) *Result {
	if err := checkLedger(c); err != nil {
		return failed(err)
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
			return failed(fault.From(err))
		}
		return &Result{Result: &Result_Complete{Complete: &peer.CompleteResponse{State: state}}}
	case *Command_GroupDecision:
		return r.decide(index, body.GroupDecision)
	case *Command_Fence:
		return r.fence(index, body.Fence)
	case *Command_ReplaceCatalog:
		return r.replaceCatalog(body.ReplaceCatalog)
	case *Command_DrainDomain:
		return r.drain(index, body.DrainDomain)
	}
	return failed(fault.New(fault.BadRequest, "command has no known content"))
}

// checkLedger refuses ledger commands without a key or an attempt. Control
// checks every call before it proposes it; this check keeps a command from
// another version of the program from making a state that no snapshot restores.
func checkLedger(c *Command) *fault.Error {
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

// Lookup tells the state of a key.
func (r *Registry) Lookup(nowMS uint64, key *peer.KeyRef) *peer.ClaimResponse {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ledger.Lookup(nowMS, key)
}

// Stats holds sizes for the status.
type Stats struct {
	LedgerKeys        int
	LedgerUnresolved  int
	LedgerAnswerBytes int
}

// Stats returns the sizes.
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

func failed(err *fault.Error) *Result {
	return &Result{Failure: &Failure{Kind: err.Kind.String(), Message: err.Message}}
}

func encode(res *Result) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil {
		// Only text that is not UTF-8 fails, and it came in through decoding,
		// which refuses it.
		panic("registry: " + err.Error())
	}
	return data
}
