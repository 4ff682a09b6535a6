package caller

import (
	"net/http"
	"slices"
	"strings"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/transport/hop"
)

// isOwn says whether a header concerns one hop or this interface only. The
// bearer key stays here, and an Idempotency-Key header would allow an HTTP
// transport further on to send the request twice.
func isOwn(name string) bool {
	switch name = http.CanonicalHeaderKey(name); name {
	case "Authorization", "Idempotency-Key", "X-Idempotency-Key", deadlineHeader, "X-Priority", requestIDHeader:
		return true
	}
	return hop.IsHeader(name)
}

// forwarded returns the headers for the backend server, sorted by name.
func forwarded(h http.Header) []*peer.Header {
	named := hop.Named(h)
	var out []*peer.Header
	for name, values := range h {
		if isOwn(name) || named[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &peer.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b *peer.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// setHeaders copies the backend server's headers into the answer.
func setHeaders(to http.Header, from []*peer.Header) {
	for _, h := range from {
		if !isOwn(h.Name) {
			to.Add(h.Name, h.Value)
		}
	}
}
