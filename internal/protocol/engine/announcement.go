package engine

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// MaxAnnouncementBytes is the maximum size of an encoded announcement.
const MaxAnnouncementBytes = 64 << 10

// Kinds of backend servers, as announced.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Temperatures, as announced.
const (
	TemperatureCold = "cold"
	TemperatureWarm = "warm"
)

const (
	maxNames       = 256
	maxRanks       = 4096
	maxConcurrent  = 1 << 20
	maxTokenMemory = 1 << 40
)

// Announcement is the report that a backend server sends to the agent once a
// second.
type Announcement struct {
	Name string `json:"name"`
	// Incarnation changes with each start of the backend server.
	Incarnation uint64   `json:"incarnation"`
	Service     string   `json:"service"`
	Kind        string   `json:"kind"`
	Address     string   `json:"address"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	// MemoryTokens is the memory for requests, in tokens; 0 for plain services.
	MemoryTokens  uint64 `json:"memory_tokens"`
	MaxConcurrent uint32 `json:"max_concurrent"`
	// ColdConcurrent replaces MaxConcurrent while the backend server is cold; 0
	// means 1 for a model and MaxConcurrent for a plain service.
	ColdConcurrent uint32 `json:"cold_concurrent"`
	Temperature    string `json:"temperature"`
	// MinBytesPerToken is the smallest number of prompt bytes per token; 0
	// means 1.
	MinBytesPerToken float64  `json:"min_bytes_per_token"`
	ChecksFencing    bool     `json:"checks_fencing"`
	Resumes          bool     `json:"resumes"`
	Group            string   `json:"group"`
	Ranks            []uint32 `json:"ranks"`
	Leaving          bool     `json:"leaving"`
	Load             Load     `json:"load"`
	// Map is set if the backend server has ranks of a group.
	Map *MapState `json:"map,omitempty"`
}

// Load is the load that a backend server reports.
type Load struct {
	Running    uint32 `json:"running"`
	TokensHeld uint64 `json:"tokens_held"`
	StepUS     uint32 `json:"step_us"`
}

// DecodeAnnouncement decodes and validates an announcement. Unknown fields are
// ignored, so that backend servers may be newer than the agent. Errors are
// BadRequest and list every problem, or TooLarge.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > MaxAnnouncementBytes {
		return a, fault.New(fault.TooLarge, "announcement has %d bytes, at most %d are accepted", len(data), MaxAnnouncementBytes)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return Announcement{}, fault.Wrap(err, fault.BadRequest, "announcement is not valid JSON or has a field of the wrong type")
	}
	a.setDefaults()
	if problems := a.check(); len(problems) > 0 {
		return Announcement{}, fault.New(fault.BadRequest, "announcement: %s", strings.Join(problems, "; "))
	}
	return a, nil
}

func (a *Announcement) setDefaults() {
	if a.MinBytesPerToken == 0 {
		a.MinBytesPerToken = 1
	}
	if a.Temperature == "" {
		a.Temperature = TemperatureCold
	}
	if a.ColdConcurrent == 0 {
		a.ColdConcurrent = 1
		if a.Kind == KindPlain {
			a.ColdConcurrent = a.MaxConcurrent
		}
	}
	// A cold backend server has no more capacity than a warm one.
	a.ColdConcurrent = min(a.ColdConcurrent, a.MaxConcurrent)
}

func (a Announcement) check() []string {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(intent.IsValidName(a.Name), "name: %.80q is not a valid name", a.Name)
	require(intent.IsValidName(a.Service), "service: %.80q is not a valid name", a.Service)
	require(a.Group == "" || intent.IsValidName(a.Group), "group: %.80q is not a valid name", a.Group)
	require(a.Incarnation != 0, "incarnation: must not be 0")
	require(a.Kind == KindModel || a.Kind == KindPlain, "kind: %.80q, want model or plain", a.Kind)
	require(a.Temperature == TemperatureCold || a.Temperature == TemperatureWarm, "temperature: %.80q, want cold or warm", a.Temperature)
	require(isAddress(a.Address), "address: %.80q is no host:port", a.Address)
	require(a.MaxConcurrent > 0 && a.MaxConcurrent <= maxConcurrent, "max_concurrent: %d, want 1 to %d", a.MaxConcurrent, maxConcurrent)
	require(a.Kind != KindModel || a.MemoryTokens > 0, "memory_tokens: must not be 0 for a model")
	require(a.MemoryTokens <= maxTokenMemory, "memory_tokens: more than %d", uint64(maxTokenMemory))
	require(a.MinBytesPerToken > 0 && a.MinBytesPerToken <= 64 && !math.IsNaN(a.MinBytesPerToken), "min_bytes_per_token: %v, want more than 0 and at most 64", a.MinBytesPerToken)
	require(len(a.Adapters) <= maxNames, "adapters: more than %d", maxNames)
	require(len(a.Ranks) <= maxRanks, "ranks: more than %d", maxRanks)
	require((a.Group == "") == (len(a.Ranks) == 0), "ranks: group and ranks must be set together")
	return problems
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsAny(host, "/?#@ ") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// HasRank reports whether the backend server has a rank of a group.
func (a Announcement) HasRank(group string, rank uint32) bool {
	return a.Group == group && slices.Contains(a.Ranks, rank)
}
