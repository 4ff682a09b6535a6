package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endedTest serves requests whose bodies end early, and reports how the context of each
// request stands once its answer is about to be written.
type endedTest struct {
	bodies   *Bodies
	listener *Listener
	// read reads the body of a request to /ended.
	read func(w http.ResponseWriter, r *http.Request, body *Body)
}

func newEndedTest(t *testing.T, limit int64, bodyTimeout time.Duration) *endedTest {
	t.Helper()
	l, err := Listen("127.0.0.1:0", Config{Name: "test", Budget: ample, IdleTimeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	l.bodyTimeout = bodyTimeout
	e := &endedTest{bodies: NewBodies(limit), listener: l}
	srv := l.NewServer(e, nil)
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return e
}

func (e *endedTest) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := e.bodies.Attach(w, r)
	defer body.Release()
	if r.URL.Path == "/ended" {
		e.read(w, r, body)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := ReadAll(r.Body, r.ContentLength); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// The background read of the connection fails soon if it does.
	select {
	case <-r.Context().Done():
		w.WriteHeader(http.StatusInternalServerError)
	case <-time.After(20 * time.Millisecond):
		w.WriteHeader(http.StatusOK)
	}
}

// request returns a request whose body has a length, of which a part is sent.
func request(path string, length, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent))
}

// checkConnection reads the answer to a request whose body ended early. The connection
// must have been closed then, or serve further requests like a new one.
func checkConnection(t *testing.T, conn net.Conn, wantClose bool) {
	t.Helper()
	r := bufio.NewReader(conn)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer to the request whose body ended early: %v", err)
	}
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("status %d for the request whose body ended early", res.StatusCode)
	}
	if wantClose && !res.Close {
		t.Error("the answer does not say that the connection is closed")
	}
	if wantClose || res.Close {
		if _, err := r.ReadByte(); err == nil {
			t.Error("bytes follow the last answer of the connection")
		}
		return
	}
	for n := range 3 {
		if _, err := io.WriteString(conn, request("/next", 10, 10)); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d after it: %v", n, err)
		}
		io.Copy(io.Discard, res.Body)
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d after it: status %d, as if the caller had left", n, res.StatusCode)
		}
	}
}

// TestConnectionAfterEndedBody guards against a kept connection whose later requests all
// begin as if their caller had left, because a body on it was ended early: its memory was
// needed, or its time or its length was over.
func TestConnectionAfterEndedBody(t *testing.T) {
	const limit = 64 << 10
	readAll := func(_ http.ResponseWriter, r *http.Request, _ *Body) { ReadAll(r.Body, r.ContentLength) }
	tests := map[string]struct {
		length, sent int
		bodyTimeout  time.Duration
		read         func(w http.ResponseWriter, r *http.Request, body *Body)
		// gives says that the body gives way to another one.
		gives, wantClose bool
		// send replaces the request with a length, after which leaves closes the
		// caller's side.
		send   string
		leaves bool
	}{
		"memory, a part was sent": {length: limit, sent: limit / 2, bodyTimeout: testTimeout, read: readAll, gives: true, wantClose: true},
		"time":                    {length: limit, sent: limit / 2, bodyTimeout: 100 * time.Millisecond, read: readAll, wantClose: true},
		"time, nothing was sent":  {length: limit, bodyTimeout: 100 * time.Millisecond, read: readAll, wantClose: true},
		"deadline of the handler": {length: limit, sent: limit / 2, bodyTimeout: testTimeout, wantClose: true,
			read: func(w http.ResponseWriter, r *http.Request, _ *Body) {
				http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				ReadAll(r.Body, r.ContentLength)
			}},
		"length": {length: limit, sent: limit, bodyTimeout: testTimeout, wantClose: true,
			read: func(w http.ResponseWriter, r *http.Request, _ *Body) {
				ReadAll(LimitBody(w, r, limit/2), r.ContentLength)
			}},
		"broken chunk":           {send: "POST /ended HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n", bodyTimeout: testTimeout, read: readAll, wantClose: true},
		"caller closes its side": {length: limit, sent: limit / 2, leaves: true, bodyTimeout: testTimeout, read: readAll, wantClose: true},
		"not read":               {length: limit, sent: limit, bodyTimeout: testTimeout, read: func(http.ResponseWriter, *http.Request, *Body) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEndedTest(t, limit, test.bodyTimeout)
			e.read = test.read
			send := test.send
			if send == "" {
				send = request("/ended", test.length, test.sent)
			}
			conn := dial(t, e.listener, send)
			if test.leaves {
				conn.(*net.TCPConn).CloseWrite()
			}
			if test.gives {
				e.awaitHeld(t, limit/2)
				if got := statuses(dial(t, e.listener, request("/next", limit*3/4, limit*3/4)), 1); len(got) != 1 || got[0] != http.StatusOK {
					t.Fatalf("the other body was answered %v", got)
				}
			}
			checkConnection(t, conn, test.wantClose)
		})
	}
}

// TestConnectionAfterCompleteBody guards against the same if the body that gives way is
// complete, and only its handler has not seen the end yet.
func TestConnectionAfterCompleteBody(t *testing.T) {
	const limit = 64 << 10
	e := newEndedTest(t, limit, testTimeout)
	complete, gaveWay := make(chan struct{}), make(chan struct{})
	e.read = func(_ http.ResponseWriter, r *http.Request, body *Body) {
		io.ReadFull(r.Body, make([]byte, limit/2))
		io.Copy(io.Discard, body.src) // the rest, of which bodies does not know
		close(complete)
		<-gaveWay
		ReadAll(r.Body, -1)
	}
	conn := dial(t, e.listener, request("/ended", limit, limit))
	<-complete
	other := dial(t, e.listener, request("/next", limit*3/4, limit*3/4))
	e.awaitGivenWay(t)
	close(gaveWay)
	checkConnection(t, conn, false)
	if got := statuses(other, 1); len(got) != 1 || got[0] != http.StatusOK {
		t.Errorf("the other body was answered %v", got)
	}
}

func (e *endedTest) await(t *testing.T, condition func(*bodyLedger) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.bodies.mu.Lock()
		done := condition(&e.bodies.ledger)
		e.bodies.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatal("the condition was not met")
}

func (e *endedTest) awaitHeld(t *testing.T, n int64) {
	t.Helper()
	e.await(t, func(l *bodyLedger) bool { return l.held >= n })
}

func (e *endedTest) awaitGivenWay(t *testing.T) {
	t.Helper()
	e.await(t, func(l *bodyLedger) bool { return l.leaving > 0 })
}
