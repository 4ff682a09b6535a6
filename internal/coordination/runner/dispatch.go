package runner

import (
	"bufio"
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/admission"
	"oleanderrack.example/oleanderrack/internal/coordination/attempt"
	"oleanderrack.example/oleanderrack/internal/protocol/engine"
	"oleanderrack.example/oleanderrack/internal/protocol/frame"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

const (
	// dispatchReadTimeout bounds the time to read a dispatch.
	dispatchReadTimeout = 10 * time.Second
	// maxDeadline bounds the time of an attempt.
	maxDeadline = time.Hour
	// prefixBytes is the length of the prompt prefix that identifies a prompt
	// for the cache check. Engines cache prefixes in blocks, so a shorter
	// prompt gives no evidence.
	prefixBytes = 1 << 10
)

// dispatchPath is the path to which entries send attempts.
const dispatchPath = "/peer/dispatch"

// job is one attempt that the agent runs.
type job struct {
	role       *Role
	req        *peer.DispatchRequest
	key        attempt.Key
	backend    *backend
	info       engine.Announcement
	options    engine.Options
	repeatable bool
	answer     *answer
	// ctx ends at the deadline, on a cancellation, or when the caller
	// disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// segments counts the requests to the engine for this attempt: one, and one
	// more for each time that its stream is resumed.
	segments int
}

func (r *Role) dispatch(c echo.Context) error {
	w := c.Response()
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(dispatchReadTimeout))
	req := &peer.DispatchRequest{}
	if err := frame.ReadMessage(bufio.NewReader(c.Request().Body), req); err != nil || req.Attempt == nil {
		r.countRefusal(fault.BadRequest)
		return c.JSON(http.StatusBadRequest, fault.New(fault.BadRequest, "dispatch cannot be decoded").Body(""))
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	w.Header().Set(echo.HeaderContentType, "application/octet-stream")
	r.serve(w, c.Request().Context(), req)
	return nil
}

// serve accepts an attempt, runs it and writes its answer.
func (r *Role) serve(w http.ResponseWriter, callerCtx context.Context, req *peer.DispatchRequest) {
	j := &job{role: r, req: req, key: keyOf(req.Attempt), repeatable: r.isRepeatable(req)}
	b := r.backends.get(req.Attempt.BackendServer)
	j.answer = newAnswer(w, req.Attempt, func() *peer.Load {
		if b == nil {
			return &peer.Load{Window: r.attempts.window()}
		}
		return b.currentLoad(r.attempts.window())
	})
	ctx, cancel := context.WithTimeout(callerCtx, deadline(req))
	defer cancel()
	j.ctx, j.cancel = ctx, cancel
	if limit, ok := ctx.Deadline(); ok {
		// A caller that reads nothing must not block the attempt forever.
		http.NewResponseController(w).SetWriteDeadline(limit.Add(writeGrace))
	}
	if err := r.attempts.accept(req, j.repeatable, cancel); err != nil {
		r.countRefusal(err.Kind)
		j.answer.fail(err)
		return
	}
	if !r.inFlight.enter() {
		j.refuse(fault.New(fault.Draining, "agent is shutting down"))
		return
	}
	defer r.inFlight.leave()
	sl, err := j.admit(b)
	if err != nil {
		j.refuse(err)
		return
	}
	b.addPrompt(req)
	j.answer.prompts = func() *peer.RecentPrompts { return b.promptNews(req) }
	j.run(sl)
}

// writeGrace is the time to write the last frames after the deadline.
const writeGrace = 5 * time.Second

func deadline(req *peer.DispatchRequest) time.Duration {
	ms := min(req.DeadlineMs, uint64(maxDeadline/time.Millisecond))
	if ms == 0 {
		ms = intent.DefaultDeadlineMS
	}
	return time.Duration(ms) * time.Millisecond
}

// isRepeatable reports whether both the entry and the agent's own intent allow
// the request to be repeated.
func (r *Role) isRepeatable(req *peer.DispatchRequest) bool {
	service, ok := r.session.View().Intent.Service(req.Service)
	path, _, _ := strings.Cut(req.Path, "?")
	return ok && req.Repeatable && service.IsRepeatable(req.Method, path)
}

// refuse ends the attempt with a refusal, which guarantees that it does not
// run.
func (j *job) refuse(err error) {
	e := j.role.attempts.refuse(j.key, fault.From(err))
	j.role.countRefusal(e.Kind)
	j.answer.fail(e)
}

// check returns an error if the agent may not start new work on the backend
// server. Otherwise it sets info to the newest announcement.
func (j *job) check() error {
	view := j.role.session.View()
	if view.LeaseErr != nil {
		return view.LeaseErr
	}
	info, announced := j.backend.snapshot()
	if !announced {
		return fault.New(fault.Unavailable, "backend server %q has stopped announcing itself", j.backend.name)
	}
	if info.Leaving {
		return fault.New(fault.Draining, "backend server %q is leaving", info.Name)
	}
	service, ok := view.Intent.Service(j.req.Service)
	if !ok && j.isEntryAhead(view.Revision) {
		return fault.New(fault.Unavailable, "the agent of %q has not applied revision %d yet", info.Name, j.req.Revision).WithRetryAfter(revisionRetryAfter)
	}
	if !ok || info.Service != j.req.Service {
		return fault.New(fault.UnknownService, "backend server %q does not serve %q", info.Name, j.req.Service)
	}
	domain := j.role.settings.FailureDomain
	if view.Intent.IsDrained(domain, info.Name) || !service.AllowsFailureDomain(domain) {
		return fault.New(fault.Draining, "backend server %q is drained", info.Name)
	}
	if mustLoad(info, view.Intent) {
		return fault.New(fault.Draining, "backend server %q is about to load another model", info.Name).WithRetryAfter(time.Second)
	}
	j.info = info
	return nil
}

// revisionRetryAfter is the retry delay while the agent runs an older revision.
// The agent renews twice per second.
const revisionRetryAfter = 500 * time.Millisecond

// isEntryAhead reports whether the entry runs a newer revision than the agent,
// whose intent may then lack the service. Revisions of different regions cannot
// be compared, except that 0 is older than all.
func (j *job) isEntryAhead(revision uint64) bool {
	sameRegion := j.req.GetEntry().GetRegion() == j.role.settings.Region
	return j.req.Revision > revision && (sameRegion || revision == 0)
}

// admit checks the attempt and gets a slot for it.
func (j *job) admit(b *backend) (*slot, error) {
	if b == nil {
		return nil, fault.New(fault.Unavailable, "backend server %q is not on this host", j.req.Attempt.BackendServer)
	}
	j.backend = b
	if err := j.check(); err != nil {
		return nil, err
	}
	if err := j.validate(); err != nil {
		return nil, err
	}
	if j.role.bufferBudget.isFull() {
		return nil, fault.New(fault.BufferLimit, "agent has reached its buffer limit for slow readers").WithRetryAfter(time.Second)
	}
	sl, refusal := b.arrive(j.arrival())
	if refusal != nil && refusal.Transient {
		return j.waitTransient(refusal)
	}
	if refusal != nil {
		return nil, j.refusalFault(refusal)
	}
	return sl, nil
}

// transientWait is how long an attempt waits for the steps that show whether a
// backend server is still warm: a prefill and three steps.
const transientWait = 250 * time.Millisecond

// waitTransient waits for a slot after a transient refusal. Without it, load
// that returns to an idle backend server would be refused at once.
func (j *job) waitTransient(first *admission.Refuse) (*slot, error) {
	a := j.arrival()
	a.Wait = true
	sl, refusal := j.backend.arrive(a)
	if refusal != nil {
		return nil, j.refusalFault(refusal)
	}
	timer := time.NewTimer(transientWait)
	defer timer.Stop()
	select {
	case <-sl.admitted:
		return sl, nil
	case r := <-sl.refused:
		return nil, j.refusalFault(&r)
	case <-timer.C:
	case <-j.ctx.Done():
	}
	sl.cancelWait()
	return nil, j.refusalFault(first)
}

func (j *job) validate() error {
	if !strings.HasPrefix(j.req.Path, "/") || !isMethod(j.req.Method) {
		return fault.New(fault.BadRequest, "method or path is malformed")
	}
	if !j.isModel() {
		return nil
	}
	options, err := engine.ParseOptions(j.req.Body)
	if err != nil {
		return err
	}
	j.options = options
	if j.req.MaxTokens == 0 {
		j.req.MaxTokens = options.MaxTokens
	}
	if j.req.MaxTokens == 0 {
		j.req.MaxTokens = j.defaultMaxTokens()
	}
	if j.req.MaxTokens > math.MaxUint32 {
		return fault.New(fault.BadRequest, "max_tokens exceeds %d", uint32(math.MaxUint32))
	}
	if j.req.Resume.GetTokens() > 0 && !(j.info.Resumes && j.req.Stream && options.Answers == 1) {
		return fault.New(fault.Unavailable, "backend server %q cannot resume an answer", j.info.Name)
	}
	return nil
}

func (j *job) defaultMaxTokens() uint64 {
	if service, ok := j.role.session.View().Intent.Service(j.req.Service); ok && service.MaxTokens > 0 {
		return service.MaxTokens
	}
	return intent.DefaultMaxTokens
}

// isMethod reports whether method consists of 1 to 16 upper-case letters.
func isMethod(method string) bool {
	if method == "" || len(method) > 16 {
		return false
	}
	return strings.IndexFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) < 0
}

