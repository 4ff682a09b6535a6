package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerConfig are the flags of a stand-in for a runner, which is a process of its own.
type runnerConfig struct {
	id, service, zone, address, runs string
	controls                         []string
	slots, events                    int
	work, gap                        time.Duration
	// unframed answers have neither a length nor chunks.
	unframed bool
	// crashing is the part of a prompt that crashes the runner.
	crashing string
	// At most one in earlyShare requests, a long one, is answered before it is in; 0 for
	// none.
	earlyShare int
	// unframedOnce limits unframed to the first stream.
	unframedOnce bool
	// group is the name of the group of groupSize ranks that the runner is part of, rank
	// its own number in it, and spoiled lists which of its lists of experts have a wrong
	// byte, by their number from 0.
	group   string
	rank    int
	spoiled string
}

func (c runnerConfig) flags() []string {
	return []string{"runner", "-id", c.id, "-service", c.service, "-zone", c.zone, "-address", c.address, "-runs", c.runs,
		"-controls", strings.Join(c.controls, ","), "-slots", strconv.Itoa(c.slots), "-events", strconv.Itoa(c.events),
		"-work", c.work.String(), "-gap", c.gap.String(), "-unframed=" + strconv.FormatBool(c.unframed), "-crashing", c.crashing, "-early-share", strconv.Itoa(c.earlyShare), "-unframed-once=" + strconv.FormatBool(c.unframedOnce),
		"-group", c.group, "-rank", strconv.Itoa(c.rank), "-spoiled", c.spoiled}
}

// runner serves as the pages tell: it drains on SIGTERM, and knows nothing of earlier
// starts.
type runner struct {
	runnerConfig
	born  int64
	start time.Time

	mu       sync.Mutex
	running  int
	draining bool
	requests int // with a body, so far
	early    int // of these answered early
	streams  int // so far
	lists    int // lists of experts so far
	answers  int // answers to calls of the registrars
	log      *os.File
}

func runnerMain(args []string) error {
	var r runner
	var controls string
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	f.StringVar(&r.id, "id", "", "")
	f.StringVar(&r.service, "service", "", "")
	f.StringVar(&r.zone, "zone", "", "")
	f.StringVar(&r.address, "address", "", "")
	f.StringVar(&r.runs, "runs", "", "")
	f.StringVar(&controls, "controls", "", "")
	f.IntVar(&r.slots, "slots", 12, "")
	f.IntVar(&r.events, "events", 28, "")
	f.DurationVar(&r.work, "work", 30*time.Millisecond, "")
	f.DurationVar(&r.gap, "gap", 40*time.Millisecond, "")
	f.BoolVar(&r.unframed, "unframed", false, "")
	f.StringVar(&r.crashing, "crashing", "", "")
	f.IntVar(&r.earlyShare, "early-share", 0, "")
	f.BoolVar(&r.unframedOnce, "unframed-once", false, "")
	f.StringVar(&r.group, "group", "", "")
	f.IntVar(&r.rank, "rank", 0, "")
	f.StringVar(&r.spoiled, "spoiled", "", "")
	f.Parse(args)
	r.controls, r.start = strings.Split(controls, ","), time.Now()
	r.born = r.start.UnixMilli()
	var err error
	if r.log, err = os.OpenFile(r.runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	r.announce(term)
	return nil
}

func (r *runner) note(format string, args ...any) {
	fmt.Fprintf(r.log, "%d %s %s\n", time.Now().UnixMicro(), r.id, fmt.Sprintf(format, args...))
}

// announce sends heartbeats until the runner has drained.
func (r *runner) announce(term <-chan os.Signal) {
	client := &http.Client{Timeout: time.Second}
	target, acknowledged := 0, time.Time{}
	ticker := time.NewTicker(1200 * time.Millisecond)
	for sequence := 1; ; sequence++ {
		state := "ready"
		if r.draining {
			state = "draining"
		}
		beat := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "cold_remaining_ms": 0,
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": sequence, "born": r.born,
		}
		if r.group != "" {
			beat["group"], beat["size"] = r.place(), groupSize
		}
		body, _ := json.Marshal(beat)
		for range len(r.controls) {
			if post(client, r.controls[target], "/oleanderrack/instances/"+r.id+"/heartbeat", body) {
				if r.draining && acknowledged.IsZero() {
					acknowledged = time.Now()
					r.note("drain acknowledged by %s", r.controls[target])
				}
				break
			}
			target = (target + 1) % len(r.controls)
		}
		if !acknowledged.IsZero() && time.Since(acknowledged) > drainPeriod+1500*time.Millisecond {
			body, _ := json.Marshal(map[string]any{"born": r.born})
			post(client, r.controls[target], "/oleanderrack/instances/"+r.id+"/deregister", body)
			r.note("ends")
			return
		}
		select {
		case <-ticker.C:
		case <-term:
			r.mu.Lock()
			r.draining = true
			r.mu.Unlock()
			r.note("drains")
		}
	}
}

