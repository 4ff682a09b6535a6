package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// process is a backend server whose connections and listener the test ends.
type process struct {
	t        *testing.T
	listener net.Listener
	serve    func(net.Conn)
	accepted chan struct{} // closed with the first connection

	mu    sync.Mutex
	conns []net.Conn
}

func newProcess(t *testing.T, address string, serve func(net.Conn)) *process {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, listener: l, serve: serve, accepted: make(chan struct{})}
	t.Cleanup(p.end)
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			if p.conns = append(p.conns, conn); n == 0 {
				close(p.accepted)
			}
			p.mu.Unlock()
			go serve(conn)
		}
	}()
	return p
}

func (p *process) end() {
	p.listener.Close()
	p.closeConns(false)
}

// closeConns closes the connections, or resets them.
func (p *process) closeConns(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
	p.conns = nil
}

// answer answers health checks with a status, and under an id unless it is empty.
func answer(status int, id string) func(net.Conn) {
	return func(conn net.Conn) {
		for reader := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Incarnation: %s\r\nContent-Length: 0\r\n\r\n", status, id)
		}
	}
}

// TestWitness guards against taking another process, or none, for the one that sent an
// answer, and against missing that one although it is busy or closes idle connections.
func TestWitness(t *testing.T) {
	const own = "i-1"
	tests := map[string]struct {
		serve func(net.Conn)
		// during happens between the opening of the witness and the end of the answer.
		during func(*process)
		want   string
	}{
		"sound":                      {answer(200, own), nil, "serving 200"},
		"full":                       {answer(503, ""), nil, "serving 503"},
		"another id":                 {answer(200, "i-2"), nil, "ended 200"},
		"misdirected":                {answer(421, ""), nil, "ended 421"},
		"silent":                     {func(net.Conn) {}, nil, "unknown 0"},
		"ended":                      {answer(200, own), func(p *process) { p.end() }, "ended 0"},
		"reset at the end":           {answer(200, own), func(p *process) { p.closeConns(true) }, "unknown 0"},
		"reset before":               {answer(200, own), func(p *process) { p.closeConns(true); time.Sleep(maxBacklogTime + 100*time.Millisecond) }, "lost 0"},
		"reset by the request":       {func(conn net.Conn) { bufio.NewReader(conn).ReadByte(); conn.Close() }, nil, "unknown 0"},
		"connections close, it ends": {answer(200, own), func(p *process) { p.closeConns(false); time.AfterFunc(20*time.Millisecond, p.end) }, "ended 0"},
		"next one under its id": {answer(200, own), func(p *process) {
			p.end()
			newProcess(p.t, p.listener.Addr().String(), p.serve)
		}, "ended 0"},
		"next one, answer read late": {answer(200, own), func(p *process) {
			p.end()
			time.Sleep(5 * time.Millisecond)
			newProcess(p.t, p.listener.Addr().String(), p.serve)
			time.Sleep(2 * maxBacklogTime)
		}, "ended 0"},
		"idle connection times out": {answer(200, own), func(p *process) {
			time.Sleep(minIdleTimeout + 100*time.Millisecond)
			p.closeConns(false)
			time.Sleep(maxBacklogTime + 100*time.Millisecond)
		}, "serving 200"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newProcess(t, "127.0.0.1:0", test.serve)
			w := New(HeaderNames{Incarnation: "X-Incarnation", ExpectedIncarnation: "X-Expected"}, 0).Watch(context.Background(), p.listener.Addr().String())
			defer w.Close()
			<-w.opened // one that opens later sees only what comes after
			<-p.accepted
			if test.during != nil {
				test.during(p)
			}
			presence, health := w.Check(context.Background(), 200*time.Millisecond, "/health", own)
			if diff := cmp.Diff(test.want, fmt.Sprint(presence, " ", health.Status)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestEvidence guards against an end of the backend server that is taken for an idle
// connection's, and the other way round.
func TestEvidence(t *testing.T) {
	start := time.Unix(1000, 0)
	type end struct {
		opened, at time.Duration
		reset      bool
	}
	tests := map[string]struct {
		seen evidence
		ends []end
		now  time.Duration // when the answer ends
		want Presence
	}{
		"nothing":                 {evidence{}, nil, time.Second, Serving},
		"refused":                 {evidence{refused: true, unopened: true}, nil, time.Second, Ended},
		"none could be opened":    {evidence{unopened: true}, nil, time.Second, Unknown},
		"young":                   {evidence{}, []end{{0, minIdleTimeout - 1, false}}, time.Minute, Ended},
		"idle":                    {evidence{}, []end{{0, minIdleTimeout, false}}, time.Minute, Serving},
		"idle, at the end":        {evidence{}, []end{{0, time.Minute, false}}, time.Minute + maxBacklogTime - 1, Ended},
		"idle, just before":       {evidence{}, []end{{0, time.Minute, false}}, time.Minute + maxBacklogTime, Serving},
		"idle, then young":        {evidence{}, []end{{0, 2 * time.Second, false}, {2 * time.Second, 2 * time.Second, false}}, time.Minute, Ended},
		"idle, then refused":      {evidence{refused: true, unopened: true}, []end{{0, 2 * time.Second, false}}, time.Minute, Ended},
		"idle, then unreachable":  {evidence{unopened: true}, []end{{0, 2 * time.Second, false}}, time.Minute, Unknown},
		"reset long before":       {evidence{}, []end{{0, time.Second, true}}, time.Second + maxBacklogTime, Lost},
		"reset at the end":        {evidence{}, []end{{0, time.Second, true}}, time.Second + maxBacklogTime - 1, Unknown},
		"young end, reset later":  {evidence{}, []end{{0, 1, false}, {2, 3, true}}, time.Second, Ended},
		"idle end, reset, at end": {evidence{}, []end{{0, time.Second, false}, {time.Second, time.Second, true}}, time.Second, Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, e := range test.ends {
				test.seen.closed(start.Add(e.opened), start.Add(e.at), e.reset)
			}
			if diff := cmp.Diff(test.want, test.seen.presence(start.Add(test.now))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
