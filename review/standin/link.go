package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is the network between a caller and one address. While the machine there
// stands still it holds what is sent; once the machine is back, it delivers that as
// TCP does: the bytes first, and the end of the connection a round trip later.
type link struct {
	address string // where callers connect
	to      string

	mu   sync.Mutex
	open chan struct{} // closed while the link is open
}

// oneWay is the delay to clients and operators.
const oneWay = time.Millisecond

func newLink(ctx context.Context, listen, to string) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	k := &link{address: l.Addr().String(), to: to, open: make(chan struct{})}
	close(k.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(ctx, c)
		}
	}()
	return k, nil
}

// hold holds all bytes until release.
func (k *link) hold() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
}

func (k *link) release() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.open)
}

func (k *link) await(ctx context.Context) {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	select {
	case <-open:
	case <-ctx.Done():
	}
}

func (k *link) forward(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	server, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer server.Close()
	var group sync.WaitGroup
	group.Go(func() { k.pass(ctx, server, caller) })
	group.Go(func() { k.pass(ctx, caller, server) })
	group.Wait()
}

// pass forwards one direction up to its end.
func (k *link) pass(ctx context.Context, to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.await(ctx)
		time.Sleep(oneWay)
		if n > 0 {
			to.Write(buffer[:n])
		}
		if err != nil {
			time.Sleep(2 * oneWay)
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
