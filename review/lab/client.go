package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastRequest.Add(1)) }

// request is one client attempt.
type request struct {
	id, method, path string
	headers          []string
	body             []byte
	chunked          bool
	deadline         time.Duration
}

func newRequest(method, path string, body []byte, deadline time.Duration) request {
	return request{id: newID(), method: method, path: path, body: body, deadline: deadline}
}

// newStream returns a request for a stream, with sizes as in the sheets.
func newStream(path string, parts string) request {
	r := newRequest(http.MethodPost, path, []byte(strings.Repeat("a", 700)), 8*time.Second)
	r.headers = []string{"Oleanderrack-Model: m", "Oleanderrack-Token-Counts: 714,140", "Oleanderrack-Prompt-Prefix: " + parts}
	return r
}

func (r request) encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nOleanderrack-Request-Id: %s\r\nOleanderrack-Key: %s\r\nOleanderrack-Deadline-Remaining: %d\r\n",
		r.method, r.path, domain, r.id, apiKey, r.deadline.Milliseconds())
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	switch {
	case r.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.body; len(rest) > 0; {
			n := min(len(rest), 16<<10)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	case r.body != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	default:
		b.WriteString("\r\n")
	}
	return []byte(b.String())
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	header    http.Header
	body      []byte
	// err is nil if the answer is complete by its framing.
	err error
	// lastEvent is the id of the last event of a stream.
	lastEvent int
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	end := "complete"
	if a.err != nil {
		end = "broken off: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, last event %d, %s", a.status, a.signature, len(a.body), a.lastEvent, end)
}

// send sends a request on a connection of its own and reads its answer.
func (s *system) send(h *host, r request) answer {
	s.record.add("client", "%s %s %s to %s", r.method, r.path, r.id, h.ip)
	a := s.exchange(h, r)
	s.record.add("client", "%s got %s", r.id, a)
	return a
}

func (s *system) exchange(h *host, r request) answer {
	conn, err := net.DialTimeout("tcp", s.address(h.ip, frontPort), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := conn.Write(r.encode()); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, r)
}

func readAnswer(conn net.Conn, r request) answer {
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: res.StatusCode, signature: res.Header.Get("Oleanderrack-Response-Signature"), header: res.Header}
	a.body, a.err = io.ReadAll(res.Body)
	for line := range strings.Lines(string(a.body)) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			a.lastEvent, _ = strconv.Atoi(id)
		}
	}
	return a
}
