/*
Package ledger decides which attempt of a request with an idempotency key may
run.

# Concept

A key has at most one current attempt. [Ledger.Claim] grants the first one;
every other claim of the key gets the state of the key and runs nothing. The
current attempt ends in one of three ways, which [Ledger.Complete] records: with
an answer, with evidence that it did not run and never will, or with an unknown
outcome. Only evidence allows another attempt to replace it, either in
[Ledger.Reassign], which compares the failed attempt with the current one, or
by releasing the key for the next claim. A key with an unknown outcome grants
no attempt until evidence or an answer is recorded, and it never expires.

Keys with a known outcome are removed 24 h after their last change. Answers
are kept up to [MaxAnswerBytes] each and [MaxAnswersBytes] together; the
oldest is dropped first, and its key then reports only that the request ran.

# Use

The ledger is part of the replicated state machine. It reads no clock: every
command carries the leader's time. The ledger's time is the sum of the forward
steps of the leader's time, each limited, so that a leader whose clock is wrong
by days neither expires keys early nor keeps them days longer.

	l := ledger.New()
	res := l.Claim(nowMS, req)
	if res.State == peer.ClaimState_CLAIM_STATE_GRANTED { ... }

A Ledger is not safe for concurrent writes; concurrent reads are safe.
*/
package ledger

import (
	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Limits of the ledger.
const (
	// RetentionSeconds is how long a key with a known outcome is kept.
	RetentionSeconds = 24 * 3600
	// MaxAnswerBytes limits one stored answer, headers included.
	MaxAnswerBytes = 64 << 10
	// MaxAnswersBytes limits all stored answers together.
	MaxAnswersBytes = 64 << 20
	// maxStepSeconds limits what one command adds to the ledger's time. If
	// commands are further apart, keys are kept longer; there are few keys then.
	maxStepSeconds = 600
	// expiryBatch limits the records that one command expires. A command adds
	// at most one record, so a batch above 1 always reduces a backlog.
	expiryBatch = 16
)

//go:generate go tool stringer -type=state -linecomment -output=state_string.go

type state uint8

const (
	free     state = iota // free
	running               // running
	unknown               // unknown
	done                  // done
	dropped               // dropped
	released              // released
)

// Ledger holds all keys of a region. Use New.
type Ledger struct {
	now        uint32 // the ledger's time in seconds, see timeAt
	wall       uint32 // the leader's time of the latest command, in seconds
	table      table
	unresolved map[id]*peer.AttemptRef // attempts that are running or unknown
	answers    answers
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{unresolved: map[id]*peer.AttemptRef{}, answers: newAnswers()}
}

// Keys returns the number of keys in the ledger.
func (l *Ledger) Keys() int { return l.table.used }

// Unresolved returns the number of keys whose attempt is running or unknown.
func (l *Ledger) Unresolved() int { return len(l.unresolved) }

// AnswerBytes returns the size of all stored answers.
func (l *Ledger) AnswerBytes() int { return l.answers.bytes }

// Claim grants the attempt if the key is new or released. The same attempt is
// granted again while it is the current one, so that a claim can be resent.
func (l *Ledger) Claim(nowMS uint64, req *peer.ClaimRequest) *peer.ClaimResponse {
	l.advance(nowMS)
	key, sum := keyID(req.Key), attemptHash(req.Attempt)
	r := l.find(key)
	if r == nil || r.state == released {
		if r != nil && r.attempt == sum {
			// A late duplicate of a claim whose attempt was released.
			return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_ABSENT}
		}
		l.answers.drop(key)
		l.table.append(record{
			id: key, digest: digestPrefix(req.Digest), attempt: sum,
			time: l.now, number: cappedNumber(req.Attempt), state: running,
		})
		l.unresolved[key] = req.Attempt
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: req.Attempt}
	}
	if r.digest != digestPrefix(req.Digest) {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_KEY_REUSED}
	}
	if r.state == running && r.attempt == sum {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: l.unresolved[key]}
	}
	return l.response(r)
}

// Reassign replaces the current attempt by the next one if the evidence shows
// that the current attempt did not run. Otherwise it returns the state of the
// key.
func (l *Ledger) Reassign(nowMS uint64, req *peer.ReassignRequest) *peer.ClaimResponse {
	l.advance(nowMS)
	key, next := keyID(req.Key), attemptHash(req.Next)
	r := l.find(key)
	switch {
	case r == nil || r.state == released:
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_ABSENT}
	case r.digest != digestPrefix(req.Digest):
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_KEY_REUSED}
	case r.state == running && r.attempt == next:
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: l.unresolved[key]}
	case r.attempt != attemptHash(req.Failed) || !l.provesNotRun(r, req.Evidence) || !isSuccessor(req):
		return l.response(r)
	}
	r.attempt, r.number, r.state, r.time = next, cappedNumber(req.Next), running, l.now
	l.unresolved[key] = req.Next
	return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: req.Next}
}

