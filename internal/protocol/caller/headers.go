package caller

import (
	"net/http"
	"slices"
	"strings"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
)

// isLocalHeader reports whether a header applies to one hop or to this
// interface only. The bearer key is not disclosed to backend servers, and an
// Idempotency-Key header would allow a later HTTP transport to send the request
// twice.
func isLocalHeader(name string) bool {
	switch name = http.CanonicalHeaderKey(name); name {
	case "Authorization", "Idempotency-Key", "X-Idempotency-Key", deadlineHeader, "X-Priority", requestIDHeader:
		return true
	}
	return hop.IsHopByHop(name)
}

// forwardedHeaders returns the headers for the backend server, sorted by name.
func forwardedHeaders(h http.Header) []*peer.Header {
	named := hop.ConnectionHeaders(h)
	var out []*peer.Header
	for name, values := range h {
		if isLocalHeader(name) || named[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &peer.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b *peer.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// copyHeaders copies the backend server's headers into the response.
func copyHeaders(to http.Header, from []*peer.Header) {
	for _, h := range from {
		if !isLocalHeader(h.Name) {
			to.Add(h.Name, h.Value)
		}
	}
}
