package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// The types below define the JSON output.

type planChange struct {
	Description      string            `json:"description"`
	Services         []string          `json:"services"`
	FailureDomains   []string          `json:"failure_domains"`
	BackendServers   []string          `json:"backend_servers"`
	RequestsInFlight uint64            `json:"requests_in_flight"`
	CapacityLeft     map[string]uint64 `json:"capacity_left"`
	Warning          string            `json:"warning,omitempty"`
}

type confirmation struct {
	Revision       uint64 `json:"revision"`
	RepeatedAnswer bool   `json:"repeated_answer"`
	InForce        bool   `json:"in_force"`
	InForceAfterMS int64  `json:"in_force_after_ms,omitempty"`
}

type status struct {
	Revision          uint64         `json:"revision"`
	InForce           bool           `json:"in_force"`
	Leader            string         `json:"leader"`
	Term              uint64         `json:"term"`
	CommitIndex       uint64         `json:"commit_index"`
	LedgerKeys        uint64         `json:"ledger_keys"`
	LedgerAnswerBytes uint64         `json:"ledger_answer_bytes"`
	FailureDomains    []domainStatus `json:"failure_domains"`
	Nodes             []nodeStatus   `json:"nodes"`
}

type domainStatus struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

type nodeStatus struct {
	ID              string         `json:"id"`
	Role            string         `json:"role"`
	FailureDomain   string         `json:"failure_domain"`
	Address         string         `json:"address"`
	RunningRevision uint64         `json:"running_revision"`
	LeaseLeftMS     uint64         `json:"lease_left_ms"`
	BackendServers  []serverStatus `json:"backend_servers"`
}

type serverStatus struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Temperature string `json:"temperature"`
	State       string `json:"state"`
	Running     uint32 `json:"running"`
	Limit       uint32 `json:"limit"`
	Leaving     bool   `json:"leaving"`
}

type members struct {
	Leader  uint64   `json:"leader"`
	Members []member `json:"members"`
}

