package intake

import "syscall"

const (
	// ConnectionBytes is what the process holds for a connection besides its header
	// section: two goroutines, two buffers of 4 KiB and the state of net/http.
	ConnectionBytes = 24 << 10
	// reservedDescriptors are those for files.
	reservedDescriptors = 200
	// defaultMemoryMB is the memory of a host whose settings give none.
	defaultMemoryMB = 512
	// slackDivisor sets by how much connections that give way, and are not closed yet,
	// may exceed a budget.
	slackDivisor = 4
	// minConnections and minHeaderBytes keep a listener of a tiny host usable: a header
	// section of 16 KiB is charged 1.1 MB at most.
	minConnections = 4
	minHeaderBytes = 3 << 19
)

// Host is what a process may use.
type Host struct {
	// MemoryMB and FileDescriptors are the limits of the host in its settings; 0 means
	// that they are unknown.
	MemoryMB, FileDescriptors int
}

// Share is a listener's part of its host.
type Share struct {
	// Headers and Connections are fractions of the memory, for header sections and for
	// connections. Descriptors is a fraction of the descriptors that are not for files.
	Headers, Connections, Descriptors float64
}

// Budget bounds what the connections of one listener hold. Connections that give way
// count until they are closed; with them, the sum is at most a quarter higher.
type Budget struct {
	Connections int
	HeaderBytes int64
}

// Bytes returns the memory of the host in bytes.
func (h Host) Bytes() int64 {
	if h.MemoryMB <= 0 {
		return defaultMemoryMB << 20
	}
	return int64(h.MemoryMB) << 20
}

// descriptors returns the descriptors for connections.
func (h Host) descriptors() int {
	n := h.FileDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (n <= 0 || limit.Cur < uint64(n)) {
		n = int(min(limit.Cur, 1<<20))
	}
	return max(0, n-reservedDescriptors)
}

// Budget returns the budget of a listener with a share of the host.
func (h Host) Budget(s Share) Budget {
	byMemory := int(s.Connections * float64(h.Bytes()) / ConnectionBytes)
	byDescriptors := int(s.Descriptors * float64(h.descriptors()))
	return Budget{
		Connections: max(minConnections, min(byMemory, byDescriptors)),
		HeaderBytes: max(minHeaderBytes, int64(s.Headers*float64(h.Bytes()))),
	}
}

func (b Budget) slackConnections() int { return max(1, b.Connections/slackDivisor) }

func (b Budget) slackBytes() int64 { return b.HeaderBytes / slackDivisor }
