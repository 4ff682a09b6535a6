/*
Package client provides the HTTP transport for calls between processes of the
system.

	c := &http.Client{Transport: client.NewTransport()}

Package http1 judges the answers: one that breaks the protocol is an error.
Connection attempts have a short timeout, so that a partitioned host delays its
callers little. Calls are bounded by their contexts, whose end also closes
connections that hang.
*/
package client

import (
	"net"
	"net/http"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/http1"
)

const (
	// dialTimeout bounds a connection attempt, which takes a few milliseconds
	// within a region.
	dialTimeout = 500 * time.Millisecond
	// keepAlive is the interval of TCP keep-alive probes, which detect dead
	// connections.
	keepAlive = time.Second
	// maxIdle bounds the idle connections kept per remote process.
	maxIdle     = 8
	idleTimeout = time.Minute
)

// NewTransport returns a transport that keeps a few idle connections per remote
// process.
func NewTransport() *http1.Transport { return http1.NewTransport(base()) }

// NewSingleTransport returns a transport that opens a connection for each call.
func NewSingleTransport() *http1.Transport {
	t := base()
	t.DisableKeepAlives = true
	return http1.NewTransport(t)
}

func base() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	}
}
