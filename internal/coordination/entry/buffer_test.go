package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

func chunkItem(n int) item {
	return item{frame: &peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: make([]byte, n)}}}}
}

// Guards against buffers that grow beyond the limits of a stream or of the
// process, and against bytes that are never released to the budget.
func TestBufferLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, limit = 1000, 300
		budget := newByteBudget(total)
		var buffers []*buffer
		for range rapid.IntRange(1, 8).Draw(t, "streams") {
			buffers = append(buffers, newBuffer(budget, limit))
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			b := buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "stream")]
			if rapid.Bool().Draw(t, "put") {
				n := rapid.IntRange(0, 120).Draw(t, "bytes")
				empty := len(b.items) == 0
				ok, _ := b.tryPut(chunkItem(n), int64(n))
				if empty && !ok {
					t.Fatal("an empty buffer rejected a frame")
				}
			} else {
				b.tryGet()
			}
			reserved := int64(0)
			for _, b := range buffers {
				if b.bytes > limit {
					t.Fatalf("a stream holds %d bytes, at most %d", b.bytes, limit)
				}
				for _, it := range b.items {
					reserved += it.reserved
				}
			}
			if budget.available < 0 || budget.available+reserved != total {
				t.Fatalf("%d bytes are available and %d reserved of %d", budget.available, reserved, total)
			}
		}
		for _, b := range buffers {
			b.close()
		}
		if budget.available != total {
			t.Fatalf("%d bytes are available after close, want %d", budget.available, total)
		}
	})
}

// Guards against a put that does not end with its context while the buffer is
// full: its goroutine would leak.
func TestBufferPutEnds(t *testing.T) {
	b := newBuffer(newByteBudget(10), 10)
	ctx, cancel := context.WithCancel(context.Background())
	if err := b.put(ctx, chunkItem(10)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := b.put(ctx, chunkItem(10)); err != context.Canceled {
		t.Errorf("got %v", err)
	}
}

// Guards against slow readers that delay other callers: when callers that read
// nothing have used up the byte budget, another caller still receives its
// complete stream, and backpressure stops the agents of the slow ones.
func TestSlowReaders(t *testing.T) {
	const slow = 4
	const chunks, size = 2000, 8 << 10
	written := make(chan int, slow+1)
	agent := newFakeAgent(t, "a1", func(_ *fakeAgent, req *peer.DispatchRequest, w *agentWriter) {
		w.head(200, true)
		n := 0
		defer func() { written <- n }()
		for ; n < chunks; n++ {
			data := strings.Repeat("z", size)
			if err := w.Write(&peer.AnswerFrame{Frame: &peer.AnswerFrame_Chunk{Chunk: &peer.Chunk{Data: []byte(data)}}}); err != nil {
				return
			}
		}
		w.end()
	})
	h := newHarness(t, func(s *Settings) { s.BufferBytesTotal = s.BufferBytesPerStream }, agent)
	var conns []net.Conn
	for range slow {
		conn, err := net.Dial("tcp", h.role.Address())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		req, _ := http.NewRequest("POST", "http://x/v1/chat/completions", strings.NewReader(streamBody))
		req.Header.Set("Authorization", "Bearer "+testKey)
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "the byte budget to be used up", func() bool {
		h.role.bufferBudget.mu.Lock()
		defer h.role.bufferBudget.mu.Unlock()
		return h.role.bufferBudget.available < size
	})
	res, body, err := h.call(t, "POST", "/v1/chat/completions", streamBody)
	if err != nil || res.StatusCode != 200 || !strings.HasSuffix(body, "[DONE]\n\n") || strings.Count(body, "data: z") != chunks {
		t.Errorf("the fast caller got %d bytes, %v", len(body), err)
	}
	if n := <-written; n != chunks {
		t.Errorf("a slow stream ended at the agent after %d chunks", n)
	}
	for _, c := range conns {
		c.Close()
	}
	for range slow {
		if n := <-written; n >= chunks {
			t.Errorf("the agent of a slow reader wrote all %d chunks", n)
		}
	}
	waitFor(t, "all bytes to be released", func() bool {
		h.role.bufferBudget.mu.Lock()
		defer h.role.bufferBudget.mu.Unlock()
		return h.role.bufferBudget.available == h.role.settings.BufferBytesTotal
	})
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited 10 s for %s", what)
		}
	}
}

// Guards against invalid settings that pass the check, so that a process stops
// late or not at all.
func TestSettings(t *testing.T) {
	good := DefaultSettings()
	good.Region, good.FailureDomain, good.Host, good.TokenFile, good.Control = "r", "d", "h", "f", []string{"127.0.0.1:1"}
	tests := map[string]struct {
		change func(*Settings)
		want   []string
	}{
		"good":          {func(*Settings) {}, nil},
		"listen":        {func(s *Settings) { s.Listen = "x" }, []string{"listen: must be host:port"}},
		"control":       {func(s *Settings) { s.Control = []string{"x"} }, []string{"control: each one must be host:port"}},
		"buffer":        {func(s *Settings) { s.BufferBytesPerStream = 1 << 20 }, []string{"buffer_bytes_per_stream: must be 4096 to 65536"}},
		"total":         {func(s *Settings) { s.BufferBytesTotal = 1 }, []string{"buffer_bytes_total: must be at least buffer_bytes_per_stream"}},
		"other regions": {func(s *Settings) { s.ControlRegions = map[string][]string{"q": {"x"}} }, []string{"control_regions.q: addresses must be host:port"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := good
			test.change(&s)
			if diff := cmp.Diff(test.want, s.Check()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
