package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// ConfirmCommand encodes the confirmation of a plan. The request's intent must
// be in canonical form.
func ConfirmCommand(now time.Time, req *peer.ConfirmRequest) []byte {
	return encodeCommand(now, &Command{Command: &Command_Confirm{Confirm: &ConfirmIntent{
		PlanId:       req.PlanId,
		BaseRevision: req.BaseRevision,
		Intent:       req.Intent,
		OperationId:  req.OperationId,
		OperatorName: req.OperatorName,
	}}})
}

// ClaimCommand encodes the claim of an idempotency key for an attempt.
func ClaimCommand(now time.Time, req *peer.ClaimRequest) []byte {
	return encodeCommand(now, &Command{Command: &Command_Claim{Claim: req}})
}

// ReassignCommand encodes the reassignment of a key from a failed attempt to the
// next one.
func ReassignCommand(now time.Time, req *peer.ReassignRequest) []byte {
	return encodeCommand(now, &Command{Command: &Command_Reassign{Reassign: req}})
}

// CompleteCommand encodes the outcome of an attempt.
func CompleteCommand(now time.Time, req *peer.CompleteRequest) []byte {
	return encodeCommand(now, &Command{Command: &Command_Complete{Complete: req}})
}

// GroupCommand encodes a decision on an expert map.
func GroupCommand(now time.Time, d *GroupDecision) []byte {
	return encodeCommand(now, &Command{Command: &Command_GroupDecision{GroupDecision: d}})
}

// FenceCommand encodes the issue of a new fencing number for a backend server.
func FenceCommand(now time.Time, backendServer string) []byte {
	return encodeCommand(now, &Command{Command: &Command_Fence{Fence: &Fence{Target: backendServer}}})
}

func encodeCommand(now time.Time, c *Command) []byte {
	c.NowMs = UnixMilliseconds(now)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		// The command holds text that is not UTF-8. Apply rejects the empty
		// command that is proposed in its place.
		return nil
	}
	return data
}

// UnixMilliseconds returns a time in the form of commands: milliseconds since
// the Unix epoch, and 0 for earlier times.
func UnixMilliseconds(t time.Time) uint64 { return uint64(max(0, t.UnixMilli())) }

// DecodeConfirmResult decodes the result of a ConfirmCommand.
func DecodeConfirmResult(result []byte) (*peer.ConfirmResponse, error) {
	res, err := decodeResult(result)
	if err != nil {
		return nil, err
	}
	return &peer.ConfirmResponse{Revision: res.GetIntent().GetRevision(), RepeatedAnswer: res.GetIntent().GetRepeatedAnswer()}, nil
}

// DecodeClaimResult decodes the result of a ClaimCommand or ReassignCommand.
func DecodeClaimResult(result []byte) (*peer.ClaimResponse, error) {
	res, err := decodeResult(result)
	return res.GetClaim(), err
}

// DecodeCompleteResult decodes the result of a CompleteCommand.
func DecodeCompleteResult(result []byte) (*peer.CompleteResponse, error) {
	res, err := decodeResult(result)
	return res.GetComplete(), err
}

// DecodeGroupResult decodes the result of a GroupCommand: the record after it,
// and whether the decision won.
func DecodeGroupResult(result []byte) (record *GroupRecord, won bool, err error) {
	res, err := decodeResult(result)
	return res.GetGroup().GetRecord(), res.GetGroup().GetWon(), err
}

// DecodeFenceResult decodes the result of a FenceCommand.
func DecodeFenceResult(result []byte) (uint64, error) {
	res, err := decodeResult(result)
	return res.GetFencing(), err
}

func decodeResult(result []byte) (*Result, error) {
	res := &Result{}
	if err := proto.Unmarshal(result, res); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "registry: result cannot be decoded")
	}
	if res.Failure != nil {
		kind, _ := fault.ParseKind(res.Failure.Kind)
		return nil, fault.New(kind, "%s", res.Failure.Message)
	}
	if res.Result == nil {
		return nil, fault.New(fault.Internal, "registry: result is empty")
	}
	return res, nil
}
