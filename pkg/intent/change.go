package intent

import (
	"slices"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// WithFailureDomain returns a copy in which a failure domain has the state.
// The error is of kind NotFound if the intent does not list it.
func (in Intent) WithFailureDomain(name string, state State) (Intent, error) {
	in.FailureDomains = slices.Clone(in.FailureDomains)
	for i := range in.FailureDomains {
		if in.FailureDomains[i].Name == name {
			in.FailureDomains[i].State = state
			return in, nil
		}
	}
	return Intent{}, fault.New(fault.NotFound, "failure domain %q is not in the intent", name)
}

// WithBackendServer returns a copy in which a backend server has the state. An
// active one is not listed, as that is the state of those that are not.
func (in Intent) WithBackendServer(name string, state State) (Intent, error) {
	if !IsValidName(name) {
		return Intent{}, fault.New(fault.BadRequest, "%q is no name of a backend server", name)
	}
	in.BackendServers = slices.DeleteFunc(slices.Clone(in.BackendServers), func(b BackendServer) bool { return b.Name == name })
	if state != Active {
		in.BackendServers = append(in.BackendServers, BackendServer{Name: name, State: state})
	}
	return in, nil
}
