package controlapi

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// fakeReplica returns the configured answers and counts the calls.
type fakeReplica struct {
	peer.Control
	peer.Operator
	mu      sync.Mutex
	address string
	errs    []error // answers to the next calls
	last    error   // answer after those in errs
	cutOff  bool    // accepts calls and never answers
	calls   int
}

func (f *fakeReplica) answer(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	err := f.last
	if len(f.errs) > 0 {
		err, f.errs = f.errs[0], f.errs[1:]
	}
	cutOff := f.cutOff
	f.mu.Unlock()
	if cutOff {
		<-ctx.Done()
		return ctx.Err()
	}
	return peer.ToTwirp(err)
}

func (f *fakeReplica) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeReplica) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return &peer.ClaimResponse{State: peer.ClaimState_CLAIM_STATE_GRANTED, Attempt: req.Attempt}, f.answer(ctx)
}

func (f *fakeReplica) Lookup(ctx context.Context, _ *peer.LookupRequest) (*peer.ClaimResponse, error) {
	return &peer.ClaimResponse{}, f.answer(ctx)
}

func (f *fakeReplica) Confirm(ctx context.Context, _ *peer.ConfirmRequest) (*peer.ConfirmResponse, error) {
	return &peer.ConfirmResponse{Revision: 1}, f.answer(ctx)
}

// startReplicas serves n replicas on loopback and returns a client of them.
func startReplicas(t *testing.T, n int) ([]*fakeReplica, *Client) {
	var list []*fakeReplica
	var addresses []string
	for range n {
		f := &fakeReplica{}
		mux := http.NewServeMux()
		mux.Handle(peer.ControlPathPrefix, peer.NewControlServer(f))
		mux.Handle(peer.OperatorPathPrefix, peer.NewOperatorServer(f))
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		f.address = s.Listener.Addr().String()
		list, addresses = append(list, f), append(addresses, f.address)
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return list, New(addresses, &http.Client{Transport: transport})
}

func notLeader(address string) error {
	err := fault.New(fault.NotLeader, "another replica is leader")
	err.Leader = address
	return err
}

// Guards against calls that search for the leader again each time, or that
// never find a leader whose address is not configured.
func TestFollowsLeader(t *testing.T) {
	list, _ := startReplicas(t, 3)
	c := New([]string{list[0].address}, http.DefaultClient)
	list[0].last = notLeader(list[2].address)
	for range 3 {
		if _, err := c.Claim(t.Context(), &peer.ClaimRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if list[0].count() != 1 || list[2].count() != 3 || c.Leader() != list[2].address {
		t.Errorf("calls %d, %d and %d, leader %s", list[0].count(), list[1].count(), list[2].count(), c.Leader())
	}
}

// Guards against a call that is reported as not run although one try may have
// been executed, and against a missing resend.
func TestOutcome(t *testing.T) {
	lost := fault.New(fault.OutcomeUnknown, "lost")
	noQuorum := fault.New(fault.NoQuorum, "no quorum")
	conflict := fault.New(fault.Conflict, "another operation was first")
	denied := fault.New(fault.Unauthenticated, "wrong token")
	tests := map[string]struct {
		errs  []error
		last  error
		want  fault.Kind
		ran   fault.Ran
		ok    bool
		reads bool
	}{
		"immediate answer":                 {ok: true},
		"lost, then answered":              {errs: []error{lost}, ok: true},
		"no quorum, then a leader":         {errs: []error{noQuorum, noQuorum}, ok: true},
		"conflict":                         {last: conflict, want: fault.Conflict, ran: fault.RanNo},
		"lost, then conflict":              {errs: []error{lost}, last: conflict, want: fault.Conflict, ran: fault.RanNo},
		"no quorum on any try":             {last: noQuorum, want: fault.NoQuorum, ran: fault.RanNo},
		"lost, then no quorum":             {errs: []error{lost}, last: noQuorum, want: fault.OutcomeUnknown, ran: fault.RanUnknown},
		"lost, then the token is rejected": {errs: []error{lost}, last: denied, want: fault.OutcomeUnknown, ran: fault.RanUnknown},
		"lost read":                        {errs: []error{lost}, last: noQuorum, want: fault.NoQuorum, ran: fault.RanNo, reads: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list, c := startReplicas(t, 1)
			list[0].errs, list[0].last = test.errs, test.last
			ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
			defer cancel()
			var err error
			if test.reads {
				_, err = c.Lookup(ctx, &peer.LookupRequest{})
			} else {
				_, err = c.Confirm(ctx, &peer.ConfirmRequest{})
			}
			if test.ok {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if f := fault.From(err); f.Kind != test.want || f.Ran != test.ran {
				t.Errorf("got %v with ran %v, want %v with %v", f, f.Ran, test.want, test.ran)
			}
		})
	}
}

// Guards against a replica behind a silent network partition that delays every
// call.
func TestCutOff(t *testing.T) {
	list, c := startReplicas(t, 3)
	list[0].cutOff = true
	list[1].last = fault.New(fault.NoQuorum, "no leader is known")
	start := time.Now()
	for range 5 {
		if _, err := c.Claim(t.Context(), &peer.ClaimRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > 2*tryTimeout {
		t.Errorf("five calls took %v, one timeout is %v", elapsed, tryTimeout)
	}
	if list[0].count() != 1 {
		t.Errorf("the unresponsive replica was tried %d times", list[0].count())
	}
}

// Guards against outcome_unknown for a call that was not sent.
func TestNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = New([]string{l.Addr().String()}, &http.Client{Transport: &http.Transport{}}).Confirm(ctx, &peer.ConfirmRequest{})
	if f := fault.From(err); f.Kind != fault.Unavailable || f.Ran != fault.RanNo {
		t.Errorf("got %v with ran %v", f, f.Ran)
	}
	if _, err := New(nil, http.DefaultClient).Claim(ctx, &peer.ClaimRequest{}); !fault.Is(err, fault.Unavailable) {
		t.Errorf("without addresses: %v", err)
	}
}
