package registrar

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/coordination/duty"
	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/coordination/suspend"
	"oleanderrack.example/oleanderrack/internal/coordination/usage"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	// dutyInterval is the time between two checks of the duty. Reports are due
	// seconds after a window, and a candidate sees a renewal that much later at most.
	dutyInterval = 100 * time.Millisecond
	// fetchInterval is the time between two requests for the counts of other
	// registrars for the same window.
	fetchInterval = 500 * time.Millisecond
)

// UsageConfig configures the reports of usage.
type UsageConfig struct {
	// Host is the name of this host.
	Host    string
	Windows usage.Windows
	Terms   duty.Terms
	// CallsPerSecond is the rate that the platform accepts.
	CallsPerSecond float64
	// Report sends a report. It calls permit immediately before it writes, and writes
	// only if that returns nil. It returns within Terms.Action of that.
	Report func(ctx context.Context, report UsageReport, permit func() error) (usage.Outcome, error)
}

// UsageReport is the report of one window.
type UsageReport struct {
	Host   string
	Token  uint64
	Window uint64
	// Counts is sorted by client account and must not be modified.
	Counts []*peer.AccountCount
}

// reporter reports usage while this registrar is the leader. Its methods are called
// by one goroutine.
type reporter struct {
	*Registrar
	cfg      UsageConfig
	holder   *duty.Holder
	schedule *usage.Schedule
	fetched  map[uint64]time.Duration // last fetch of the counts of open windows
	// accepted holds the windows whose reports were accepted, until that is recorded.
	accepted map[uint64]bool
	leads    bool
	holds    bool          // for log lines
	outcome  usage.Outcome // of the last attempt, for log lines
	dropped  uint64
}

// reportUsage runs the duty of usage reports until ctx ends.
func (r *Registrar) reportUsage(ctx context.Context) {
	cfg := *r.cfg.Usage
	p := &reporter{
		Registrar: r, cfg: cfg, holder: duty.New(cfg.Host, cfg.Terms),
		schedule: usage.NewSchedule(cfg.Windows, cfg.CallsPerSecond), fetched: map[uint64]time.Duration{}, accepted: map[uint64]bool{},
	}
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.step(ctx)
		}
	}
}

// step observes the duty and does what is due.
func (p *reporter) step(ctx context.Context) {
	if dropped := p.counts.forget(); dropped > p.dropped {
		p.scope.Counter("usage_counts_dropped").Inc(int64(dropped - p.dropped))
		p.dropped = dropped
	}
	log, state, err := p.supervisor.get()
	if err != nil {
		p.leads = false
		p.setHolds(false)
		return
	}
	p.observe(state)
	led := p.leads
	if p.leads = log.Status().IsLeader; !p.leads {
		p.setHolds(false)
		return
	}
	if !led {
		p.holder.BeginLeading(suspend.Clock())
	}
	switch next := p.holder.Next(suspend.Clock(), state.Catalog().Version == 0).(type) {
	case duty.Grant:
		p.setHolds(false)
		p.acquire(ctx, log, state, next.Expected)
	case duty.Wait:
		p.setHolds(false)
	case duty.Hold:
		p.setHolds(true)
		p.abandonLate(ctx, log, state)
		p.closeWindows(ctx, log, state)
		p.report(ctx, log, state)
	}
}

func dutyRecord(state *registry.Registry) duty.Record {
	d := state.Duty()
	return duty.Record{Host: d.GetHost(), Token: d.GetToken(), Renewal: d.GetRenewal()}
}

func (p *reporter) observe(state *registry.Registry) {
	p.holder.Observe(suspend.Clock(), dutyRecord(state))
}

// setHolds updates the metrics of the duty, and logs a change.
func (p *reporter) setHolds(holds bool) {
	record := p.holder.Record()
	value := 0.0
	if holds {
		value = 1
	}
	p.scope.Gauge("duty_holder").Update(value)
	p.scope.Gauge("duty_token").Update(float64(record.Token))
	if !holds {
		p.scope.Gauge("usage_windows_due").Update(0)
	}
	if holds != p.holds {
		p.holds = holds
		p.log.Info("duty of usage reports", "holds", holds, "holder", record.Host, "token", record.Token)
	}
}

// acquire proposes this host as the holder, once it has applied all that was committed
// before: a leader that has just started may see no record yet.
func (p *reporter) acquire(ctx context.Context, log *replica.Replica, state *registry.Registry, expected duty.Record) {
	confirmCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := log.ConfirmLeadership(confirmCtx); err != nil || dutyRecord(state) != expected {
		return
	}
	first := p.cfg.Windows.At(p.counts.now())
	if expected.Token == 0 && state.Catalog().Version > 0 {
		// A record that was lost may have had reports of the current window.
		first++
	}
	applied := p.renew(ctx, log, state, registry.GrantDutyCommand(time.Now(), p.cfg.Host, expected.Token, expected.Renewal, first))
	if applied {
		p.scope.Counter("duty_grants").Inc(1)
		p.log.Info("duty of usage reports was granted", "holder", p.cfg.Host, "token", p.holder.Record().Token, "before", expected.Host, "token_before", expected.Token)
	}
}

// renew proposes a command that renews the lease of this host, and reports whether it
// was applied.
func (p *reporter) renew(ctx context.Context, log *replica.Replica, state *registry.Registry, command []byte) bool {
	proposed := suspend.Clock()
	applied, _, err := p.propose(ctx, log, command)
	if !applied || err != nil {
		return false
	}
	p.holder.Renewed(suspend.Clock(), proposed, dutyRecord(state))
	return true
}

