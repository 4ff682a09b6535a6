package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestBodyLedger guards against a body that makes progress and gives way to one that has
// stalled, and against bodies that are complete and give way.
func TestBodyLedger(t *testing.T) {
	l := &bodyLedger{limit: 100, reading: map[*bodyAccount]bool{}}
	now := start
	begin := func() *bodyAccount {
		now = now.Add(time.Millisecond) // no two begin at the same time
		a := &bodyAccount{begun: now, progressed: now}
		l.reading[a] = true
		return a
	}
	complete, stalled, moving, newest := begin(), begin(), begin(), begin()
	l.take(now, complete, 30)
	l.end(complete)
	l.take(now, stalled, 30)
	l.take(now, moving, 20)
	now = now.Add(2 * stalledAfter)
	l.take(now, moving, 10)
	steps := []struct {
		name string
		n    int64
		want []*bodyAccount
		ok   bool
	}{
		{"there is room", 10, nil, true},
		{"the stalled one gives way", 20, []*bodyAccount{stalled}, true},
		{"then the one that began first", 20, []*bodyAccount{moving}, false},
		{"none is left, since the others are complete", 60, nil, false},
	}
	for _, step := range steps {
		got, ok := l.take(now, newest, step.n)
		same := len(got) == len(step.want)
		for i := range got {
			same = same && got[i] == step.want[i]
		}
		if !same || ok != step.ok {
			t.Errorf("%s: %d gave way, ok %v", step.name, len(got), ok)
		}
	}
	for _, a := range []*bodyAccount{complete, stalled, moving, newest} {
		l.release(a)
	}
	if l.held != 0 || l.leaving != 0 || len(l.reading) != 0 {
		t.Errorf("after all were released: %+v", l)
	}
}

// TestBodies guards against callers that declare bodies, or send a part of them, and take
// the memory for those of others.
func TestBodies(t *testing.T) {
	const limit = 1 << 20
	bodies := NewBodies(limit)
	l, _ := serveTest(t, ample, Limits{}, bodies.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadAll(r.Body, r.ContentLength)
		switch {
		case errors.Is(err, ErrShortage):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			fmt.Fprint(w, len(data))
		}
	})).ServeHTTP)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", limit)
	for range 20 {
		dial(t, l, head+strings.Repeat("x", limit/10))
	}
	for range 20 {
		if got := statuses(dial(t, l, head+strings.Repeat("x", limit)), 1); cmp.Equal(got, ok(1)) {
			return
		}
		time.Sleep(stalledAfter)
	}
	t.Error("no body of the largest size was accepted")
}

// TestReadAll guards against a body that is changed, whatever size was declared.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Repeat([]byte("abcdefg"), rapid.IntRange(0, 5000).Draw(t, "length"))
		size := rapid.SampledFrom([]int64{-1, 0, int64(len(data)), int64(len(data)) + 5, 1 << 40}).Draw(t, "declared")
		var r io.Reader = bytes.NewReader(data)
		if rapid.Bool().Draw(t, "with the last bytes") {
			r = iotest.DataErrReader(r)
		}
		got, err := ReadAll(r, size)
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("%d bytes of %d, error %v", len(got), len(data), err)
		}
	})
}
