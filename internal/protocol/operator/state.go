package operator

import (
	"context"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// changeState drains a failure domain or a backend server, or returns it to
// service.
func (c *command) changeState(ctx context.Context, names []string, drained bool) error {
	if err := requireNames(names, 1, "give the name of a failure domain or backend server"); err != nil {
		return err
	}
	change, err := c.resolveTarget(ctx, names[0])
	if err != nil {
		return err
	}
	change.Drained = drained
	plan, path, err := c.createPlan(ctx, &peer.PlanRequest{Changes: []*peer.StateChange{change}})
	if err != nil || !c.options.confirm || len(plan.Changes) == 0 {
		return err
	}
	// The file may have been saved by an earlier run; its operation id is used.
	if plan, err = readPlan(path); err != nil {
		return err
	}
	return c.confirmPlan(ctx, plan)
}

// resolveTarget determines whether a name is that of a failure domain or of a
// backend server.
func (c *command) resolveTarget(ctx context.Context, name string) (*peer.StateChange, error) {
	switch c.options.kind {
	case "failure_domain":
		return &peer.StateChange{FailureDomain: name}, nil
	case "backend_server":
		return &peer.StateChange{BackendServer: name}, nil
	case "":
	default:
		return nil, errors.Wrapf(errUsage, "-kind is %q, want failure_domain or backend_server", c.options.kind)
	}
	st, err := c.api.Status(ctx, &peer.StatusRequest{})
	if err != nil {
		return nil, err
	}
	isDomain, isServer := findName(st, name)
	switch {
	case isDomain && isServer:
		return nil, fault.New(fault.BadRequest, "%q is both a failure domain and a backend server; select one with -kind", name)
	case isDomain:
		return &peer.StateChange{FailureDomain: name}, nil
	case isServer:
		return &peer.StateChange{BackendServer: name}, nil
	}
	return nil, fault.New(fault.NotFound, "%q is neither a failure domain nor a backend server that control knows", name)
}

func findName(st *peer.StatusResponse, name string) (isDomain, isServer bool) {
	if in, err := intent.Parse(st.Intent); err == nil {
		isDomain = slices.ContainsFunc(in.FailureDomains, func(d intent.FailureDomain) bool { return d.Name == name })
		isServer = slices.ContainsFunc(in.BackendServers, func(b intent.BackendServer) bool { return b.Name == name })
	}
	for _, node := range st.Nodes {
		for _, b := range node.BackendServers {
			isServer = isServer || b.Name == name
		}
	}
	return isDomain, isServer
}

func (c *command) status(ctx context.Context, names []string) error {
	if err := requireNames(names, 0, "status takes no names"); err != nil {
		return err
	}
	res, err := c.api.Status(ctx, &peer.StatusRequest{})
	if err != nil {
		return err
	}
	out := newStatus(res)
	if c.options.json {
		return writeJSON(c.stdout, out)
	}
	return writeStatus(c.stdout, out)
}

func (c *command) members(ctx context.Context, names []string) error {
	res, err := c.changeMembers(ctx, names)
	if err != nil {
		return err
	}
	out := newMembers(res)
	if c.options.json {
		return writeJSON(c.stdout, out)
	}
	return writeMembers(c.stdout, out)
}

func (c *command) changeMembers(ctx context.Context, names []string) (*peer.MembersResponse, error) {
	if len(names) == 0 {
		return c.api.Members(ctx, &peer.MembersRequest{})
	}
	req := &peer.ChangeMemberRequest{Member: &peer.Member{}}
	want := 2
	switch names[0] {
	case "add":
		want = 4
		req.Action = peer.ChangeMemberRequest_ACTION_ADD_LEARNER
	case "promote":
		req.Action = peer.ChangeMemberRequest_ACTION_PROMOTE
	case "remove":
		req.Action = peer.ChangeMemberRequest_ACTION_REMOVE
	default:
		return nil, errors.Wrapf(errUsage, "unknown members command %q, want add, promote or remove", names[0])
	}
	if err := requireNames(names, want, "members add takes ID ADDRESS DOMAIN, promote and remove take ID"); err != nil {
		return nil, err
	}
	id, err := strconv.ParseUint(names[1], 10, 64)
	if err != nil || id == 0 {
		return nil, errors.Wrapf(errUsage, "%q is not a replica id", names[1])
	}
	req.Member.Id = id
	if want == 4 {
		req.Member.Address, req.Member.FailureDomain = names[2], names[3]
	}
	return c.api.ChangeMember(ctx, req)
}
