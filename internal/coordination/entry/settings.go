package entry

import (
	"net"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/transport/settings"
)

// Settings is the settings file of an entry.
type Settings struct {
	// Listen is host:port; Advertise is the address for other processes and
	// defaults to the listen address.
	Listen        string `toml:"listen"`
	Advertise     string `toml:"advertise,omitempty"`
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	// Host names this process; it is unique among all hosts.
	Host      string `toml:"host"`
	TokenFile string `toml:"token_file"`
	// Control lists the control addresses of the local region, ControlRegions
	// those of the other regions.
	Control        []string            `toml:"control"`
	ControlRegions map[string][]string `toml:"control_regions,omitempty"`
	LogLevel       string              `toml:"log_level"`
	// MemoryMB and FileDescriptors are what the process may use of its host; 0 means
	// unknown, see package intake.
	MemoryMB        int `toml:"memory_mb"`
	FileDescriptors int `toml:"file_descriptors"`
	// MaxInFlight bounds the requests being answered, QueueLimit those that
	// wait.
	MaxInFlight int `toml:"max_in_flight"`
	QueueLimit  int `toml:"queue_limit"`
	// BufferBytesPerStream and BufferBytesTotal bound the bytes buffered for
	// callers that read slowly.
	BufferBytesPerStream int64 `toml:"buffer_bytes_per_stream"`
	BufferBytesTotal     int64 `toml:"buffer_bytes_total"`
	// DrainSettle is the time for the platform's load balancer to detect that
	// the entry is draining.
	DrainSettle settings.Duration `toml:"drain_settle"`
}

// maxStreamBytes is the largest buffer of one stream.
const maxStreamBytes = 64 << 10

// DefaultSettings returns the values that a settings file can override.
func DefaultSettings() Settings {
	return Settings{
		Listen:               "127.0.0.1:8080",
		LogLevel:             "info",
		MaxInFlight:          4096,
		QueueLimit:           4096,
		BufferBytesPerStream: maxStreamBytes,
		BufferBytesTotal:     32 << 20,
		DrainSettle:          settings.Duration{Duration: 2 * time.Second},
	}
}

// Check returns one line for each problem.
func (s Settings) Check() []string {
	var problems []string
	add := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	add(isAddress(s.Listen), "listen: must be host:port")
	add(s.Advertise == "" || isAddress(s.Advertise), "advertise: must be host:port")
	add(s.Region != "", "region: is missing")
	add(s.FailureDomain != "", "failure_domain: is missing")
	add(s.Host != "", "host: is missing")
	add(s.TokenFile != "", "token_file: is missing")
	add(len(s.Control) > 0, "control: at least one address is required")
	add(!slices.ContainsFunc(s.Control, isNoAddress), "control: each one must be host:port")
	for region, addresses := range s.ControlRegions {
		add(region != s.Region, "control_regions: the addresses of the local region belong in control")
		add(len(addresses) > 0 && !slices.ContainsFunc(addresses, isNoAddress), "control_regions."+region+": addresses must be host:port")
	}
	add(hclog.LevelFromString(s.LogLevel) != hclog.NoLevel, "log_level: must be trace, debug, info, warn, error or off")
	add(s.MemoryMB >= 0 && s.FileDescriptors >= 0, "memory_mb and file_descriptors: must not be negative")
	add(s.MaxInFlight > 0, "max_in_flight: must be at least 1")
	add(s.QueueLimit >= 0, "queue_limit: must not be negative")
	add(s.BufferBytesPerStream >= 4<<10 && s.BufferBytesPerStream <= maxStreamBytes, "buffer_bytes_per_stream: must be 4096 to 65536")
	add(s.BufferBytesTotal >= s.BufferBytesPerStream, "buffer_bytes_total: must be at least buffer_bytes_per_stream")
	add(s.DrainSettle.Duration >= 0, "drain_settle: must not be negative")
	return problems
}

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

func isNoAddress(s string) bool { return !isAddress(s) }
