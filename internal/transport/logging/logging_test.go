package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a standard output that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestNeverBlocks guards against requests that are delayed because nobody reads
// the standard output.
func TestNeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	log, closer := New("entry", Config{Level: "info"}, out)
	done := make(chan struct{})
	go func() {
		for range 10 * queueLines {
			log.Error("failed", "request_id", "r1")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks")
	}
	begin := time.Now()
	closer.Close()
	if took := time.Since(begin); took > 10*time.Second {
		t.Errorf("Close took %s", took)
	}
	close(out.release)
}

// TestDropped guards against errors that are dropped because of informational
// lines, and against dropped lines that are not reported.
func TestDropped(t *testing.T) {
	var mu sync.Mutex
	var out bytes.Buffer
	const lineBurst = 2 * DefaultLinesPerSecond
	log, sink := New("entry", Config{Level: "info"}, writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}))
	for range 3 * lineBurst {
		log.Info("answered")
	}
	log.Error("failed", "request_id", "r1")
	sink.Close()
	if sink.Dropped() == 0 {
		t.Error("no dropped line was counted")
	}
	mu.Lock()
	defer mu.Unlock()
	if n := strings.Count(out.String(), "answered"); n > lineBurst+DefaultLinesPerSecond {
		t.Errorf("%d lines were written", n)
	}
	for _, want := range []string{`"request_id":"r1"`, "log lines were dropped"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %s", want)
		}
	}
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

var _ io.Writer = writerFunc(nil)
