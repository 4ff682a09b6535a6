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

// MaxAnnouncementBytes bounds an announcement.
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

// Announcement is what a backend server tells the agent once a second.
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
	// MemoryTokens is the memory for tokens of requests; 0 for plain services.
	MemoryTokens  uint64 `json:"memory_tokens"`
	MaxConcurrent uint32 `json:"max_concurrent"`
	// ColdConcurrent is what a cold backend server can take; 0 means 1 for a
	// model and MaxConcurrent for a plain service.
	ColdConcurrent uint32 `json:"cold_concurrent"`
	Temperature    string `json:"temperature"`
	// MinBytesPerToken is the least number of prompt bytes that make one
	// token; 0 means 1.
	MinBytesPerToken float64  `json:"min_bytes_per_token"`
	ChecksFencing    bool     `json:"checks_fencing"`
	Resumes          bool     `json:"resumes"`
	Group            string   `json:"group"`
	Ranks            []uint32 `json:"ranks"`
	Leaving          bool     `json:"leaving"`
	Load             Load     `json:"load"`
	// Map is set when the backend server carries ranks of a group.
	Map *MapState `json:"map,omitempty"`
}

// Load is a backend server's own figure.
type Load struct {
	Running    uint32 `json:"running"`
	TokensHeld uint64 `json:"tokens_held"`
	StepUS     uint32 `json:"step_us"`
}

// DecodeAnnouncement reads and checks an announcement. Unknown fields are
// ignored, so that backend servers may be newer than the agent. Errors are
// BadRequest and name every problem, or TooLarge.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > MaxAnnouncementBytes {
		return a, fault.New(fault.TooLarge, "announcement has %d bytes, at most %d are accepted", len(data), MaxAnnouncementBytes)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return Announcement{}, fault.Wrap(err, fault.BadRequest, "announcement is not valid JSON of its form")
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
	// A cold backend server can take no more than a warm one.
	a.ColdConcurrent = min(a.ColdConcurrent, a.MaxConcurrent)
}

func (a Announcement) check() []string {
	var problems []string
	demand := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	demand(intent.IsValidName(a.Name), "name: %.80q is no name", a.Name)
	demand(intent.IsValidName(a.Service), "service: %.80q is no name", a.Service)
	demand(a.Group == "" || intent.IsValidName(a.Group), "group: %.80q is no name", a.Group)
	demand(a.Incarnation != 0, "incarnation: must not be 0")
	demand(a.Kind == KindModel || a.Kind == KindPlain, "kind: %.80q, want model or plain", a.Kind)
	demand(a.Temperature == TemperatureCold || a.Temperature == TemperatureWarm, "temperature: %.80q, want cold or warm", a.Temperature)
	demand(isAddress(a.Address), "address: %.80q is no host:port", a.Address)
	demand(a.MaxConcurrent > 0 && a.MaxConcurrent <= maxConcurrent, "max_concurrent: %d, want 1 to %d", a.MaxConcurrent, maxConcurrent)
	demand(a.Kind != KindModel || a.MemoryTokens > 0, "memory_tokens: a model needs some")
	demand(a.MemoryTokens <= maxTokenMemory, "memory_tokens: over %d", uint64(maxTokenMemory))
	demand(a.MinBytesPerToken > 0 && a.MinBytesPerToken <= 64 && !math.IsNaN(a.MinBytesPerToken), "min_bytes_per_token: %v, want more than 0 and at most 64", a.MinBytesPerToken)
	demand(len(a.Adapters) <= maxNames, "adapters: over %d", maxNames)
	demand(len(a.Ranks) <= maxRanks, "ranks: over %d", maxRanks)
	demand((a.Group == "") == (len(a.Ranks) == 0), "ranks: group and ranks go together")
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

// HasRank says whether the backend server carries a rank of a group.
func (a Announcement) HasRank(group string, rank uint32) bool {
	return a.Group == group && slices.Contains(a.Ranks, rank)
}
