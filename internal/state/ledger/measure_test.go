package ledger

import (
	"bytes"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

var measure = flag.Bool("measure", false, "measure memory per key and print a table")

func claimKeys(l *Ledger, from, to int, complete bool) {
	for i := from; i < to; i++ {
		k, a := key(fmt.Sprint("order-", i)), attempt(fmt.Sprint("request-", i), 1)
		l.Claim(1000, &peer.ClaimRequest{Key: k, Digest: digest(1), Attempt: a})
		if complete {
			l.Complete(1000, &peer.CompleteRequest{Key: k, Attempt: a, Outcome: &peer.CompleteRequest_Answer{Answer: &peer.StoredAnswer{TooLarge: true}}})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Measures the memory per key and the duration of a snapshot and of a restore.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	var table bytes.Buffer
	w := tabwriter.NewWriter(&table, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "keys\tstate\tbytes/key\tMB\tsnapshot MB\tsnapshot\trestore")
	for _, c := range []struct {
		keys     int
		complete bool
	}{{100_000, true}, {1_000_000, true}, {3_000_000, true}, {100_000, false}} {
		before := heapBytes()
		l := New()
		claimKeys(l, 0, c.keys, c.complete)
		used := heapBytes() - before
		begin := time.Now()
		s := l.State()
		saved := time.Since(begin)
		begin = time.Now()
		if _, err := FromState(s); err != nil {
			t.Fatal(err)
		}
		restored := time.Since(begin)
		name := "running"
		if c.complete {
			name = "done"
		}
		fmt.Fprintf(w, "%d\t%s\t%.1f\t%.1f\t%.1f\t%v\t%v\n", c.keys, name, float64(used)/float64(c.keys), float64(used)/1e6,
			float64(len(s.Records))/1e6, saved.Round(time.Millisecond), restored.Round(time.Millisecond))
		runtime.KeepAlive(l)
	}
	w.Flush()
	t.Log("\n" + table.String())
}

func BenchmarkClaim(b *testing.B) {
	l := New()
	claimKeys(l, 0, 1_000_000, true)
	reqs := make([]*peer.ClaimRequest, 4096)
	for i := range reqs {
		reqs[i] = &peer.ClaimRequest{Key: key(fmt.Sprint("order-", i*200)), Digest: digest(1), Attempt: attempt("other", 1)}
	}
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			l.Claim(1000, reqs[i%len(reqs)])
		}
	})
	b.Run("new", func(b *testing.B) {
		b.ReportAllocs()
		a := attempt("r", 1)
		for i := range b.N {
			l.Claim(1000, &peer.ClaimRequest{Key: &peer.KeyRef{ClientAccount: "a", Service: "s", Key: fmt.Sprint("new-", l.Keys()+i)}, Digest: digest(1), Attempt: a})
		}
	})
}