func (j *job) isModel() bool { return j.info.Kind == engine.KindModel }

// canResume reports whether the engine can continue the answer after a
// cancellation.
func (j *job) canResume() bool {
	return j.info.Resumes && j.req.Stream && j.options.Answers == 1
}

// arrival returns the admission input for the attempt.
func (j *job) arrival() admission.Arrive {
	if !j.isModel() {
		return admission.Arrive{Priority: j.req.Priority}
	}
	a := admission.Arrive{
		PromptBytes: j.req.PromptBytes,
		MaxTokens:   j.req.MaxTokens * j.options.Answers,
		Resumed:     j.req.Resume.GetTokens(),
		Preemptible: j.canResume(),
		Priority:    j.req.Priority,
	}
	if a.PromptBytes == 0 {
		a.PromptBytes = uint64(len(j.req.Body))
	}
	if len(j.options.Prompt) >= prefixBytes {
		a.Prefix = xxhash.Sum64(j.options.Prompt[:prefixBytes])
	}
	return a
}

func (j *job) refusalFault(r *admission.Refuse) error {
	j.role.scope.Tagged(map[string]string{"reason": r.Reason.String()}).Counter("admission_refusals").Inc(1)
	if r.Reason == admission.TooLarge {
		return fault.New(fault.TooLarge, "prompt and answer do not fit into the memory of %q", j.backend.name)
	}
	return fault.New(fault.Overloaded, "backend server %q has no room (%v)", j.backend.name, r.Reason).WithRetryAfter(r.RetryAfter)
}

// begin makes the last checks before the call to the backend server.
func (j *job) begin() error {
	if err := j.check(); err != nil {
		return j.role.attempts.refuse(j.key, fault.From(err))
	}
	if j.ctx.Err() != nil {
		return j.role.attempts.refuse(j.key, fault.From(engine.ContextFault(j.ctx)))
	}
	if err := j.role.attempts.begin(j.key); err != nil {
		return err
	}
	return nil
}

// run sends the attempt to the backend server and writes its answer.
func (j *job) run(sl *slot) {
	if err := j.begin(); err != nil {
		sl.release(false)
		j.role.countRefusal(fault.From(err).Kind)
		j.answer.fail(err)
		return
	}
	switch {
	case !j.isModel():
		j.runPlain(sl)
	case j.req.Stream:
		j.runStream(sl)
	default:
		j.runNonStreaming(sl)
	}
}
