package engine

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Completion is one request to a model engine. Body is the caller's JSON.
type Completion struct {
	Address  string
	Path     string
	ID       string
	Priority int32
	Body     []byte
	// MaxTokens limits the complete answer. It replaces a higher or missing
	// limit in the body.
	MaxTokens uint64
	// Resume continues an answer; nil starts it.
	Resume *Resume
}

// Resume holds the part of an answer that was generated before.
type Resume struct {
	Text string `json:"text"`
	// Tokens is the number of tokens of Text.
	Tokens uint64 `json:"tokens"`
}

// Stats are the figures that an engine reports with an event.
type Stats struct {
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	// Tokens counts the answer so far, including a resumed part.
	Tokens uint64 `json:"tokens"`
	StepUS uint32 `json:"step_us"`
}

// Event is one server-sent event of a completion.
type Event struct {
	// Data is the event's data as the caller receives it.
	Data []byte
	// Text is the event's part of the answer.
	Text string
	// Tokens is the number of tokens of Text. It is set by the reader of the
	// stream, which has the Stats of the previous event.
	Tokens       uint32
	FinishReason string
	// Stats is nil if the engine reported none.
	Stats *Stats
}

// Stream reads the response to a completion.
type Stream struct {
	// Status and Header are those of the response. With a status other than
	// 200 the stream has no events and Body is the response body.
	Status int
	Header http.Header
	Body   io.Reader
	resp   *http.Response
	dec    *Decoder
	ctx    context.Context
}

const (
	doneMarker = "[DONE]"
	// maxAnswers bounds the number of answers to one completion.
	maxAnswers = 128
)

// Complete starts a completion with "stream": true. Errors are those of
// [Client.Do].
func (c *Client) Complete(ctx context.Context, req Completion) (*Stream, error) {
	resp, err := c.send(ctx, req, true)
	if err != nil {
		return nil, err
	}
	s := &Stream{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, resp: resp, ctx: ctx}
	if s.Status == http.StatusOK {
		s.dec = NewDecoder(resp.Body)
	}
	return s, nil
}

// CompleteNonStreaming sends a completion with "stream": false.
func (c *Client) CompleteNonStreaming(ctx context.Context, req Completion) (*http.Response, error) {
	return c.send(ctx, req, false)
}

func (c *Client) send(ctx context.Context, req Completion, stream bool) (*http.Response, error) {
	body, err := completionBody(req, stream)
	if err != nil {
		return nil, err
	}
	header := http.Header{
		"Content-Type": {"application/json"},
		HeaderPriority: {formatPriority(req.Priority)},
	}
	return c.Do(ctx, Call{Address: req.Address, Method: http.MethodPost, Path: req.Path, Header: header, Body: body, ID: req.ID})
}

// completionBody sets the fields that the agent controls and leaves all others
// unchanged.
func completionBody(req Completion, stream bool) ([]byte, error) {
	fields, err := bodyFields(req.Body)
	if err != nil {
		return nil, err
	}
	if fields["stream"], err = json.Marshal(stream); err != nil {
		return nil, errors.Wrap(err, "engine: encode stream")
	}
	if req.MaxTokens > 0 {
		limit := min(req.MaxTokens, fields.tokenLimit())
		if fields["max_tokens"], err = json.Marshal(limit); err != nil {
			return nil, errors.Wrap(err, "engine: encode max_tokens")
		}
		delete(fields, "max_completion_tokens")
	}
	delete(fields, "resume")
	if req.Resume != nil && req.Resume.Tokens > 0 {
		if fields["resume"], err = json.Marshal(req.Resume); err != nil {
			return nil, errors.Wrap(err, "engine: encode resume")
		}
	}
	return json.Marshal(fields)
}

// jsonFields are the fields of a caller's body. The agent changes a few and
// forwards those that it does not recognize.
type jsonFields map[string]json.RawMessage

