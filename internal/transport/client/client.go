/*
Package client makes the HTTP transport with which processes of the system call
each other.

	c := &http.Client{Transport: client.NewTransport()}

A connection attempt is bounded, so that a host that is cut off costs little.
Calls bound themselves by their contexts, which also closes connections that
hang.
*/
package client

import (
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds a connection attempt. Within a region one takes a few
	// milliseconds.
	dialTimeout = 500 * time.Millisecond
	// keepAlive is the interval of probes that find connections whose other end
	// is gone.
	keepAlive = time.Second
	// maxIdle is the number of idle connections kept for a process.
	maxIdle     = 8
	idleTimeout = time.Minute
)

// NewTransport returns a transport that keeps a few connections per process.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}
