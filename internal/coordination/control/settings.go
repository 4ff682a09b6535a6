package control

import (
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Settings is the settings file of a control replica.
type Settings struct {
	// Listen is host:port; Advertise is the address for other processes and
	// defaults to the listen address.
	Listen        string `toml:"listen"`
	Advertise     string `toml:"advertise,omitempty"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	Host          string `toml:"host"`
	// TokenFile holds the token of the system's processes, OperatorTokenFile
	// that of operators.
	TokenFile         string `toml:"token_file"`
	OperatorTokenFile string `toml:"operator_token_file"`
	// Control lists the addresses of the control group; it is not used by the
	// group itself.
	Control  []string `toml:"control,omitempty"`
	LogLevel string   `toml:"log_level"`
	// MemoryMB and FileDescriptors are what the process may use of its host; 0 means
	// unknown, see package intake.
	MemoryMB        int `toml:"memory_mb"`
	FileDescriptors int `toml:"file_descriptors"`
	// ID is the replica's number. A replica that lost its disk gets a new one.
	ID         uint64 `toml:"id"`
	DataFolder string `toml:"data_folder"`
	// Bootstrap lists the voters of a new cluster; empty to join as a learner.
	Bootstrap []Member `toml:"bootstrap,omitempty"`
}

// Member is a replica in the settings.
type Member struct {
	ID            uint64 `toml:"id"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failure_domain"`
}

// DefaultSettings returns settings that lack only the values that are specific to
// a replica.
func DefaultSettings() Settings {
	return Settings{Listen: "127.0.0.1:7000", LogLevel: "info"}
}

// Check returns one line for each problem, "field: reason".
func (s Settings) Check() []string {
	var problems []string
	add := func(field, format string, args ...any) {
		problems = append(problems, field+": "+fmt.Sprintf(format, args...))
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		add("listen", "%q is no host:port", s.Listen)
	}
	if _, _, err := net.SplitHostPort(s.Advertise); s.Advertise != "" && err != nil {
		add("advertise", "%q is no host:port", s.Advertise)
	}
	for _, f := range []struct{ field, name string }{{"region", s.Region}, {"failure_domain", s.FailureDomain}} {
		if !intent.IsValidName(f.name) {
			add(f.field, "%q is not a valid name; use up to 64 of a-z, 0-9, dot, dash and underscore", f.name)
		}
	}
	for _, f := range []struct{ field, path string }{
		{"token_file", s.TokenFile}, {"operator_token_file", s.OperatorTokenFile}, {"data_folder", s.DataFolder},
	} {
		if f.path == "" {
			add(f.field, "is missing")
		}
	}
	if s.MemoryMB < 0 || s.FileDescriptors < 0 {
		add("memory_mb", "and file_descriptors must not be negative")
	}
	if s.ID == 0 {
		add("id", "must not be 0")
	}
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		add("log_level", "%q must be trace, debug, info, warn, error or off", s.LogLevel)
	}
	return append(problems, checkBootstrap(s.Bootstrap)...)
}

func checkBootstrap(members []Member) []string {
	var problems []string
	ids, addresses := map[uint64]bool{}, map[string]bool{}
	for _, m := range members {
		field := fmt.Sprintf("bootstrap %d: ", m.ID)
		if m.ID == 0 || ids[m.ID] {
			problems = append(problems, field+"id must be unique and not 0")
		}
		if _, _, err := net.SplitHostPort(m.Address); err != nil || addresses[m.Address] {
			problems = append(problems, field+fmt.Sprintf("address %q must be host:port and unique", m.Address))
		}
		ids[m.ID], addresses[m.Address] = true, true
	}
	return problems
}

// Members returns the voters of a new cluster.
func (s Settings) Members() []*peer.Member {
	var members []*peer.Member
	for _, m := range s.Bootstrap {
		members = append(members, &peer.Member{Id: m.ID, Address: m.Address, Voter: true, FailureDomain: m.FailureDomain})
	}
	return members
}