func bodyFields(body []byte) (jsonFields, error) {
	var fields jsonFields
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, fault.Wrap(err, fault.BadRequest, "body is not a JSON object")
	}
	return fields, nil
}

// tokenLimit returns the caller's limit for the tokens of the answer, or
// math.MaxUint64 if there is none.
func (f jsonFields) tokenLimit() uint64 {
	limit := uint64(math.MaxUint64)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n uint64
		if json.Unmarshal(f[name], &n) == nil && n > 0 {
			limit = min(limit, n)
		}
	}
	return limit
}

// Options holds the options that the agent reads from a completion's body.
type Options struct {
	// Answers is the number of requested answers. Only a completion with a
	// single answer can be resumed.
	Answers uint64
	// MaxTokens is the caller's limit, 0 if there is none.
	MaxTokens uint64
	// Prompt is the prompt or the messages as JSON.
	Prompt []byte
}

// ParseOptions reads the options of a body. Errors are BadRequest.
func ParseOptions(body []byte) (Options, error) {
	fields, err := bodyFields(body)
	if err != nil {
		return Options{}, err
	}
	o := Options{Answers: 1}
	for _, name := range []string{"n", "best_of"} {
		var n uint64
		if raw, ok := fields[name]; ok && string(raw) != "null" {
			if err := json.Unmarshal(raw, &n); err != nil || n == 0 || n > maxAnswers {
				return Options{}, fault.New(fault.BadRequest, "%s must be a number from 1 to %d", name, maxAnswers)
			}
			o.Answers = max(o.Answers, n)
		}
	}
	if limit := fields.tokenLimit(); limit != math.MaxUint64 {
		o.MaxTokens = limit
	}
	o.Prompt = fields["prompt"]
	if o.Prompt == nil {
		o.Prompt = fields["messages"]
	}
	return o, nil
}

// chunk holds the fields of an OpenAI chunk that the agent reads.
type chunk struct {
	Choices []choice `json:"choices"`
	Engine  *Stats   `json:"engine"`
}

type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// Next returns the next event. The error is io.EOF after the [DONE] event; a
// stream that ends without it is reported as a BackendFailed fault.
func (s *Stream) Next() (Event, error) {
	data, err := s.dec.Next()
	if err != nil {
		return Event{}, s.readFault(err)
	}
	if string(data) == doneMarker {
		return Event{}, io.EOF
	}
	return ParseEvent(data)
}

func (s *Stream) readFault(err error) error {
	if s.ctx.Err() != nil {
		return ContextFault(s.ctx)
	}
	if fault.Is(err, fault.TooLarge) {
		return err
	}
	return fault.Wrap(err, fault.BackendFailed, "stream ended before its [DONE] event")
}

// ParseEvent parses the data of one event. The Event holds a copy of data.
func ParseEvent(data []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, fault.Wrap(err, fault.BackendFailed, "event is not valid JSON")
	}
	ev := Event{Data: append([]byte(nil), data...), Stats: c.Engine}
	if len(c.Choices) > 0 {
		ev.Text = c.Choices[0].Text + c.Choices[0].Delta.Content
		ev.FinishReason = c.Choices[0].FinishReason
	}
	return ev, nil
}

// Close closes the stream and its connection, which cancels the completion if
// it is still running.
func (s *Stream) Close() { s.resp.Body.Close() }

// CompletionResponse holds the fields that the agent reads from a response that
// is not streamed.
type CompletionResponse struct {
	Usage struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	} `json:"usage"`
	Choices []choice `json:"choices"`
}

// ParseCompletionResponse parses a response that is not streamed. The result is
// zero if the body has another format.
func ParseCompletionResponse(body []byte) CompletionResponse {
	var r CompletionResponse
	if json.Unmarshal(body, &r) != nil {
		return CompletionResponse{}
	}
	return r
}

// FinishReason returns the finish reason of the first choice.
func (r CompletionResponse) FinishReason() string {
	if len(r.Choices) == 0 {
		return ""
	}
	return r.Choices[0].FinishReason
}