type member struct {
	ID            uint64 `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Voter         bool   `json:"voter"`
}

func planChanges(changes []*peer.PlannedChange) []planChange {
	out := make([]planChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, planChange{
			Description: c.Description, Services: c.Services, FailureDomains: c.FailureDomains,
			BackendServers: c.BackendServers, RequestsInFlight: c.RequestsInFlight,
			CapacityLeft: c.CapacityLeft, Warning: c.Warning,
		})
	}
	return out
}

func newStatus(res *peer.StatusResponse) status {
	out := status{
		Revision: res.Revision, InForce: res.InForce, Leader: res.Leader, Term: res.Term, CommitIndex: res.CommitIndex,
		LedgerKeys: res.LedgerKeys, LedgerAnswerBytes: res.LedgerAnswerBytes,
	}
	// Before the first revision the intent is empty and cannot be parsed;
	// everything is reported as drained then.
	in, _ := intent.Parse(res.Intent)
	for _, d := range in.FailureDomains {
		out.FailureDomains = append(out.FailureDomains, domainStatus{Name: d.Name, State: d.State.String()})
	}
	for _, n := range res.Nodes {
		out.Nodes = append(out.Nodes, newNodeStatus(in, n))
	}
	return out
}

func newNodeStatus(in intent.Intent, n *peer.NodeStatus) nodeStatus {
	out := nodeStatus{
		ID: n.GetNode().GetId(), Role: enumName(n.GetNode().GetRole().String()), FailureDomain: n.GetNode().GetFailureDomain(),
		Address: n.GetNode().GetAddress(), RunningRevision: n.RunningRevision, LeaseLeftMS: n.LeaseLeftMs,
	}
	for _, b := range n.BackendServers {
		state := intent.Active
		if in.IsDrained(out.FailureDomain, b.Name) {
			state = intent.Drained
		}
		out.BackendServers = append(out.BackendServers, serverStatus{
			Name: b.Name, Service: b.Service, Temperature: enumName(b.Temperature.String()), State: state.String(),
			Running: b.GetLoad().GetRunning(), Limit: b.GetLoad().GetLimit(), Leaving: b.Leaving,
		})
	}
	return out
}

// enumName returns the name of a protobuf enum value without its prefix, such as
// entry for ROLE_ENTRY.
func enumName(name string) string {
	_, rest, found := strings.Cut(name, "_")
	if !found {
		return strings.ToLower(name)
	}
	return strings.ToLower(rest)
}

func newMembers(res *peer.MembersResponse) members {
	out := members{Leader: res.Leader}
	for _, m := range res.Members {
		out.Members = append(out.Members, member{ID: m.Id, Address: m.Address, FailureDomain: m.FailureDomain, Voter: m.Voter})
	}
	slices.SortFunc(out.Members, func(a, b member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	return t.Flush()
}

func writeChanges(w io.Writer, changes []planChange) error {
	rows := [][]string{{"CHANGE", "SERVICES", "FAILURE DOMAINS", "BACKEND SERVERS", "IN FLIGHT", "CAPACITY LEFT"}}
	for _, c := range changes {
		rows = append(rows, []string{
			c.Description, joinNames(c.Services), joinNames(c.FailureDomains), joinNames(c.BackendServers),
			fmt.Sprint(c.RequestsInFlight), formatCapacity(c.CapacityLeft),
		})
		if c.Warning != "" {
			rows = append(rows, []string{"  warning: " + c.Warning})
		}
	}
	return writeTable(w, rows)
}

// maxListed bounds the names in one cell of a table.
const maxListed = 6

func joinNames(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	if len(names) > maxListed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], " "), len(names)-maxListed)
	}
	return strings.Join(names, " ")
}

func formatCapacity(left map[string]uint64) string {
	var parts []string
	for _, service := range slices.Sorted(maps.Keys(left)) {
		parts = append(parts, fmt.Sprintf("%s=%d", service, left[service]))
	}
	return joinNames(parts)
}

func writeStatus(w io.Writer, s status) error {
	inForce := "not in force everywhere yet"
	if s.InForce {
		inForce = "in force"
	}
	fmt.Fprintf(w, "revision %d, %s\nleader %s, term %d, commit index %d\nledger %d keys, %d bytes of answers\n\n",
		s.Revision, inForce, s.Leader, s.Term, s.CommitIndex, s.LedgerKeys, s.LedgerAnswerBytes)
	domains := [][]string{{"FAILURE DOMAIN", "STATE"}}
	for _, d := range s.FailureDomains {
		domains = append(domains, []string{d.Name, d.State})
	}
	if err := writeTable(w, domains); err != nil {
		return err
	}
	fmt.Fprintln(w)
	nodes := [][]string{{"NODE", "ROLE", "FAILURE DOMAIN", "REVISION", "LEASE", "BACKEND SERVER", "SERVICE", "STATE", "TEMPERATURE", "LOAD"}}
	for _, n := range s.Nodes {
		row := []string{n.ID, n.Role, n.FailureDomain, fmt.Sprint(n.RunningRevision), fmt.Sprintf("%d ms", n.LeaseLeftMS)}
		if len(n.BackendServers) == 0 {
			nodes = append(nodes, row)
		}
		for _, b := range n.BackendServers {
			state := b.State
			if b.Leaving {
				state += ", leaving"
			}
			nodes = append(nodes, append(slices.Clone(row), b.Name, b.Service, state, b.Temperature, fmt.Sprintf("%d/%d", b.Running, b.Limit)))
		}
	}
	return writeTable(w, nodes)
}

func writeMembers(w io.Writer, m members) error {
	rows := [][]string{{"ID", "ADDRESS", "FAILURE DOMAIN", "VOTES", "LEADS"}}
	for _, x := range m.Members {
		rows = append(rows, []string{fmt.Sprint(x.ID), x.Address, x.FailureDomain, yesNo(x.Voter), yesNo(x.ID == m.Leader)})
	}
	return writeTable(w, rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
