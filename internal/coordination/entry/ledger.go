package entry

import (
	"context"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// ledgerTimeout bounds one call of the ledger, ledgerTries the calls for
	// one question. All ledger calls may be repeated.
	ledgerTimeout = 2 * time.Second
	ledgerTries   = 2
)

// ledger is the home of one key.
type ledger struct {
	region *region
	own    bool
	key    *peer.KeyRef
	digest []byte
}

// ledgerFor finds the ledger of a key. A region that this entry does not know
// cannot be reached.
func (r *Role) ledgerFor(home string, key *peer.KeyRef, digest []byte) (*ledger, error) {
	g := r.regions[home]
	if g == nil {
		return nil, fault.New(fault.RegionUnreachable, "region %q, home of the key, cannot be reached from here", home)
	}
	if g != r.own() && g.session.CheckLease() != nil {
		return nil, fault.New(fault.RegionUnreachable, "region %q, home of the key, cannot be reached now", home).WithRetryAfter(time.Second)
	}
	return &ledger{region: g, own: g == r.own(), key: key, digest: digest}, nil
}

// ask calls the ledger until it answers, at most ledgerTries times.
func (l *ledger) ask(ctx context.Context, call func(context.Context) (*peer.ClaimResponse, error)) (*peer.ClaimResponse, *fault.Error) {
	var last error
	for range ledgerTries {
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
			last = fault.New(fault.ChecksumMismatch, "got the ledger's answer about another key")
			continue
		}
		return response, nil
	}
	return nil, l.failure(last)
}

// failure names why the ledger gave no answer. The run state is the plan's to
// decide.
func (l *ledger) failure(err error) *fault.Error {
	if err == nil {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the key was claimed")
	}
	f := fault.From(peer.FromTwirp(err))
	if l.own && f.Kind == fault.NoQuorum {
		return f
	}
	return fault.Wrap(err, fault.RegionUnreachable, "the ledger of region %q gave no answer", l.region.name).WithRetryAfter(time.Second)
}

func (l *ledger) claim(ctx context.Context, attempt *peer.AttemptRef) (*peer.ClaimResponse, *fault.Error) {
	return l.ask(ctx, func(ctx context.Context) (*peer.ClaimResponse, error) {
		return l.region.control.Claim(ctx, &peer.ClaimRequest{Key: l.key, Digest: l.digest, Attempt: attempt})
	})
}

func (l *ledger) reassign(ctx context.Context, failed *peer.AttemptRef, evidence peer.NotRunEvidence, next *peer.AttemptRef) (*peer.ClaimResponse, *fault.Error) {
	return l.ask(ctx, func(ctx context.Context) (*peer.ClaimResponse, error) {
		return l.region.control.Reassign(ctx, &peer.ReassignRequest{
			Key: l.key, Digest: l.digest, Failed: failed, Evidence: evidence, Next: next,
		})
	})
}

func (l *ledger) lookup(ctx context.Context) (*peer.ClaimResponse, *fault.Error) {
	return l.ask(ctx, func(ctx context.Context) (*peer.ClaimResponse, error) {
		return l.region.control.Lookup(ctx, &peer.LookupRequest{Key: l.key})
	})
}

// settle tells how an attempt ended: not run, or unknown without evidence.
func (l *ledger) settle(ctx context.Context, attempt *peer.AttemptRef, evidence peer.NotRunEvidence) error {
	req := &peer.CompleteRequest{Key: l.key, Attempt: attempt, Outcome: &peer.CompleteRequest_Unknown{Unknown: true}}
	if evidence != peer.NotRunEvidence_NOT_RUN_EVIDENCE_UNSPECIFIED {
		req.Outcome = &peer.CompleteRequest_NotRun{NotRun: evidence}
	}
	var last error
	for range ledgerTries {
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
