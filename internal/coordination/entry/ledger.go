package entry

import (
	"context"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// ledgerTimeout bounds one call to the ledger, maxLedgerCalls the number of
	// calls for one operation. All ledger calls may be repeated.
	ledgerTimeout  = 2 * time.Second
	maxLedgerCalls = 2
)

// ledger is the client of the ledger that holds one key.
type ledger struct {
	region *region
	local  bool
	key    *peer.KeyRef
	digest []byte
}

// ledgerFor returns the ledger of a key. A region that is not in the settings
// of this entry cannot be reached.
func (r *Role) ledgerFor(home string, key *peer.KeyRef, digest []byte) (*ledger, error) {
	reg := r.regions[home]
	if reg == nil {
		return nil, fault.New(fault.RegionUnreachable, "region %q, whose ledger holds the key, is not configured at this entry", home)
	}
	if reg != r.localRegion() && reg.session.CheckLease() != nil {
		return nil, fault.New(fault.RegionUnreachable, "region %q, whose ledger holds the key, cannot be reached now", home).WithRetryAfter(time.Second)
	}
	return &ledger{region: reg, local: reg == r.localRegion(), key: key, digest: digest}, nil
}

// callWithRetry calls the ledger until it answers, at most maxLedgerCalls
// times.
func (l *ledger) callWithRetry(ctx context.Context, call func(context.Context) (*peer.ClaimResponse, error)) (*peer.ClaimResponse, *fault.Error) {
	var last error
	for range maxLedgerCalls {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		response, err := call(callCtx)
		cancel()
		if err != nil {
			last = err
			continue
		}
		if k := response.Key; k != nil && (k.ClientAccount != l.key.ClientAccount || k.Service != l.key.Service || k.Key != l.key.Key) {
			last = fault.New(fault.ChecksumMismatch, "the ledger's answer is about another key")
			continue
		}
		return response, nil
	}
	return nil, l.failure(last)
}

// failure returns the fault for a ledger that did not answer. It leaves the run
// state to the plan.
func (l *ledger) failure(err error) *fault.Error {
	if err == nil {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the key was claimed")
	}
	f := fault.From(peer.FromTwirp(err))
	if l.local && f.Kind == fault.NoQuorum {
		return f
	}
	return fault.Wrap(err, fault.RegionUnreachable, "the ledger of region %q did not answer", l.region.name).WithRetryAfter(time.Second)
}

func (l *ledger) claim(ctx context.Context, attempt *peer.AttemptRef) (*peer.ClaimResponse, *fault.Error) {
	return l.callWithRetry(ctx, func(ctx context.Context) (*peer.ClaimResponse, error) {
		return l.region.control.Claim(ctx, &peer.ClaimRequest{Key: l.key, Digest: l.digest, Attempt: attempt})
	})
}

func (l *ledger) reassign(ctx context.Context, failed *peer.AttemptRef, evidence peer.NotRunEvidence, next *peer.AttemptRef) (*peer.ClaimResponse, *fault.Error) {
	return l.callWithRetry(ctx, func(ctx context.Context) (*peer.ClaimResponse, error) {
		return l.region.control.Reassign(ctx, &peer.ReassignRequest{
			Key: l.key, Digest: l.digest, Failed: failed, Evidence: evidence, Next: next,
		})
	})
}

func (l *ledger) lookup(ctx context.Context) (*peer.ClaimResponse, *fault.Error) {
	return l.callWithRetry(ctx, func(ctx context.Context) (*peer.ClaimResponse, error) {
		return l.region.control.Lookup(ctx, &peer.LookupRequest{Key: l.key})
	})
}

// settle reports how an attempt ended: not run with evidence, or unknown
// without.
func (l *ledger) settle(ctx context.Context, attempt *peer.AttemptRef, evidence peer.NotRunEvidence) error {
	req := &peer.CompleteRequest{Key: l.key, Attempt: attempt, Outcome: &peer.CompleteRequest_Unknown{Unknown: true}}
	if evidence != peer.NotRunEvidence_NOT_RUN_EVIDENCE_UNSPECIFIED {
		req.Outcome = &peer.CompleteRequest_NotRun{NotRun: evidence}
	}
	var last error
	for range maxLedgerCalls {
		callCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		_, err := l.region.control.Complete(callCtx, req)
		cancel()
		if err == nil || fault.Is(peer.FromTwirp(err), fault.Conflict) {
			return nil
		}
		last = err
	}
	return last
}