func post(client *http.Client, address, path string, body []byte) bool {
	res, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode/100 == 2
}

// serve serves one connection.
func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		if r.isEarly(req) {
			r.answerEarly(conn, req)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(conn, req) {
			return
		}
	}
}

// longRequest is the size of a body from which on a request is long.
const longRequest = 256 << 10

// isEarly counts a request and reports whether it is answered before it is in.
func (r *runner) isEarly(req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if r.earlyShare == 0 || req.ContentLength <= longRequest || (r.early+1)*r.earlyShare > r.requests {
		return false
	}
	r.early++
	r.note("answers %d of %d requests early", r.early, r.requests)
	return true
}

// answerEarly begins to work on a request, fails, answers before it has read the whole
// body, and closes the connection.
func (r *runner) answerEarly(conn net.Conn, req *http.Request) {
	id := req.Header.Get("Oleanderrack-Request-Id")
	r.note("arrival %s %s %s", id, req.Method, req.URL.Path)
	time.Sleep(r.work)
	r.note("ran %s", id)
	r.note("answers %s with 500 before its body is in", id)
	head(conn, http.StatusInternalServerError, "Oleanderrack-Request-Id: "+id, fmt.Sprintf("Oleanderrack-Response-Signature: %s.%s", r.id, id), "Content-Length: 0", "Connection: close")
}

func head(conn net.Conn, status int, more ...string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), strings.Join(append(more, ""), "\r\n"))
}

// answer answers a request and reports whether the connection stays open.
func (r *runner) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("Oleanderrack-Request-Id")
	echo := "Oleanderrack-Request-Id: " + id
	if id == "" {
		echo = "X-Runner: " + r.id
	}
	if expected := req.Header.Get("Oleanderrack-Expected-Instance"); expected != "" && expected != r.id {
		head(conn, http.StatusMisdirectedRequest, echo, "Content-Length: 0")
		return true
	}
	r.mu.Lock()
	draining, full := r.draining, r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if !full {
		defer func() {
			r.mu.Lock()
			r.running--
			r.mu.Unlock()
		}()
	}
	instance := "Oleanderrack-Instance-Id: " + r.id
	switch {
	case strings.HasPrefix(req.URL.Path, "/oleanderrack/"):
		r.answerRegistrar(conn, req)
		return true
	case full:
		head(conn, http.StatusServiceUnavailable, echo, instance, "Oleanderrack-Not-Executed: 1", "Content-Length: 0")
		return true
	case req.URL.Path == "/health":
		status := http.StatusOK
		if draining {
			status = http.StatusServiceUnavailable
		}
		head(conn, status, echo, instance, "Content-Length: 0")
		return true
	case id == "":
		head(conn, http.StatusBadRequest, "Oleanderrack-Not-Executed: 1", "Content-Length: 0")
		return true
	}
	r.note("arrival %s %s %s", id, req.Method, req.URL.Path)
	signature := fmt.Sprintf("Oleanderrack-Response-Signature: %s.%s", r.id, id)
	if req.Header.Get("Oleanderrack-Token-Counts") != "" {
		return r.stream(conn, req, id, echo, signature)
	}
	time.Sleep(r.work)
	r.note("ran %s", id)
	body := strings.Repeat("o", 800)
	if r.unframed {
		head(conn, http.StatusOK, echo, signature, "Connection: close")
		io.WriteString(conn, body)
		return false
	}
	head(conn, http.StatusOK, echo, signature, "Content-Length: "+strconv.Itoa(len(body)), "Keep-Alive: timeout=5")
	io.WriteString(conn, body)
	return true
}

// stream answers with events, from the one after Last-Event-Id on.
func (r *runner) stream(conn net.Conn, req *http.Request, id, echo, signature string) bool {
	time.Sleep(80 * time.Millisecond)
	if r.crashing != "" && strings.Contains(req.Header.Get("Oleanderrack-Prompt-Prefix"), r.crashing+":") {
		r.note("crashes %s", id)
		os.Exit(3)
	}
	r.note("ran %s", id)
	r.mu.Lock()
	r.streams++
	unframed := r.unframed && (!r.unframedOnce || r.streams == 1)
	r.mu.Unlock()
	if unframed {
		r.note("sends %s without a length", id)
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	framing := "Transfer-Encoding: chunked"
	if unframed {
		framing = "Connection: close"
	}
	head(conn, http.StatusOK, echo, signature, "Content-Type: text/event-stream", framing)
	for n := last + 1; n <= r.events; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 50))
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			r.note("cut %s after event %d", id, n-1)
			return false
		}
		if n < r.events {
			time.Sleep(r.gap)
		}
	}
	r.note("finished %s with event %d", id, r.events)
	if unframed {
		return false
	}
	io.WriteString(conn, "0\r\n\r\n")
	return true
}
