package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// keyID hashes a key. Each field is preceded by its length, so that the hash
// inputs of different keys differ.
func keyID(k *peer.KeyRef) id {
	var b []byte
	for _, s := range []string{k.GetClientAccount(), k.GetService(), k.GetKey()} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	sum := sha256.Sum256(b)
	return id(sum[:16])
}

// attemptHash returns a hash that identifies an attempt. It leaves out the
// agent's address, which does not distinguish attempts.
func attemptHash(a *peer.AttemptRef) uint64 {
	var b []byte
	for _, s := range []string{a.GetRequestId(), a.GetAgentId(), a.GetBackendServer()} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, uint64(a.GetNumber()))
	b = binary.AppendUvarint(b, a.GetAgentIncarnation())
	return xxhash.Sum64(b)
}

// digestPrefix returns the part of a request digest that is stored. It serves to
// detect a key that a caller reuses by mistake; 64 bits are enough for that.
func digestPrefix(digest []byte) uint64 {
	var b [8]byte
	copy(b[:], digest)
	return binary.LittleEndian.Uint64(b[:])
}

// cappedNumber returns the number of an attempt, at most 65535.
func cappedNumber(a *peer.AttemptRef) uint16 {
	return uint16(min(a.GetNumber(), math.MaxUint16))
}
