package quarantine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxIDBytes is the length from which on an id is replaced by its hash, as thousands of
// ids are kept.
const maxIDBytes = 64

// Incarnation is one start of a backend server.
type Incarnation struct {
	ID        string
	StartedMS uint64
}

// Parts returns the ids of the parts of a prompt that other prompts may share, in
// order, from a list of the form "ID:TOKENS,ID:TOKENS". The last part is the request's own.
// Their number is bounded by the size of the head that holds the list: a part may crash
// backend servers at any position.
func Parts(list string) []string {
	var parts []string
	for entry := range strings.SplitSeq(list, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		id = strings.ToLower(strings.TrimSpace(id))
		if len(id) > maxIDBytes {
			id = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		parts = append(parts, id)
	}
	seen := map[string]bool{"": true}
	return slices.DeleteFunc(parts[:len(parts)-1], func(id string) bool {
		again := seen[id]
		seen[id] = true
		return again
	})
}
