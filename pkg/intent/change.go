package intent

import (
	"slices"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// WithFailureDomain returns a copy with the state of a failure domain changed.
// The error is of kind NotFound if the intent does not list the failure domain.
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

// WithBackendServer returns a copy with the state of a backend server changed.
// Active ones are not listed, since unlisted backend servers are active. The
// error is of kind BadRequest if the name is not valid.
func (in Intent) WithBackendServer(name string, state State) (Intent, error) {
	if !IsValidName(name) {
		return Intent{}, fault.New(fault.BadRequest, "%q is not a valid backend server name", name)
	}
	in.BackendServers = slices.DeleteFunc(slices.Clone(in.BackendServers), func(b BackendServer) bool { return b.Name == name })
	if state != Active {
		in.BackendServers = append(in.BackendServers, BackendServer{Name: name, State: state})
	}
	return in, nil
}
