/*
Package peer defines the protocol between the processes of the system.

# Exchanges

Unary calls use twirp: replication between control replicas, renewals and
ledger calls from entries and agents to control, cancellation from entries to
agents, and the operators' API. Answers to requests are streams of
length-delimited frames; see package frame.

# Errors

A fault is sent as a twirp error with its kind, run state, leader and retry
delay in the meta entries:

	return nil, peer.ToTwirp(fault.New(fault.Conflict, "revision %d is newer", r))
	...
	if fault.Is(peer.FromTwirp(err), fault.Conflict) { ... }

The .proto files are the source; the generated Go code is committed, so that
the build needs no generator:

	GOBIN=$PWD/bin go install tool
	PATH=$PWD/bin:$PATH protoc -I. --go_out=paths=source_relative:. \
		--twirp_out=paths=source_relative:. internal/protocol/peer/*.proto
*/
package peer
