/*
Package tcp bounds how long the bytes of a connection may still arrive.

# Concept

Bytes that were written to a connection stay with the kernel until the other side has
acknowledged them. It sends them again and again, also when the connection was closed
and when the process has ended, so that a request may arrive seconds after it was given
up. [Reset] drops them at once. [SetUserTimeout] bounds how long the kernel tries,
whatever becomes of the process.

# Use

	tcp.SetUserTimeout(raw, time.Second) // before the request is written
	...
	tcp.Reset(conn)                      // instead of conn.Close, to give it up
*/
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// SetUserTimeout bounds how long the kernel keeps data that is not acknowledged, and how
// long a connection lives whose other side does not reply. 0 sets no bound.
func SetUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// Reset closes a connection and drops what the other side has not acknowledged.
func Reset(conn net.Conn) error {
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0) // fails only if the connection is closed
	}
	return conn.Close()
}
