package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/http1"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

const (
	dialTimeout = time.Second
	// cancelTimeout bounds one Cancel call to an agent, maxCancelCalls the
	// number of calls for one attempt.
	cancelTimeout  = time.Second
	maxCancelCalls = 2
)

// agentClient calls agents.
type agentClient struct {
	client *http.Client
}

// NewTransport returns a transport that opens a connection for each request. A
// transport that reuses connections would resend a request when a reused
// connection breaks, and could read the late answer to an earlier request.
func NewTransport() *http1.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
	}
	return http1.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 16 << 10,
	})
}

func newAgentClient(transport http.RoundTripper) *agentClient {
	return &agentClient{client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// onceReader is a body that cannot be rewound. It hides the reader's type,
// because net/http sets GetBody for readers that it recognizes and could then
// send the request again.
type onceReader struct{ r io.Reader }

func (o onceReader) Read(p []byte) (int, error) { return o.r.Read(p) }

// dispatch sends a request and returns the body with the frames of the answer.
// sent is false only if no connection was made, so that no byte can have
// reached the agent.
func (a *agentClient) dispatch(ctx context.Context, address string, req *peer.DispatchRequest) (body io.ReadCloser, sent bool, err error) {
	var message bytes.Buffer
	if err := frame.WriteMessage(&message, req); err != nil {
		return nil, false, err
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/peer/dispatch", onceReader{&message})
	if err != nil {
		return nil, false, errors.Wrap(err, "entry: dispatch")
	}
	out.ContentLength = int64(message.Len())
	out.Header.Set("Content-Type", "application/x-protobuf")
	response, err := a.client.Do(out)
	if err != nil {
		return nil, connected.Load(), errors.Wrap(err, "entry: dispatch")
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, true, fault.New(fault.Unavailable, "the agent answered with status %d", response.StatusCode)
	}
	return response.Body, true, nil
}

// cancel calls Cancel at the agent of an attempt. The returned state is
// unspecified without a usable answer.
func (a *agentClient) cancel(ctx context.Context, attempt *peer.AttemptRef, window uint64, keepRunning bool) (peer.AttemptState, *peer.StoredAnswer, error) {
	client := peer.NewAgentProtobufClient("http://"+attempt.AgentAddress, a.client)
	var last error
	for range maxCancelCalls {
		callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		response, err := client.Cancel(callCtx, &peer.CancelRequest{Attempt: attempt, Window: window, KeepRunning: keepRunning})
		cancel()
		if err != nil {
			last = peer.FromTwirp(err)
			continue
		}
		return checkCancel(attempt, response)
	}
	return peer.AttemptState_ATTEMPT_STATE_UNSPECIFIED, nil, last
}

// checkCancel rejects an answer about another attempt. An agent with another
// incarnation has no record of the attempts of the earlier one, so the state
// that it reports is replaced by forgotten.
func checkCancel(attempt *peer.AttemptRef, r *peer.CancelResponse) (peer.AttemptState, *peer.StoredAnswer, error) {
	if got := r.Attempt; got != nil && (got.RequestId != attempt.RequestId || got.Number != attempt.Number) {
		return peer.AttemptState_ATTEMPT_STATE_UNSPECIFIED, nil,
			fault.New(fault.ChecksumMismatch, "the answer is about another attempt: request %q attempt %d", got.RequestId, got.Number)
	}
	if r.AgentIncarnation != attempt.AgentIncarnation {
		return peer.AttemptState_ATTEMPT_STATE_FORGOTTEN, nil, nil
	}
	return r.State, r.Answer, nil
}
