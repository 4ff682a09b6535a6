package runner

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
	"oleanderrack.example/oleanderrack/internal/transport/auth"
)

var (
	measure     = flag.Bool("measure", false, "run the measurements")
	slowReaders = flag.Int("slow-readers", 1000, "number of slow readers in the measurement")
)

const (
	measureTokens = 600
	fastReaders   = 20
	engines       = 16
)

// figures are the results of one run of the measurement.
type figures struct {
	heldBytes int64
	heapBytes uint64
	firstP95  time.Duration
	gapP95    time.Duration
	refused   int
	broken    int
}

// Measures the memory held for slow readers, which read nothing after the head
// of their answer, and the latency and failures of fast readers beside them.
// The baseline buffers without a bound; the quiet run has no slow readers.
func TestMeasureSlowReaders(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	runs := []struct {
		name   string
		slow   int
		change func(*Settings)
	}{
		{"quiet", 0, nil},
		{"bounded", *slowReaders, nil},
		{"baseline", *slowReaders, func(s *Settings) { s.BufferBytesPerStream, s.BufferBytesTotal = 1<<30, 1<<40 }},
	}
	for _, run := range runs {
		t.Run(run.name, func(t *testing.T) {
			f := measureRun(t, run.slow, run.change)
			t.Logf("%s: %d slow readers, held %.1f MB, heap %.0f MB; fast readers: first token p95 %v, gap p95 %v, %d refusals, %d broken",
				run.name, run.slow, float64(f.heldBytes)/1e6, float64(f.heapBytes)/1e6, f.firstP95, f.gapP95, f.refused, f.broken)
		})
	}
}

func measureRun(t *testing.T, slow int, change func(*Settings)) figures {
	b := newHarness(t, change)
	for i := range engines {
		b.engine(standin.EngineConfig{
			Name: fmt.Sprint("pool-", i), StartWarm: true, Resumes: true, MinAnswer: measureTokens, MaxAnswer: measureTokens,
			MemoryTokens: 200_000, MaxConcurrent: 128, ColdConcurrent: 128, StepTime: 20 * time.Millisecond, AnnounceInterval: 500 * time.Millisecond,
		})
	}
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var open []io.Closer
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range slow {
		wg.Go(func() {
			if body := b.openSlow(i); body != nil {
				mu.Lock()
				open = append(open, body)
				mu.Unlock()
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	// The slow readers' streams end or fill their buffers meanwhile.
	time.Sleep(measureTokens * 22 * time.Millisecond)
	var f figures
	b.runFast(&f)
	f.heldBytes = b.role.bufferBudget.peak.Load()
	runtime.GC()
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	f.heapBytes = after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
	if len(open) < slow {
		t.Logf("only %d of %d slow readers were admitted", len(open), slow)
	}
	for _, c := range open {
		c.Close()
	}
	return f
}

// openSlow opens a stream over a connection with a small receive window and
// reads only up to its head.
func (b *harness) openSlow(i int) io.Closer {
	client := &http.Client{Transport: auth.Client{Token: b.token, Base: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err == nil {
				err = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			}
			return conn, err
		},
		ReadBufferSize: 4 << 10,
	}}}
	for try := range 50 {
		req := b.completion(fmt.Sprintf("slow-%d-%d", i, try), fmt.Sprint("pool-", (i+try)%engines), fmt.Sprint("slow ", i), measureTokens)
		req.DeadlineMs = 120_000
		var buf bytes.Buffer
		frame.WriteMessage(&buf, req)
		httpReq, _ := http.NewRequest(http.MethodPost, "http://"+b.role.Address()+dispatchPath, &buf)
		resp, err := client.Do(httpReq)
		if err != nil {
			return nil
		}
		f, err := frame.NewReader(resp.Body, req.Attempt.RequestId, 1).Read()
		if err == nil && f.GetHead() != nil {
			return resp.Body
		}
		resp.Body.Close()
		b.pause(50)
	}
	return nil
}

// runFast runs the fast readers and measures the times of their tokens.
func (b *harness) runFast(f *figures) {
	var mu sync.Mutex
	var firsts, gaps []time.Duration
	var refused, broken atomic.Int64
	var wg sync.WaitGroup
	for i := range fastReaders {
		wg.Go(func() {
			for try := range 100 {
				first, between, ok, refusal := b.timeStream(i, try)
				if refusal {
					refused.Add(1)
					b.pause(20)
					continue
				}
				if !ok {
					broken.Add(1)
				}
				mu.Lock()
				firsts, gaps = append(firsts, first), append(gaps, between...)
				mu.Unlock()
				return
			}
		})
	}
	wg.Wait()
	f.firstP95, f.gapP95 = p95(firsts), p95(gaps)
	f.refused, f.broken = int(refused.Load()), int(broken.Load())
}

func (b *harness) timeStream(i, try int) (first time.Duration, gaps []time.Duration, ok, refused bool) {
	req := b.completion(fmt.Sprintf("fast-%d-%d", i, try), fmt.Sprint("pool-", (i+try)%engines), fmt.Sprint("fast ", i), 200)
	start := time.Now()
	body, err := b.open(context.Background(), req)
	if err != nil {
		return 0, nil, false, false
	}
	defer body.Close()
	reader := frame.NewReader(body, req.Attempt.RequestId, 1)
	last := start
	for {
		fr, err := reader.Read()
		if err != nil {
			return first, gaps, false, false
		}
		switch x := fr.Frame.(type) {
		case *peer.AnswerFrame_Failure:
			return first, gaps, false, x.Failure.Ran == "no"
		case *peer.AnswerFrame_End:
			return first, gaps, true, false
		case *peer.AnswerFrame_Chunk:
			now := time.Now()
			if first == 0 {
				first = now.Sub(start)
			} else {
				gaps = append(gaps, now.Sub(last))
			}
			last = now
		}
	}
}

func p95(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*95/100].Round(100 * time.Microsecond)
}