// Complete records how the current attempt ended. The error is a Conflict
// fault if the attempt is not the key's current or last one; nothing is
// recorded then.
func (l *Ledger) Complete(nowMS uint64, req *peer.CompleteRequest) (peer.ClaimState, error) {
	l.advance(nowMS)
	key := keyID(req.Key)
	r := l.find(key)
	if r == nil || r.attempt != attemptHash(req.Attempt) {
		return 0, fault.New(fault.Conflict, "attempt %d of request %q is not the current attempt of its key",
			req.Attempt.GetNumber(), req.Attempt.GetRequestId())
	}
	if r.state == running || r.state == unknown {
		l.recordOutcome(r, req)
	}
	return r.state.claimState(), nil
}

// Lookup returns the state of a key and changes nothing.
func (l *Ledger) Lookup(nowMS uint64, key *peer.KeyRef) *peer.ClaimResponse {
	r := l.findAt(l.timeAt(nowMS), keyID(key))
	if r == nil {
		return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_ABSENT}
	}
	return l.response(r)
}

func (l *Ledger) recordOutcome(r *record, req *peer.CompleteRequest) {
	switch outcome := req.Outcome.(type) {
	case *peer.CompleteRequest_Answer:
		r.state = dropped
		if data, ok := encodeAnswer(outcome.Answer); ok {
			r.state = done
			l.store(r.id, data)
		}
		delete(l.unresolved, r.id)
	case *peer.CompleteRequest_NotRun:
		if !l.provesNotRun(r, outcome.NotRun) {
			return
		}
		r.state = released
		delete(l.unresolved, r.id)
	case *peer.CompleteRequest_Unknown:
		r.state = unknown
	default:
		return
	}
	r.time = l.now
}

// provesNotRun reports whether the evidence shows that the current attempt will
// never run. An entry that did not send the dispatch does not report an unknown
// outcome, so NOT_SENT proves nothing for an attempt with an unknown outcome.
func (l *Ledger) provesNotRun(r *record, evidence peer.NotRunEvidence) bool {
	if r.state != running && r.state != unknown {
		return false
	}
	switch evidence {
	case peer.NotRunEvidence_NOT_RUN_EVIDENCE_REFUSED, peer.NotRunEvidence_NOT_RUN_EVIDENCE_TOMBSTONE:
		return true
	case peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT:
		return r.state == running
	}
	return false
}

// isSuccessor reports whether the next attempt may replace the failed one.
// NOT_SENT is accepted only from the request that owns the failed attempt: no
// other request can determine that the attempt was not sent.
func isSuccessor(req *peer.ReassignRequest) bool {
	if req.Evidence == peer.NotRunEvidence_NOT_RUN_EVIDENCE_NOT_SENT && req.Next.GetRequestId() != req.Failed.GetRequestId() {
		return false
	}
	return req.Next.GetNumber() == req.Failed.GetNumber()+1
}

// store saves an answer and drops the oldest ones above MaxAnswersBytes.
func (l *Ledger) store(key id, data []byte) {
	l.answers.put(key, data)
	for l.answers.bytes > MaxAnswersBytes {
		oldest := l.answers.dropOldest()
		if pos, ok := l.table.find(oldest); ok {
			l.table.at(pos).state = dropped
		}
	}
}

func (l *Ledger) response(r *record) *peer.ClaimResponse {
	res := &peer.ClaimResponse{State: r.state.claimState(), Attempt: l.unresolved[r.id]}
	if r.state == done {
		res.Answer = decodeAnswer(l.answers.get(r.id))
	}
	return res
}

// claimState returns the state as reported to a caller to which no attempt is
// granted.
func (s state) claimState() peer.ClaimState {
	switch s {
	case running:
		return peer.ClaimState_CLAIM_STATE_IN_PROGRESS
	case unknown:
		return peer.ClaimState_CLAIM_STATE_UNKNOWN
	case done:
		return peer.ClaimState_CLAIM_STATE_DONE
	case dropped:
		return peer.ClaimState_CLAIM_STATE_DONE_DROPPED
	}
	return peer.ClaimState_CLAIM_STATE_ABSENT
}

// encodeAnswer returns false if the answer is too large to be stored.
func encodeAnswer(a *peer.StoredAnswer) ([]byte, bool) {
	if a.TooLarge || len(a.Body) > MaxAnswerBytes {
		return nil, false
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(a)
	return data, err == nil && len(data) <= MaxAnswerBytes
}

func decodeAnswer(data []byte) *peer.StoredAnswer {
	a := &peer.StoredAnswer{}
	if err := proto.Unmarshal(data, a); err != nil {
		return nil
	}
	return a
}
