package intake

import "net/http"

//go:generate go tool stringer -type reason -linecomment -output reason_string.go

// reason is why a connection was refused.
type reason int

const (
	tooManyConnections reason = iota // connections
	headerTooLarge                   // header_bytes
	headerTooSlow                    // header_timeout
	emptyLines                       // empty_lines
	headerMemory                     // header_memory
	gaveWay                          // gave_way
	bodyMemory                       // body_memory
	bodyTooSlow                      // body_timeout

	reasonCount = iota
)

// status returns the status that tells the reason, or 0 if there is none.
func (r reason) status() int {
	switch r {
	case headerTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case headerTooSlow:
		return http.StatusRequestTimeout
	case headerMemory, gaveWay:
		return http.StatusServiceUnavailable
	}
	return 0
}
