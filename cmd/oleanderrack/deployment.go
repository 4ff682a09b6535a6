package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"

	"oleanderrack.example/oleanderrack/internal/coordination/control"
	"oleanderrack.example/oleanderrack/internal/coordination/entry"
	"oleanderrack.example/oleanderrack/internal/coordination/runner"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/standin"
	"oleanderrack.example/oleanderrack/internal/transport/client"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

func (d *dev) controlSettings() control.Settings {
	s := control.DefaultSettings()
	s.Listen, s.Advertise = d.controlAddr, d.controlAddr
	s.Region, s.FailureDomain, s.Host = devRegion, devFailureDomain, "dev-control"
	s.TokenFile, s.OperatorTokenFile = d.path("system_token"), d.path("operator_token")
	s.Control = []string{d.controlAddr}
	s.ID, s.DataFolder = 1, d.path("control")
	s.Bootstrap = []control.Member{{ID: 1, Address: d.controlAddr, FailureDomain: devFailureDomain}}
	return s
}

func (d *dev) runnerSettings() runner.Settings {
	s := runner.DefaultSettings()
	s.Listen = "127.0.0.1:0"
	s.Region, s.FailureDomain, s.Host = devRegion, devFailureDomain, "dev-runner"
	s.TokenFile = d.path("system_token")
	s.Control = []string{d.controlAddr}
	return s
}

func (d *dev) entrySettings() entry.Settings {
	s := entry.DefaultSettings()
	s.Listen = d.listen
	s.Region, s.FailureDomain, s.Host = devRegion, devFailureDomain, "dev-entry"
	s.TokenFile = d.path("system_token")
	s.Control = []string{d.controlAddr}
	// No load balancer has to detect that the entry is draining.
	s.DrainSettle.Duration = 0
	return s
}

func startStandins(ctx context.Context, agent string, log hclog.Logger) error {
	for i := range 2 {
		e, err := standin.StartEngine(ctx, standin.EngineConfig{
			Name: fmt.Sprintf("pool-%d", i+1), Service: "assistant-pool", Agent: agent, Resumes: true,
		})
		if err != nil {
			return err
		}
		log.Debug("model engine started", "address", e.Address())
	}
	p, err := standin.StartPlain(ctx, standin.PlainConfig{Name: "desk-1", Service: "order-desk", Agent: agent})
	if err != nil {
		return err
	}
	log.Debug("plain service started", "address", p.Address())
	return nil
}

// waitReady waits until the entry is ready, which needs a lease and a
// configuration, or until ctx ends.
func waitReady(ctx context.Context, address string) error {
	caller := &http.Client{Transport: client.NewSingleTransport()}
	for {
		resp, err := caller.Get("http://" + address + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(devPollInterval):
		}
	}
}

func (d *dev) confirmIntent(ctx context.Context, operator peer.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	for {
		err := confirmOnce(ctx, operator)
		if err == nil || ctx.Err() != nil {
			return err
		}
		d.log.Debug("intent not confirmed yet", "error", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devPollInterval):
		}
	}
}

func confirmOnce(ctx context.Context, operator peer.Operator) error {
	status, err := operator.Status(ctx, &peer.StatusRequest{})
	if err != nil || status.Revision > 0 {
		return err
	}
	plan, err := operator.Plan(ctx, &peer.PlanRequest{Intent: devIntent().Canonical()})
	if err != nil {
		return err
	}
	_, err = operator.Confirm(ctx, &peer.ConfirmRequest{
		PlanId: plan.PlanId, BaseRevision: plan.BaseRevision, Intent: plan.Intent,
		OperationId: "dev-first-intent", OperatorName: "dev",
	})
	return err
}

func devIntent() intent.Intent {
	sum := sha256.Sum256([]byte(devKey))
	domains := []string{devFailureDomain}
	return intent.Intent{
		Region:         devRegion,
		FailureDomains: []intent.FailureDomain{{Name: devFailureDomain}},
		Services: []intent.Service{
			{Name: "assistant-pool", Kind: intent.Model, FailureDomains: domains},
			{Name: "order-desk", Kind: intent.Plain, FailureDomains: domains, Routes: []intent.Route{
				{Method: "GET", Path: "/stock/*", Repeatable: true},
			}},
		},
		ClientAccounts: []intent.ClientAccount{{Name: "dev", KeySHA256: hex.EncodeToString(sum[:])}},
	}
}

func (d *dev) path(name string) string { return filepath.Join(d.folder, name) }
