package caller

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Limits of a request.
const (
	maxHeaderBytes         = 16 << 10
	maxHeaders             = 100
	maxIdempotencyKeyBytes = 255
	maxDeadline            = time.Hour
	maxPriority            = 100
	// writeGrace is the time allowed after the deadline for writing the error.
	writeGrace = 5 * time.Second
)

// Request is a validated request of a client account.
type Request struct {
	ID            string
	ClientAccount string
	Service       intent.Service
	Method        string
	// Path includes the query.
	Path    string
	Headers []*peer.Header
	Body    []byte
	// Digest is the SHA-256 of method, path and body as the caller sent them.
	Digest []byte
	// Key is the idempotency key; empty if the request has none.
	Key      string
	Deadline time.Time
	// ExplicitDeadline reports whether the caller set the deadline; otherwise it
	// is the service's.
	ExplicitDeadline bool
	Priority         int32
	Stream           bool
	Repeatable       bool
	// Prompt is the text whose prefix backend servers cache, PromptBytes an
	// upper bound of its size in bytes and MaxTokens the limit of tokens in the
	// response. They are empty for plain services.
	Prompt      []byte
	PromptBytes uint64
	MaxTokens   uint64
}

// plain handles a request to a plain service.
func (a *API) plain(c echo.Context, in *call) error {
	service, err := in.directory.service(in.account, c.Param("service"), intent.Plain)
	if err != nil {
		return err
	}
	target, err := plainPath(in.http, c.Param("service"))
	if err != nil {
		return err
	}
	body, err := a.readBody(in, service.MaxBodyBytes)
	if err != nil {
		return err
	}
	req, err := in.newRequest(service, target, body)
	if err != nil {
		return err
	}
	decoded := "/" + strings.TrimLeft(strings.TrimPrefix(in.http.URL.Path, "/s/"+service.Name), "/")
	req.Repeatable = service.IsRepeatable(req.Method, decoded)
	return a.run(in, req)
}

// plainPath returns the path and query to send to the service. Paths that a
// service could interpret as another path are rejected, because the route
// decides whether the request may be repeated.
func plainPath(r *http.Request, service string) (string, error) {
	p := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+service)
	if p == "" {
		p = "/"
	}
	lower := strings.ToLower(p)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%2e") ||
		strings.Contains(lower, "\\") || (path.Clean(p) != p && path.Clean(p)+"/" != p) {
		return "", fault.New(fault.BadRequest, "path must not contain empty or dot segments, backslashes, or encoded slashes or dots")
	}
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p, nil
}

// readBody returns the body if it is at most limit bytes long.
func (a *API) readBody(in *call, limit int64) ([]byte, error) {
	if in.http.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "body has %d bytes, at most %d are accepted", in.http.ContentLength, limit)
	}
	if err := a.reserve(in, limit); err != nil {
		return nil, err
	}
	in.w.setReadDeadline(in.arrived.Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(nil, in.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "body has more than %d bytes", limit)
	case err != nil:
		return nil, fault.Wrap(err, fault.BadRequest, "body could not be read completely")
	}
	in.w.setReadDeadline(time.Time{})
	a.bufferedBytes.Add(int64(len(body)) - in.reservedBytes)
	in.reservedBytes = int64(len(body))
	return body, nil
}

// bodiesRetryAfter is the delay advised if too many bodies are in memory: about
// the time in which some of them are answered.
const bodiesRetryAfter = 250 * time.Millisecond

// reserve accounts for the memory of a body before it is read: its length, or
// the limit if the length is not known.
func (a *API) reserve(in *call, limit int64) error {
	in.reservedBytes = in.http.ContentLength
	if in.reservedBytes < 0 {
		in.reservedBytes = limit
	}
	if total := a.bufferedBytes.Add(in.reservedBytes); a.cfg.MaxBufferedBodyBytes > 0 && total > a.cfg.MaxBufferedBodyBytes {
		return fault.New(fault.BufferLimit, "too many request bodies are in memory").WithRetryAfter(bodiesRetryAfter)
	}
	return nil
}

// bodyTimeout bounds the time that a caller may take to send a body.
const bodyTimeout = 30 * time.Second

// newRequest returns a Request with the fields that all routes have in common.
func (in *call) newRequest(service intent.Service, target string, body []byte) (*Request, error) {
	key, err := idempotencyKey(in.http.Header)
	if err != nil {
		return nil, err
	}
	timeout, err := requestTimeout(in.http.Header, service)
	if err != nil {
		return nil, err
	}
	priority, err := priority(in.http.Header)
	if err != nil {
		return nil, err
	}
	sum := sha256.New()
	io.WriteString(sum, in.http.Method+" "+target+"\n")
	sum.Write(body)
	return &Request{
		ID:               in.id,
		ClientAccount:    in.account.Name,
		Service:          service,
		Method:           in.http.Method,
		Path:             target,
		Headers:          forwardedHeaders(in.http.Header),
		Body:             body,
		Digest:           sum.Sum(nil),
		Key:              key,
		Deadline:         in.arrived.Add(timeout),
		ExplicitDeadline: in.http.Header.Get(deadlineHeader) != "",
		Priority:         priority,
	}, nil
}

func idempotencyKey(h http.Header) (string, error) {
	values := h.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", fault.New(fault.BadRequest, "Idempotency-Key is set %d times", len(values))
	}
	key := values[0]
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", fault.New(fault.BadRequest, "Idempotency-Key has %d bytes, want 1 to %d", len(key), maxIdempotencyKeyBytes)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return "", fault.New(fault.BadRequest, "Idempotency-Key may contain visible ASCII characters only")
		}
	}
	return key, nil
}

// deadlineHeader holds the time that the caller waits for the response, in
// milliseconds.
const deadlineHeader = "X-Request-Deadline-Ms"

func requestTimeout(h http.Header, service intent.Service) (time.Duration, error) {
	timeout := time.Duration(service.DeadlineMS) * time.Millisecond
	if text := h.Get(deadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fault.New(fault.BadRequest, "X-Request-Deadline-Ms is %q, want milliseconds", truncate(text, 32))
		}
		if ms <= 0 {
			return 0, fault.New(fault.DeadlineExceeded, "the deadline had passed when the request arrived").WithRan(fault.RanNo)
		}
		timeout = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	return min(timeout, maxDeadline), nil
}

func priority(h http.Header) (int32, error) {
	text := h.Get("X-Priority")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < -maxPriority || n > maxPriority {
		return 0, fault.New(fault.BadRequest, "X-Priority is %q, want a number from -%d to %d", truncate(text, 32), maxPriority, maxPriority)
	}
	return int32(n), nil
}

func checkHeaderSize(h http.Header) error {
	size, count := 0, 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
			count++
		}
	}
	if size > maxHeaderBytes || count > maxHeaders {
		return fault.New(fault.TooLarge, "headers have %d bytes in %d fields, at most %d in %d are accepted", size, count, maxHeaderBytes, maxHeaders)
	}
	return nil
}
