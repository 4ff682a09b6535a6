package control

import (
	"testing"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
)

// Guards against sending all client accounts with changes that do not affect
// them, and against an entry or agent that gets the wrong part of a configuration.
func TestConfigFor(t *testing.T) {
	current := registry.CurrentIntent{Revision: 7, Canonical: []byte("whole"), CanonicalForAgents: []byte("part"), AccountsDigest: []byte("one")}
	tests := map[string]struct {
		role   peer.Role
		digest string
		want   string
		same   bool
	}{
		"agent":                     {peer.Role_ROLE_RUNNER, "", "part", false},
		"entry without accounts":    {peer.Role_ROLE_ENTRY, "", "whole", false},
		"entry with other accounts": {peer.Role_ROLE_ENTRY, "two", "whole", false},
		"entry with these accounts": {peer.Role_ROLE_ENTRY, "one", "part", true},
		"agent that sends a digest": {peer.Role_ROLE_RUNNER, "one", "part", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := configFor(&peer.RenewRequest{Node: &peer.Node{Role: test.role}, ClientAccountsDigest: []byte(test.digest)}, current)
			if string(got.Intent) != test.want || got.SameClientAccounts != test.same || got.Revision != 7 {
				t.Errorf("got %v", got)
			}
		})
	}
}
