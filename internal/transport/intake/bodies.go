package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// firstBodyBytes is the buffer with which ReadAll begins, whatever was declared.
	firstBodyBytes = 4 << 10
	// stalledAfter is the time without a byte after which a body counts as stalled. A
	// round trip to a caller takes 6 ms at most on the deployments.
	stalledAfter = 100 * time.Millisecond
)

// Bodies bounds the bytes of request bodies that handlers hold at the same time. What is
// declared and not sent counts for nothing. When a body finds no room, the incomplete one
// that has stalled for longest gives way, or the oldest if none has stalled.
type Bodies struct {
	refused func(reason)

	mu     sync.Mutex
	ledger bodyLedger
}

// NewBodies returns a budget of a number of bytes.
func NewBodies(limit int64) *Bodies {
	return &Bodies{refused: func(reason) {}, ledger: bodyLedger{limit: limit, reading: map[*bodyAccount]bool{}}}
}

// NewBodies returns a budget of a number of bytes, whose refusals count as the listener's.
func (l *Listener) NewBodies(limit int64) *Bodies {
	b := NewBodies(limit)
	b.refused = l.refused
	return b
}

// Body is a request's body whose bytes count until Release.
type Body struct {
	bodies  *Bodies
	src     io.ReadCloser
	conn    *Conn // nil if the server is not one of NewServer's
	writer  http.ResponseWriter
	account bodyAccount
}

// Attach replaces the body of a request by one whose bytes count. Its reads fail with
// ErrShortage if there is no room for them. After a read that fails, the connection is
// closed with the answer. A body gives way in the middle of a read only on connections of
// NewServer's servers, otherwise at its next one.
func (b *Bodies) Attach(w http.ResponseWriter, r *http.Request) *Body {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	body := &Body{bodies: b, src: r.Body, conn: conn, writer: w}
	now := time.Now()
	body.account = bodyAccount{owner: body, begun: now, progressed: now}
	b.mu.Lock()
	b.ledger.reading[&body.account] = true
	b.mu.Unlock()
	r.Body = body
	return body
}

// Handler returns a handler whose requests have bodies that count.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			defer b.Attach(w, r).Release()
		}
		next.ServeHTTP(w, r)
	})
}

// Read reads from the body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	now := time.Now()
	b.bodies.mu.Lock()
	victims, ok := b.bodies.ledger.take(now, &b.account, int64(n))
	if err != nil {
		b.bodies.ledger.end(&b.account)
	}
	for _, victim := range victims {
		// Its goroutine returns ErrShortage, and releases it.
		if conn := victim.owner.conn; conn != nil {
			conn.endBody()
		}
	}
	b.bodies.mu.Unlock()
	if err != io.EOF && (!ok || errors.Is(err, os.ErrDeadlineExceeded)) {
		// The caller may still be sending. After other errors it has left, or net/http
		// closes the connection.
		closeAfterAnswer(b.writer)
	}
	if !ok {
		b.bodies.refused(bodyMemory)
		return 0, ErrShortage
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.bodies.refused(bodyTooSlow)
	}
	return n, err
}

// Close closes the body.
func (b *Body) Close() error { return b.src.Close() }

// Release ends the count of the body's bytes.
func (b *Body) Release() {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.ledger.release(&b.account)
}

// LimitBody returns a reader of a request's body that fails with *http.MaxBytesError
// beyond a number of bytes. The connection is then closed with the answer.
func LimitBody(w http.ResponseWriter, r *http.Request, limit int64) io.Reader {
	return http.MaxBytesReader(unwrap(w), r.Body, limit)
}

// closeAfterAnswer makes the server close the connection with the answer, and give the
// caller time to read it before unread bytes of the body reset the connection. net/http
// does both after a body that is longer than the limit of a MaxBytesReader, and only then.
func closeAfterAnswer(w http.ResponseWriter) {
	http.MaxBytesReader(unwrap(w), io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// unwrap returns the server's own writer of an answer.
func unwrap(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}

// bodyAccount is what one body holds.
type bodyAccount struct {
	owner *Body // nil in tests
	// begun is the time of the request, and progressed that of the latest bytes.
	begun, progressed time.Time
	held              int64
	leaving           bool
}

// isSlower reports whether a gives way before b.
func (a *bodyAccount) isSlower(now time.Time, b *bodyAccount) bool {
	aStalled, bStalled := now.Sub(a.progressed) >= stalledAfter, now.Sub(b.progressed) >= stalledAfter
	switch {
	case aStalled != bStalled:
		return aStalled
	case aStalled:
		return a.progressed.Before(b.progressed)
	}
	return a.begun.Before(b.begun)
}

// bodyLedger decides which bodies give way. It knows no network.
type bodyLedger struct {
	limit   int64
	held    int64
	leaving int64
	reading map[*bodyAccount]bool
}

// take adds bytes to what a body holds. It returns the bodies that give way to it, which
// hold their bytes until they are released. If ok is false, the body has no room itself.
func (l *bodyLedger) take(now time.Time, a *bodyAccount, n int64) (victims []*bodyAccount, ok bool) {
	if a.leaving {
		return nil, false
	}
	if n > 0 {
		a.progressed = now
	}
	for n > 0 && l.held-l.leaving+n > l.limit {
		victim := l.slowest(now)
		if victim == nil || victim == a {
			return victims, false
		}
		victim.leaving = true
		l.leaving += victim.held
		delete(l.reading, victim)
		victims = append(victims, victim)
	}
	if n > 0 && l.held+n > l.limit+l.limit/slackDivisor {
		return victims, false
	}
	a.held += n
	l.held += n
	return victims, true
}

// slowest returns the incomplete body that gives way first, of those that hold any bytes.
func (l *bodyLedger) slowest(now time.Time) (slowest *bodyAccount) {
	for a := range l.reading {
		if a.held > 0 && (slowest == nil || a.isSlower(now, slowest)) {
			slowest = a
		}
	}
	return slowest
}

// end notes that a body is complete, or broken: it no longer gives way.
func (l *bodyLedger) end(a *bodyAccount) { delete(l.reading, a) }

func (l *bodyLedger) release(a *bodyAccount) {
	l.end(a)
	l.held -= a.held
	if a.leaving {
		l.leaving -= a.held
	}
	a.held, a.leaving = 0, false
}

// ReadAll reads to the end. size is the declared length, or -1. The buffer grows with
// what arrives, not with what is declared.
func ReadAll(r io.Reader, size int64) ([]byte, error) {
	limit := int64(1) << 62
	if size >= 0 {
		limit = size + 1 // one byte for the read that finds the end
	}
	data := make([]byte, 0, min(limit, firstBodyBytes))
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if len(data) == cap(data) {
			grown := make([]byte, len(data), max(int64(len(data))+1, min(limit, 2*int64(cap(data)))))
			copy(grown, data)
			data = grown
		}
	}
}
