// Command standin runs stand-ins for backend servers: model engines or a plain
// service. They announce themselves to the agent given by -agent.
//
//	standin -kind model -name pool-1 -service assistant-pool -agent 127.0.0.1:8090
//	standin -kind plain -name desk-1 -service order-desk -agent 127.0.0.1:8090
//
// With -count several engines run in one process; with -group they run the
// ranks of one group and step in lockstep. -agent may then be a list of agents,
// to which the engines are assigned in turn.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/standin"
)

// options are the values of the flags.
type options struct {
	kind   string
	count  int
	group  string
	ranks  int
	engine standin.EngineConfig
	plain  standin.PlainConfig
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := start(ctx, parseFlags()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	<-ctx.Done()
}

func parseFlags() options {
	var o options
	e := &o.engine
	flag.StringVar(&o.kind, "kind", engine.KindModel, "model or plain")
	flag.IntVar(&o.count, "count", 1, "number of stand-ins; their names and ports are numbered consecutively")
	flag.StringVar(&o.group, "group", "", "name of the group whose ranks the engines run")
	flag.IntVar(&o.ranks, "ranks", 4, "ranks of the group that each engine runs")
	flag.StringVar(&e.Name, "name", "pool-1", "name; with -count a number is added")
	flag.StringVar(&e.Service, "service", "assistant-pool", "service")
	flag.StringVar(&e.Listen, "listen", "127.0.0.1:0", "host:port to listen on")
	flag.StringVar(&e.Agent, "agent", "", "host:port of the agent, or a comma-separated list of agents that the stand-ins are assigned to in turn")
	flag.StringVar(&e.Model, "model", "m", "model")
	flag.StringVar(&e.Version, "version", "1", "version of the model")
	flag.Uint64Var(&e.MemoryTokens, "memory-tokens", 20_000, "tokens that fit in memory")
	concurrent := flag.Uint("max-concurrent", 32, "requests that a warm stand-in can handle")
	cold := flag.Uint("cold-concurrent", 2, "requests that a cold engine can handle")
	flag.DurationVar(&e.StepTime, "step", standin.DefaultStepTime, "time of a warm step")
	flag.Float64Var(&e.ColdFactor, "cold-factor", 4, "how much slower a cold step is")
	flag.IntVar(&e.WarmSteps, "warm-steps", 50, "steps until a cold engine is warm")
	flag.IntVar(&e.RampSteps, "ramp-steps", 8, "steps until a warm engine's capacity has doubled")
	flag.BoolVar(&e.StartWarm, "warm", false, "start warm")
	flag.Uint64Var(&e.PrefillTokens, "prefill-tokens", 2048, "prompt tokens that one step can process")
	flag.Uint64Var(&e.CacheTokens, "cache-tokens", 0, "tokens of the prefix cache; 0 is half of the memory")
	flag.Float64Var(&e.BytesPerToken, "bytes-per-token", 4, "prompt bytes per token")
	flag.Float64Var(&e.MinBytesPerToken, "min-bytes-per-token", 1, "minimum prompt bytes per token, as announced")
	flag.Uint64Var(&e.MinAnswer, "min-answer", 16, "minimum tokens of an answer")
	flag.Uint64Var(&e.MaxAnswer, "max-answer", 256, "maximum tokens of an answer")
	flag.BoolVar(&e.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	flag.BoolVar(&e.Resumes, "resumes", true, "continue answers that another engine started")
	flag.DurationVar(&e.AnnounceInterval, "announce", standin.DefaultAnnounceInterval, "time between announcements")
	flag.DurationVar(&o.plain.Delay, "delay", 0, "time of one execution of a plain service")
	flag.Parse()
	e.MaxConcurrent, e.ColdConcurrent = uint32(*concurrent), uint32(*cold)
	p := &o.plain
	p.Name, p.Service, p.Listen, p.Agent = e.Name, e.Service, e.Listen, e.Agent
	p.MaxConcurrent, p.AnnounceInterval = e.MaxConcurrent, e.AnnounceInterval
	return o
}

func start(ctx context.Context, o options) error {
	if o.kind != engine.KindModel && o.kind != engine.KindPlain {
		return errors.Newf("-kind is %q, want model or plain", o.kind)
	}
	if o.count < 1 || o.ranks < 1 {
		return errors.New("-count and -ranks must be at least 1")
	}
	var group *standin.Group
	if o.group != "" {
		group = standin.NewGroup(o.group)
	}
	for i := range o.count {
		address, err := o.startOne(ctx, i, group)
		if err != nil {
			return err
		}
		fmt.Println(address)
	}
	return nil
}

// startOne starts stand-in i and returns its address.
func (o options) startOne(ctx context.Context, i int, group *standin.Group) (string, error) {
	e, p := o.engine, o.plain
	listen, err := offsetPort(e.Listen, i)
	if err != nil {
		return "", err
	}
	e.Listen, p.Listen = listen, listen
	agents := strings.Split(e.Agent, ",")
	e.Agent = agents[i%len(agents)]
	p.Agent = e.Agent
	if o.count > 1 {
		name := fmt.Sprintf("%s-%d", e.Name, i+1)
		e.Name, p.Name = name, name
	}
	if o.kind == engine.KindPlain {
		s, err := standin.StartPlain(ctx, p)
		if err != nil {
			return "", err
		}
		return s.Address(), nil
	}
	if e.Group = group; group != nil {
		for r := range o.ranks {
			e.Ranks = append(e.Ranks, uint32(i*o.ranks+r))
		}
	}
	s, err := standin.StartEngine(ctx, e)
	if err != nil {
		return "", err
	}
	return s.Address(), nil
}

// offsetPort adds i to the port of an address, unless the port is 0.
func offsetPort(listen string, i int) (string, error) {
	host, text, err := net.SplitHostPort(listen)
	if err != nil {
		return "", errors.Wrap(err, "-listen")
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", errors.Wrap(err, "-listen")
	}
	if port > 0 {
		port += i
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}