func (p *reporter) propose(ctx context.Context, log *replica.Replica, command []byte) (applied bool, missed uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := log.Propose(ctx, command)
	if err == nil {
		applied, missed, err = registry.DecodeDutyResult(result)
	}
	if err != nil || !applied {
		p.scope.Counter("duty_proposals_failed").Inc(1)
		p.log.Debug("proposal of the duty was not applied", "applied", applied, "error", err)
	}
	return applied, missed, err
}

// abandonLate gives up the windows whose reports are too late.
func (p *reporter) abandonLate(ctx context.Context, log *replica.Replica, state *registry.Registry) {
	record := state.Duty()
	late, ok := p.cfg.Windows.LastLate(p.counts.now())
	if !ok || late < record.GetFloor() {
		return
	}
	applied, missed, err := p.propose(ctx, log, registry.AbandonUsageCommand(time.Now(), record.GetToken(), late))
	if err == nil && applied && missed > 0 {
		p.scope.Counter("usage_missed").Inc(int64(missed))
		p.log.Warn("usage reports were missed", "windows", missed, "from", record.GetFloor(), "through", late)
	}
}

// closeWindows closes the windows that have ended, the newest first.
func (p *reporter) closeWindows(ctx context.Context, log *replica.Replica, state *registry.Registry) {
	now := p.counts.now()
	record := state.Duty()
	closed := map[uint64]bool{}
	for _, w := range record.GetWindows() {
		closed[w.Window] = true
	}
	first := max(record.GetFloor(), p.cfg.Windows.Kept(now))
	for window := range p.fetched {
		if window < first {
			delete(p.fetched, window)
		}
	}
	for window := range p.accepted {
		if window < first {
			delete(p.accepted, window)
		}
	}
	for window := p.cfg.Windows.At(now); window > first; {
		window--
		if !closed[window] && p.mayClose(ctx, now, window) {
			counts := p.counts.sum(window)
			applied := p.renew(ctx, log, state, registry.CloseUsageCommand(time.Now(), record.GetToken(), window, counts))
			p.log.Debug("usage window closed", "window", window, "client_accounts", len(counts), "applied", applied)
		}
	}
}

// mayClose reports whether the counts of a window are complete or are not waited for
// any longer, after it has merged those of the other registrars.
func (p *reporter) mayClose(ctx context.Context, now time.Time, window uint64) bool {
	steady := suspend.Clock()
	isBound := !now.Before(p.cfg.Windows.CloseBound(window))
	last, fetched := p.fetched[window]
	// Entries call this registrar too, most of the time. Those that cannot reach it are
	// known from the others only.
	isEarly := now.Before(p.cfg.Windows.End(window).Add(fetchInterval)) && p.counts.waits(window)
	if !isBound && (isEarly || fetched && steady-last < fetchInterval) {
		return false
	}
	p.fetched[window] = steady
	p.fetchCounts(ctx, window)
	complete := p.counts.isComplete(window)
	if isBound && !complete {
		p.scope.Counter("usage_windows_incomplete").Inc(1)
	}
	return isBound || complete
}

// report sends the report of the newest window that is due.
func (p *reporter) report(ctx context.Context, log *replica.Replica, state *registry.Registry) {
	record := state.Duty()
	var open []uint64
	for _, w := range record.GetWindows() {
		switch {
		case w.Reported:
		case p.accepted[w.Window]:
			p.settle(ctx, log, record.GetToken(), w.Window)
		default:
			open = append(open, w.Window)
		}
	}
	p.scope.Gauge("usage_windows_due").Update(float64(len(open)))
	window, ok := p.schedule.Next(p.counts.now(), open)
	if !ok {
		return
	}
	if !p.mayAct() && !p.renew(ctx, log, state, registry.RenewDutyCommand(time.Now(), record.GetToken())) {
		return
	}
	at := slices.IndexFunc(record.Windows, func(w *registry.UsageWindow) bool { return w.Window == window })
	report := UsageReport{Host: p.cfg.Host, Token: record.GetToken(), Window: window, Counts: record.Windows[at].Counts}
	outcome, err := p.cfg.Report(ctx, report, func() error {
		p.observe(state)
		if !p.mayAct() || p.holder.Record().Token != report.Token {
			return fault.New(fault.NoLease, "the lease of the duty does not last for a call")
		}
		return nil
	})
	p.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("usage_calls").Inc(1)
	if p.schedule.Record(p.counts.now(), window, outcome) {
		p.scope.Counter("usage_unsure").Inc(1)
	}
	previous := p.outcome
	p.outcome = outcome
	if outcome != usage.Accepted {
		// A platform that is down for long takes one line.
		level := hclog.Warn
		if outcome == previous {
			level = hclog.Debug
		}
		p.log.Log(level, "usage report was not accepted", "window", window, "token", report.Token, "outcome", outcome.String(), "error", err)
		return
	}
	p.scope.Counter("usage_reported").Inc(1)
	p.log.Info("usage reported", "window", window, "token", report.Token, "client_accounts", len(report.Counts),
		"age_ms", p.counts.now().Sub(p.cfg.Windows.End(window)).Milliseconds())
	p.accepted[window] = true
	p.settle(ctx, log, report.Token, window)
}

// settle records that the report of a window was accepted. Until that is committed,
// another holder would repeat it.
func (p *reporter) settle(ctx context.Context, log *replica.Replica, token, window uint64) {
	if applied, _, err := p.propose(ctx, log, registry.SettleUsageCommand(time.Now(), token, window)); err == nil && applied {
		delete(p.accepted, window)
	}
}

func (p *reporter) mayAct() bool {
	return p.holder.MayAct(suspend.Clock(), p.interruptions.LastEnd())
}
