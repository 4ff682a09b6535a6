package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"

	"oleanderrack.example/oleanderrack/internal/transport/auth"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// maxKeyBytes bounds a bearer key. A longer key is hashed as an empty one and
// rejected.
const maxKeyBytes = 512

// Account holds the name of a client account and the services that it may call.
type Account struct {
	Name     string
	services map[string]bool
}

// mayCall reports whether the account may use a service.
func (a Account) mayCall(service string) bool {
	return len(a.services) == 0 || a.services[service]
}

// Directory finds client accounts by key and services by name. It is built
// once per revision and is immutable.
type Directory struct {
	accounts map[[sha256.Size]byte]Account
	services map[string]intent.Service
	models   map[string]string
	maxBody  int64
}

// NewDirectory returns the directory of an intent.
func NewDirectory(in intent.Intent) *Directory {
	d := &Directory{
		accounts: make(map[[sha256.Size]byte]Account, len(in.ClientAccounts)),
		services: make(map[string]intent.Service, len(in.Services)),
		models:   map[string]string{},
	}
	for _, s := range in.Services {
		if s.MaxBodyBytes == 0 {
			s.MaxBodyBytes = intent.DefaultMaxBodyBytes
		}
		if s.MaxTokens == 0 {
			s.MaxTokens = intent.DefaultMaxTokens
		}
		if s.DeadlineMS == 0 {
			s.DeadlineMS = intent.DefaultDeadlineMS
		}
		d.services[s.Name] = s
		if s.Kind != intent.Model {
			continue
		}
		d.maxBody = max(d.maxBody, s.MaxBodyBytes)
		if _, taken := d.models[s.Model]; s.Model != "" && !taken {
			d.models[s.Model] = s.Name
		}
	}
	for _, a := range in.ClientAccounts {
		d.addAccount(a)
	}
	return d
}

func (d *Directory) addAccount(a intent.ClientAccount) {
	raw, err := hex.DecodeString(a.KeySHA256)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	account := Account{Name: a.Name}
	for _, s := range a.Services {
		if account.services == nil {
			account.services = map[string]bool{}
		}
		account.services[s] = true
	}
	d.accounts[[sha256.Size]byte(raw)] = account
}

// authenticate finds the account by the SHA-256 of its key. The work is the
// same for a known, an unknown and a missing key: one hash and one lookup by
// the hash, whose value an outsider cannot choose.
func (d *Directory) authenticate(r *http.Request) (Account, error) {
	key, ok := auth.Bearer(r)
	if len(key) > maxKeyBytes {
		key, ok = "", false
	}
	account, known := d.accounts[sha256.Sum256([]byte(key))]
	if !ok || !known {
		return Account{}, fault.New(fault.Unauthenticated, "no client account has this key; send the key as a bearer token")
	}
	return account, nil
}

// service finds a service that the account may call.
func (d *Directory) service(account Account, name string, kind intent.Kind) (intent.Service, error) {
	s, ok := d.services[name]
	if !ok && kind == intent.Model {
		s, ok = d.services[d.models[name]]
	}
	if !ok || s.Kind != kind {
		return s, fault.New(fault.UnknownService, "there is no %v service %q", kind, truncate(name, 64))
	}
	if !account.mayCall(s.Name) {
		return s, fault.New(fault.Forbidden, "client account %q may not call %q", account.Name, s.Name)
	}
	return s, nil
}

// modelNames returns the sorted names of the model services that the account may
// call.
func (d *Directory) modelNames(account Account) []string {
	var names []string
	for name, s := range d.services {
		if s.Kind == intent.Model && account.mayCall(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[:n] + "..."
}
