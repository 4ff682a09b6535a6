/*
Package client provides the HTTP transport for calls between processes of the
system.

	c := &http.Client{Transport: client.NewTransport()}

Connection attempts have a short timeout, so that a partitioned host delays its
callers little. Calls are bounded by their contexts, whose end also closes
connections that hang.
*/
package client

import (
	"net"
	"net/http"
	"time"
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
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// NewTransport returns a transport that keeps a few idle connections per remote
// process.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
