package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// serveTest serves a handler on a loopback address until the test ends.
func serveTest(t *testing.T, budget Budget, limits Limits, handler http.HandlerFunc) (*Listener, *http.Server) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", Config{Name: "test", Budget: budget, IdleTimeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	l.SetLimits(limits)
	srv := l.NewServer(handler, nil)
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l, srv
}

func dial(t *testing.T, l *Listener, send string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, send); err != nil {
		t.Fatal(err)
	}
	return conn
}

// statuses reads answers until the connection ends.
func statuses(conn net.Conn, n int) (list []int) {
	r := bufio.NewReader(conn)
	for len(list) < n {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return list
		}
		io.Copy(io.Discard, res.Body)
		list = append(list, res.StatusCode)
	}
	return list
}

func echoLength(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fmt.Fprint(w, len(data))
}

var ample = Budget{Connections: 100, HeaderBytes: 4 << 20}

// TestAnswers guards against a request within the limits that is refused, also if callers
// send several at once or a few bytes at a time, and against refusals with another status
// than the true one, or with two.
func TestAnswers(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n\n\n\n\n\n\n"
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n\n\r\n", 100) + "0\r\n\r\n"
	limits := Limits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond}
	full := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1000-len("Host: a\r\nX: \r\n")) + "\r\n\r\n"
	tests := map[string]struct {
		send string
		read int
		want []int
	}{
		"one":                    {get, 1, []int{200}},
		"pipelined":              {strings.Repeat(get, 300), 300, ok(300)},
		"pipelined with bodies":  {strings.Repeat(post+get+chunked, 100), 300, ok(300)},
		"pipelined at the limit": {strings.Repeat(full, 20), 20, ok(20)},
		"header at the limit":    {full, 1, ok(1)},
		"header beyond it":       {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1000), 2, []int{431}},
		"too slow":               {"GET / HTTP/1.1\r\nHost: a\r\n", 2, []int{408}},
		"too slow, pipelined":    {get + "GET / HTTP/1.1\r\nHost: a\r\n", 3, []int{200}},
		"a slow request line":    {"GET /", 1, nil},
		"empty lines":            {strings.Repeat("\r\n", 100), 1, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := serveTest(t, ample, limits, echoLength)
			if diff := cmp.Diff(test.want, statuses(dial(t, l, test.send), test.read)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSecondRequest guards against limits that hold for the first request only.
func TestSecondRequest(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct {
		send string
		want []int
	}{
		"within the limits": {get, ok(1)},
		"too large":         {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1000), []int{431}},
		"too slow":          {"GET / HTTP/1.1\r\nHost: a\r\n", []int{408}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := serveTest(t, ample, Limits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond}, echoLength)
			conn := dial(t, l, get)
			if diff := cmp.Diff(ok(1), statuses(conn, 1)); diff != "" {
				t.Fatal(diff)
			}
			io.WriteString(conn, test.send)
			if diff := cmp.Diff(test.want, statuses(conn, 1)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func ok(n int) (list []int) {
	for range n {
		list = append(list, http.StatusOK)
	}
	return list
}

// TestShortage guards against a budget that is short and from which a caller that makes
// progress gets nothing, and against memory that is not returned.
func TestShortage(t *testing.T) {
	const callers, each = 10, 3300
	l, _ := serveTest(t, Budget{Connections: 100, HeaderBytes: (callers + 1) * each}, Limits{}, echoLength)
	var slow net.Conn
	for n := range callers + 1 {
		conn := dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 900))
		if slow == nil {
			slow = conn
		}
		waitFor(t, l, func(g *ledger) bool { return g.held > int64(n)*each })
	}
	quick := dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 900)+"\r\n\r\n")
	if diff := cmp.Diff([]int{200}, statuses(quick, 1)); diff != "" {
		t.Error("of the quick caller: ", diff)
	}
	if diff := cmp.Diff([]int{503}, statuses(slow, 2)); diff != "" {
		t.Error("of the slow caller: ", diff)
	}
	quick.Close()
	waitFor(t, l, func(g *ledger) bool { return g.connections == callers && g.leavingHeld == 0 })
}

// TestFullListener guards against a newcomer that has no room beside connections that sent
// nothing, and against a connection in use that is closed for it.
func TestFullListener(t *testing.T) {
	l, _ := serveTest(t, Budget{Connections: 2, HeaderBytes: 1 << 20}, Limits{}, echoLength)
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	kept := dial(t, l, get)
	if diff := cmp.Diff(ok(1), statuses(kept, 1)); diff != "" {
		t.Fatal(diff)
	}
	for range 5 {
		dial(t, l, "")
	}
	for range 5 { // the one before may not be closed yet
		if got := statuses(dial(t, l, get+get), 2); len(got) == 2 {
			break
		}
	}
	io.WriteString(kept, get)
	if diff := cmp.Diff(ok(1), statuses(kept, 1)); diff != "" {
		t.Error("of the connection that was kept: ", diff)
	}
}

func waitFor(t *testing.T, l *Listener, condition func(*ledger) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		done := condition(l.ledger)
		l.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatal("the condition was not met")
}

// TestStreamsGoOn guards against an answer that is broken off by the time limit for the
// request, and against a caller's disconnection that the handler does not learn of.
func TestStreamsGoOn(t *testing.T) {
	for name, request := range map[string]string{
		"without a body": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"with a body":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			const bodyTimeout = 50 * time.Millisecond
			ended := make(chan error, 1)
			l, err := Listen("127.0.0.1:0", Config{Name: "test", Budget: ample, IdleTimeout: testTimeout})
			if err != nil {
				t.Fatal(err)
			}
			l.bodyTimeout = bodyTimeout
			srv := l.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				select {
				case <-r.Context().Done():
					ended <- errors.New("the request was cancelled")
					return
				case <-time.After(4 * bodyTimeout):
				}
				w.WriteHeader(http.StatusOK)
				http.NewResponseController(w).Flush()
				<-r.Context().Done()
				ended <- nil
			}), nil)
			go srv.Serve(l)
			defer srv.Close()
			conn := dial(t, l, request)
			if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			conn.Close()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(testTimeout):
				t.Error("the handler did not learn that the caller has disconnected")
			}
		})
	}
}

// TestStalledBodies guards against requests that are refused before their body is read,
// and whose header sections stay held while the body does not come.
func TestStalledBodies(t *testing.T) {
	l, _ := serveTest(t, Budget{Connections: 100, HeaderBytes: 4096}, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	})
	for range 20 {
		dial(t, l, "POST / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 900)+"\r\nContent-Length: 100\r\n\r\n")
	}
	for range 20 {
		got := statuses(dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 1)
		if len(got) == 1 && got[0] == http.StatusNotFound {
			return
		}
	}
	t.Error("no request was answered")
}

// TestShutdown guards against a planned stop that waits for idle connections, or that does
// not wait for requests in flight.
func TestShutdown(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	l, srv := serveTest(t, ample, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-end
		}
		w.WriteHeader(http.StatusOK)
	})
	idle := dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if diff := cmp.Diff(ok(1), statuses(idle, 1)); diff != "" {
		t.Fatal(diff)
	}
	slow := dial(t, l, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- srv.Shutdown(ctx)
	}()
	if n, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection got %d bytes, error %v, want its end", n, err)
	}
	select {
	case err := <-stopped:
		t.Fatalf("stopped with a request in flight: %v", err)
	default:
	}
	close(end)
	if diff := cmp.Diff(ok(1), statuses(slow, 1)); diff != "" {
		t.Error("of the request in flight: ", diff)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
