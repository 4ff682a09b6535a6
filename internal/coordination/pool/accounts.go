package pool

// maxAccounts bounds the client accounts that are remembered for one service and
// priority. Those that have had no more than their share need no memory.
const maxAccounts = 4096

// accountShares gives client accounts equal shares of the work of one service and
// priority, by start-time fair queueing: the requests of an account have tags that are
// as far apart as their work, and the request with the lowest tag goes first. An
// account with nothing to send leaves its share to the others and gains no claim.
//
// Each entry shares out what it gets. Callers are spread over all entries, so that
// the shares of the entries add up to those of the accounts.
type accountShares struct {
	// virtual is the highest tag of the requests that have been started.
	virtual float64
	// next is the tag of the next request of each account.
	next map[string]float64
}

// tag returns the tag of a new request of an account.
func (s *accountShares) tag(account string) float64 { return max(s.virtual, s.next[account]) }

// charge adds the work of a request to what its account has been given.
func (s *accountShares) charge(account string, tag, work float64) {
	if s.next == nil {
		s.next = map[string]float64{}
	}
	if _, known := s.next[account]; !known && len(s.next) >= maxAccounts {
		s.prune()
		if len(s.next) >= maxAccounts {
			// The account counts as one that has had nothing.
			return
		}
	}
	s.next[account] = tag + work
}

// refund takes the work of a request back that has not been started.
func (s *accountShares) refund(account string, work float64) {
	if next, known := s.next[account]; known {
		s.next[account] = max(s.virtual, next-work)
	}
}

// started advances the virtual time to the tag of a request.
func (s *accountShares) started(tag float64) { s.virtual = max(s.virtual, tag) }

// prune removes the accounts that have had no more than their share.
func (s *accountShares) prune() {
	for account, next := range s.next {
		if next <= s.virtual {
			delete(s.next, account)
		}
	}
}
