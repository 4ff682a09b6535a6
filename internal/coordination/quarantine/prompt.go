package quarantine

import (
	"slices"
	"strings"
)

// maxParts bounds the parts of a prompt that are considered.
const maxParts = 64

// Incarnation is one start of a backend server.
type Incarnation struct {
	ID        string
	StartedMS uint64
}

// Parts returns the ids of the parts of a prompt that other prompts may share, from
// a list of the form "ID:TOKENS,ID:TOKENS". The last part is the request's own.
func Parts(list string) []string {
	var parts []string
	for entry := range strings.SplitSeq(list, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		parts = append(parts, strings.ToLower(strings.TrimSpace(id)))
	}
	parts = parts[:min(len(parts)-1, maxParts)]
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return slices.DeleteFunc(parts, func(id string) bool { return id == "" })
}
