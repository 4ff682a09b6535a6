package runner

import (
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Settings is the settings file of an agent.
type Settings struct {
	// Listen is host:port; Advertise is the address for other processes and
	// defaults to the listen address.
	Listen        string   `toml:"listen"`
	Advertise     string   `toml:"advertise"`
	Region        string   `toml:"region"`
	FailureDomain string   `toml:"failure_domain"`
	Host          string   `toml:"host"`
	TokenFile     string   `toml:"token_file"`
	Control       []string `toml:"control"`
	LogLevel      string   `toml:"log_level"`
	// MemoryMB and FileDescriptors are what the process may use of its host; 0 means
	// unknown, see package intake.
	MemoryMB        int `toml:"memory_mb"`
	FileDescriptors int `toml:"file_descriptors"`
	// BufferBytesPerStream bounds the bytes buffered for one slow reader, and
	// BufferBytesTotal those for all of them.
	BufferBytesPerStream int `toml:"buffer_bytes_per_stream"`
	BufferBytesTotal     int `toml:"buffer_bytes_total"`
}

// Defaults and bounds of the settings. 24 MiB for all streams leave room for
// the rest of the process within 128 MB.
const (
	defaultBufferPerStream = 64 << 10
	defaultBufferTotal     = 24 << 20
	minBufferPerStream     = 8 << 10
	maxBufferTotal         = 1 << 30
)

// DefaultSettings returns the values that a settings file can override.
func DefaultSettings() Settings {
	return Settings{
		Listen:               "127.0.0.1:8090",
		LogLevel:             "info",
		BufferBytesPerStream: defaultBufferPerStream,
		BufferBytesTotal:     defaultBufferTotal,
	}
}

// Check returns one line for each problem, with the field and the reason.
func (s Settings) Check() []string {
	var problems []string
	demand := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	demand(isHostPort(s.Listen), "listen: %q is no host:port", s.Listen)
	demand(s.Advertise == "" || isHostPort(s.Advertise), "advertise: %q is no host:port", s.Advertise)
	demand(intent.IsValidName(s.Region), "region: %q is not a valid name; use up to 64 of a-z, 0-9, dot, dash and underscore", s.Region)
	demand(intent.IsValidName(s.FailureDomain), "failure_domain: %q is not a valid name; use up to 64 of a-z, 0-9, dot, dash and underscore", s.FailureDomain)
	demand(intent.IsValidName(s.Host), "host: %q is not a valid name; use up to 64 of a-z, 0-9, dot, dash and underscore", s.Host)
	demand(s.TokenFile != "", "token_file: is missing")
	demand(len(s.Control) > 0, "control: at least one address is required")
	for _, c := range s.Control {
		demand(isHostPort(c), "control: %q is no host:port", c)
	}
	demand(hclog.LevelFromString(s.LogLevel) != hclog.NoLevel, "log_level: %q must be trace, debug, info, warn, error or off", s.LogLevel)
	demand(s.MemoryMB >= 0 && s.FileDescriptors >= 0, "memory_mb and file_descriptors: must not be negative")
	demand(s.BufferBytesPerStream >= minBufferPerStream, "buffer_bytes_per_stream: must be at least %d", minBufferPerStream)
	demand(s.BufferBytesTotal >= s.BufferBytesPerStream && s.BufferBytesTotal <= maxBufferTotal,
		"buffer_bytes_total: must be from buffer_bytes_per_stream to %d", maxBufferTotal)
	return problems
}

func isHostPort(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host != ""
}
