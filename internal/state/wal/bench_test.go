package wal

import (
	"fmt"
	"testing"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// BenchmarkSync measures batches of entries of 256 bytes with one sync per
// batch.
func BenchmarkSync(b *testing.B) {
	for _, batch := range []int{1, 8, 64} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), Options{Cluster: "c", ID: 1})
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			batchEntries := make([]*peer.LogEntry, batch)
			index := uint64(0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for i := range batchEntries {
					index++
					batchEntries[i] = &peer.LogEntry{Index: index, Term: 1, Type: peer.LogEntryType_LOG_ENTRY_TYPE_COMMAND, Data: make([]byte, 256)}
				}
				l.Append(nil, batchEntries)
				if err := l.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/entry")
		})
	}
}
