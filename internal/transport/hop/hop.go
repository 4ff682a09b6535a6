/*
Package hop tells the headers that concern one connection from those that are
passed on.

	hop.Copy(out.Header, in.Header)
*/
package hop

import (
	"net/http"
	"strings"
)

// IsHopByHop says whether a header, by its canonical name, concerns one
// connection only. The length and the host belong to the message as it is
// written on each connection.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host":
		return true
	}
	return false
}

// ConnectionHeaders returns the headers that the Connection header adds to these, by their
// canonical names; nil if there are none.
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

// Copy adds to one header what another one has to pass on. The values are
// shared.
func Copy(to, from http.Header) {
	named := ConnectionHeaders(from)
	for name, values := range from {
		if !IsHopByHop(name) && !named[name] {
			to[name] = values
		}
	}
}
