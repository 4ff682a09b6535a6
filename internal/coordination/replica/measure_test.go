package replica

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
)

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// httpGroup is a group of replicas that communicate by twirp over loopback.
type httpGroup struct {
	replicas []*Replica
	machines []*commandRecorder
	bytes    atomic.Int64
}

func newHTTPGroup(t testing.TB, voters int) *httpGroup {
	g := &httpGroup{}
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, network, address)
			return countingConn{conn, &g.bytes}, err
		},
		MaxIdleConnsPerHost: 4,
	}}
	var members []*peer.Member
	handlers := make([]atomic.Value, voters)
	for i := range voters {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if h, ok := handlers[i].Load().(http.Handler); ok {
				h.ServeHTTP(rw, r)
			}
		}))
		t.Cleanup(server.Close)
		members = append(members, &peer.Member{Id: uint64(i + 1), Address: server.Listener.Addr().String(), Voter: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range voters {
		transport := NewTransport("c", uint64(i+1), client, tally.NoopScope)
		machine := &commandRecorder{}
		r, err := New(ctx, Config{
			Cluster: "c", ID: uint64(i + 1), Folder: t.TempDir(), Bootstrap: members, StateMachine: machine,
			Transport: transport, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
		if err != nil {
			t.Fatal(err)
		}
		g.replicas, g.machines = append(g.replicas, r), append(g.machines, machine)
		handlers[i].Store(http.Handler(peer.NewReplicationServer(r)))
		t.Cleanup(func() {
			cancel()
			<-r.Done()
			transport.Close()
		})
	}
	return g
}

func (g *httpGroup) leader(t testing.TB) *Replica {
	var leader *Replica
	eventually(t, "leader", func() bool {
		for _, r := range g.replicas {
			if r.Status().IsLeader {
				leader = r
			}
		}
		return leader != nil
	})
	return leader
}

// Guards against a transport that does not carry an election, proposals and
// reads between processes.
func TestHTTPTransport(t *testing.T) {
	g := newHTTPGroup(t, 3)
	for i := range 20 {
		if _, err := g.leader(t).Propose(t.Context(), fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := g.leader(t).ConfirmLeadership(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, m := range g.machines {
		eventually(t, "replication", func() bool { return len(m.all()) == 20 })
	}
}

var measure = flag.Bool("measure", false, "run the measurements for the capacity page")

// cpuTime returns the processor time that the process has used.
func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sample is the cost of one workload, per second.
type sample struct {
	cpu       time.Duration
	bytes     float64
	proposals float64
}

// run offers proposals at a rate per second and measures their cost. A size
// below zero stands for reads, and a rate below zero for 256 callers without a
// pause.
func (g *httpGroup) run(t testing.TB, rate, size int) sample {
	const duration = 5 * time.Second
	leader := g.leader(t)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var done atomic.Int64
	propose := func() {
		var err error
		if size < 0 {
			_, err = leader.ConfirmLeadership(ctx)
		} else {
			_, err = leader.Propose(ctx, make([]byte, size))
		}
		if err == nil {
			done.Add(1)
		}
	}
	cpu, bytes, start := cpuTime(t), g.bytes.Load(), time.Now()
	var group sync.WaitGroup
	switch {
	case rate < 0:
		for range 256 {
			group.Go(func() {
				for ctx.Err() == nil {
					propose()
				}
			})
		}
	case rate > 0:
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for ctx.Err() == nil {
			<-tick.C
			group.Go(propose)
		}
	default:
		<-ctx.Done()
	}
	group.Wait()
	elapsed := time.Since(start).Seconds()
	return sample{
		cpu:       time.Duration(float64(cpuTime(t)-cpu) / elapsed),
		bytes:     float64(g.bytes.Load()-bytes) / elapsed,
		proposals: float64(done.Load()) / elapsed,
	}
}

// TestMeasure prints the cost of replicas, for the capacity page. All replicas
// run in this process and use HTTP over loopback, so CPU is the sum of all;
// bytes are those of the TCP streams, both directions, without IP headers.
// Rows with -1 bytes are confirmed reads.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	samples := map[[3]int]sample{}
	fmt.Fprintln(out, "voters\tbytes each\toffered/s\tdone/s\tCPU ms/s\twire bytes/s\t")
	for _, row := range []struct{ voters, size, rate int }{
		{1, 0, 0}, {3, 0, 0}, {5, 0, 0},
		{3, 256, 100}, {3, 256, 400}, {3, 256, 1600}, {3, 4096, 400},
		{5, 256, 400}, {1, 256, -1}, {3, 256, -1}, {5, 256, -1},
		{3, -1, 100}, {3, -1, 400}, {3, -1, 1600}, {3, -1, -1},
	} {
		t.Run(fmt.Sprint(row), func(t *testing.T) {
			s := newHTTPGroup(t, row.voters).run(t, row.rate, row.size)
			samples[[3]int{row.voters, row.size, row.rate}] = s
			fmt.Fprintf(out, "%d\t%d\t%d\t%.0f\t%.2f\t%.0f\t\n", row.voters, row.size, row.rate,
				s.proposals, float64(s.cpu)/float64(time.Millisecond), s.bytes)
		})
	}
	out.Flush()
	one, idle, five := samples[[3]int{1, 0, 0}], samples[[3]int{3, 0, 0}], samples[[3]int{5, 0, 0}]
	fmt.Printf("idle follower: %.2f CPU ms/s, %.0f wire bytes/s\n",
		(five.cpu-one.cpu).Seconds()*1000/4, five.bytes/4)
	for _, size := range []int{256, 4096, -1} {
		s := samples[[3]int{3, size, 400}]
		fmt.Printf("call of %d bytes, 3 voters: %.2f CPU ms, %.0f wire bytes per follower\n", size,
			(s.cpu-idle.cpu).Seconds()*1000/s.proposals, (s.bytes-idle.bytes)/s.proposals/2)
	}
}

// BenchmarkPropose measures proposals of 256 bytes to three replicas in this
// process, over a transport in memory, each with its log on disk.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			g := newGroup(b)
			for id := uint64(1); id <= 3; id++ {
				g.start(id, members(3))
			}
			leader := g.leader()
			command := make([]byte, 256)
			work := make(chan struct{}, callers)
			b.ReportAllocs()
			b.ResetTimer()
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for range work {
						if _, err := leader.Propose(context.Background(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
