/*
Package hop distinguishes hop-by-hop headers, which concern one connection, from
end-to-end headers, which are forwarded.

	hop.Copy(out.Header, in.Header)
*/
package hop

import (
	"net/http"
	"strings"
)

// IsHopByHop reports whether a header, given by its canonical name, concerns one
// connection only. This includes Content-Length and Host, which are set for each
// connection anew.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host":
		return true
	}
	return false
}

// ConnectionHeaders returns the canonical names of the headers that the
// Connection header declares as hop-by-hop; nil if there are none.
func ConnectionHeaders(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Copy copies the end-to-end headers of from into the headers to. The slices of
// values are shared.
func Copy(to, from http.Header) {
	named := ConnectionHeaders(from)
	for name, values := range from {
		if !IsHopByHop(name) && !named[name] {
			to[name] = values
		}
	}
}
