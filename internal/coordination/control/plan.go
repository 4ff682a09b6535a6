package control

import (
	"fmt"
	"slices"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// announcedServer is a backend server with the failure domain of its host.
type announcedServer struct {
	domain string
	server *peer.BackendServer
}

// maxChanges bounds the state changes of one plan.
const maxChanges = 1000

// applyChanges returns the intent with failure domains and backend servers
// drained or returned.
func applyChanges(in intent.Intent, changes []*peer.StateChange) (intent.Intent, error) {
	if len(changes) > maxChanges {
		return in, fault.New(fault.BadRequest, "a plan has %d changes, at most %d are accepted", len(changes), maxChanges)
	}
	var err error
	for _, c := range changes {
		state := intent.Active
		if c.GetDrained() {
			state = intent.Drained
		}
		switch domain, server := c.GetFailureDomain(), c.GetBackendServer(); {
		case domain != "" && server == "":
			in, err = in.WithFailureDomain(domain, state)
		case server != "" && domain == "":
			in, err = in.WithBackendServer(server, state)
		default:
			err = fault.New(fault.BadRequest, "a change must name either a failure domain or a backend server")
		}
		if err != nil {
			return in, err
		}
	}
	return in, nil
}

// plannedChanges returns the changes from one intent to the next with what they
// affect.
func plannedChanges(old, next intent.Intent, servers []announcedServer) []*peer.PlannedChange {
	var out []*peer.PlannedChange
	capacity := capacityLeft(next, servers)
	for _, c := range intent.Compare(old, next) {
		out = append(out, plannedChange(c, old, next, servers, capacity))
	}
	return out
}

func plannedChange(c intent.Change, old, next intent.Intent, servers []announcedServer, capacity map[string]uint64) *peer.PlannedChange {
	p := &peer.PlannedChange{Description: c.String(), CapacityLeft: map[string]uint64{}}
	for _, a := range servers {
		if !affects(c, a) {
			continue
		}
		p.Services = insertName(p.Services, a.server.Service)
		p.FailureDomains = insertName(p.FailureDomains, a.domain)
		p.BackendServers = insertName(p.BackendServers, a.server.Name)
		p.RequestsInFlight += uint64(a.server.GetLoad().GetRunning())
	}
	addConfigured(p, c, old)
	addConfigured(p, c, next)
	for _, service := range p.Services {
		p.CapacityLeft[service] = capacity[service]
	}
	p.Warning = warning(c, p, next)
	return p
}

// addConfigured adds the names that the intent itself associates with a change,
// so that a plan is complete also where no backend server is announced.
func addConfigured(p *peer.PlannedChange, c intent.Change, in intent.Intent) {
	switch c.Section {
	case intent.SectionFailureDomain:
		p.FailureDomains = insertName(p.FailureDomains, c.Name)
		for _, s := range in.Services {
			if s.AllowsFailureDomain(c.Name) {
				p.Services = insertName(p.Services, s.Name)
			}
		}
	case intent.SectionService:
		p.Services = insertName(p.Services, c.Name)
		if s, ok := in.Service(c.Name); ok {
			for _, d := range s.FailureDomains {
				p.FailureDomains = insertName(p.FailureDomains, d)
			}
		}
	case intent.SectionBackendServer:
		p.BackendServers = insertName(p.BackendServers, c.Name)
	}
}

// affects reports whether a change affects a backend server.
func affects(c intent.Change, a announcedServer) bool {
	switch c.Section {
	case intent.SectionRegion:
		return true
	case intent.SectionFailureDomain:
		return c.Name == a.domain
	case intent.SectionService:
		return c.Name == a.server.Service
	case intent.SectionBackendServer:
		return c.Name == a.server.Name
	}
	return false
}

// capacityLeft returns the concurrency of each service that remains under an
// intent.
func capacityLeft(in intent.Intent, servers []announcedServer) map[string]uint64 {
	capacity := map[string]uint64{}
	for _, a := range servers {
		s, ok := in.Service(a.server.Service)
		if !ok || !s.AllowsFailureDomain(a.domain) || a.server.Leaving || in.IsDrained(a.domain, a.server.Name) {
			continue
		}
		capacity[s.Name] += uint64(a.server.MaxConcurrent)
	}
	return capacity
}

// warning describes what the change would stop, or returns "" if it stops nothing.
func warning(c intent.Change, p *peer.PlannedChange, next intent.Intent) string {
	if c.Section == intent.SectionClientAccount && c.Action == intent.Removed {
		return fmt.Sprintf("requests of client account %q will be refused", c.Name)
	}
	for _, service := range p.Services {
		if _, ok := next.Service(service); !ok {
			return fmt.Sprintf("service %q will be removed", service)
		}
		if p.CapacityLeft[service] == 0 {
			return fmt.Sprintf("service %q has no capacity left among the announced backend servers", service)
		}
	}
	return ""
}

// insertName inserts a name into a sorted list without duplicates.
func insertName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found || name == "" {
		return names
	}
	return slices.Insert(names, i, name)
}
