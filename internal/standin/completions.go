package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderrack.example/oleanderrack/internal/protocol/engine"
)

// completionRequest holds the fields of an OpenAI request that the engine uses.
type completionRequest struct {
	Prompt    string         `json:"prompt"`
	Messages  []message      `json:"messages"`
	MaxTokens uint64         `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	Resume    *engine.Resume `json:"resume"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// text returns the prompt as one string.
func (r completionRequest) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// answerToken returns token i of the answer to a prompt.
func answerToken(prompt string, i uint64) string {
	h := xxhash.New()
	h.WriteString(prompt)
	return fmt.Sprintf(" %x", (h.Sum64()+i*0x9e3779b97f4a7c15)>>44)
}

// Answer returns the first n tokens of the answer to a completion prompt.
func Answer(prompt string, n uint64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(answerToken(prompt, i))
	}
	return b.String()
}

// ChatPrompt returns the prompt for a chat of one user message.
func ChatPrompt(content string) string {
	return completionRequest{Messages: []message{{Role: "user", Content: content}}}.text()
}

// answerLength returns the number of tokens of an answer without max_tokens.
func (e *Engine) answerLength(prompt string) uint64 {
	span := e.cfg.MaxAnswer - min(e.cfg.MinAnswer, e.cfg.MaxAnswer) + 1
	return e.cfg.MinAnswer + xxhash.Sum64String("length:"+prompt)%span
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := readJSON(r, &req); err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	id := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, id)
	c, invalid := e.newCompletion(id, req, r.Header.Get(engine.HeaderPriority))
	if invalid != "" {
		writeError(w, http.StatusBadRequest, "%s", invalid)
		return
	}
	e.mu.Lock()
	if consume(&e.rawAnswers) {
		answer := e.rawAnswer
		e.mu.Unlock()
		writeRaw(w, answer)
		return
	}
	c.cachedTokens = e.cache.match(c.prompt, c.promptTokens)
	c.prefillLeft -= min(c.cachedTokens, c.prefillLeft)
	if _, ok := e.requests[id]; ok {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "request %s is running", id)
		return
	}
	ok := e.admit(c)
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "engine has crashed")
		return
	}
	defer e.cancelUnfinished(c)
	chat := strings.Contains(r.URL.Path, "/chat/")
	if req.Stream {
		e.streamAnswer(w, r.Context(), c, chat)
		return
	}
	e.writeAnswer(w, r.Context(), c, chat)
}

// newCompletion returns a request for the batch, or the reason why it is invalid.
func (e *Engine) newCompletion(id string, req completionRequest, priority string) (*completion, string) {
	prompt := req.text()
	c := &completion{id: id, prompt: prompt, events: make(chan token, eventBuffer), done: make(chan struct{}), finishReason: "stop"}
	c.priority, _ = strconv.Atoi(priority)
	c.promptTokens = uint64(math.Ceil(float64(len(prompt)) / e.cfg.BytesPerToken))
	c.total = e.answerLength(prompt)
	if req.MaxTokens > 0 && req.MaxTokens < c.total {
		c.total, c.finishReason = req.MaxTokens, "length"
	}
	c.prefillLeft = c.promptTokens
	switch {
	case id == "":
		return nil, "no " + engine.HeaderRequestID
	case prompt == "":
		return nil, "no prompt"
	case req.Resume == nil:
		return c, ""
	case !e.cfg.Resumes:
		return nil, "engine does not support resume"
	case req.Resume.Tokens >= c.total || req.Resume.Text != Answer(prompt, req.Resume.Tokens):
		return nil, "resume does not match the answer"
	}
	c.tokens = req.Resume.Tokens
	return c, ""
}

// cancelUnfinished cancels a request that has not finished when its reader
// returns.
func (e *Engine) cancelUnfinished(c *completion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remove(c) {
		e.record.Cancelled++
	}
	c.drop()
}

// next waits for the next token of a request.
func (c *completion) next(ctx context.Context) (token, bool) {
	select {
	case t := <-c.events:
		return t, true
	default:
	}
	select {
	case t := <-c.events:
		return t, true
	case <-c.done:
	case <-ctx.Done():
	}
	return token{}, false
}

// openAIChunk is one event of a stream; openAIAnswer is a complete answer.
type openAIChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Choices []openAIChoice `json:"choices"`
	Engine  engine.Stats   `json:"engine"`
}

type openAIChoice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type openAIAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Choices []openAIChoice `json:"choices"`
	Usage   openAIUsage    `json:"usage"`
}

type openAIUsage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

func finishReasonOf(reason string) *string {
	if reason == "" {
		return nil
	}
	return &reason
}

func chunkOf(c *completion, t token, chat bool) openAIChunk {
	choice := openAIChoice{FinishReason: finishReasonOf(t.finishReason)}
	object := "text_completion"
	if chat {
		choice.Delta, object = &message{Role: "assistant", Content: t.text}, "chat.completion.chunk"
	} else {
		choice.Text = t.text
	}
	return openAIChunk{ID: "cmpl-" + c.id, Object: object, Choices: []openAIChoice{choice}, Engine: t.stats}
}

func (e *Engine) streamAnswer(w http.ResponseWriter, ctx context.Context, c *completion, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	control.Flush()
	for {
		t, ok := c.next(ctx)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(chunkOf(c, t, chat))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: %s\n\n", data)
		if t.finishReason != "" {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
		if control.Flush() == nil {
			e.recordWritten(t)
		}
		if t.finishReason != "" {
			return
		}
	}
}

// recordWritten records that an event was written to a connection.
func (e *Engine) recordWritten(t token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transition.recordWritten(time.Now(), t.transition)
}

func (e *Engine) writeAnswer(w http.ResponseWriter, ctx context.Context, c *completion, chat bool) {
	var b strings.Builder
	for {
		t, ok := c.next(ctx)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		b.WriteString(t.text)
		if t.finishReason == "" {
			continue
		}
		choice := openAIChoice{FinishReason: finishReasonOf(t.finishReason)}
		if chat {
			choice.Message = &message{Role: "assistant", Content: b.String()}
		} else {
			choice.Text = b.String()
		}
		writeJSON(w, http.StatusOK, openAIAnswer{
			ID: "cmpl-" + c.id, Object: "text_completion", Choices: []openAIChoice{choice},
			Usage: openAIUsage{PromptTokens: c.promptTokens, CompletionTokens: c.tokens, TotalTokens: c.promptTokens + c.tokens},
		})
		return
	}
}

type cancelBody struct {
	RequestID string `json:"request_id"`
}

type cancelAnswer struct {
	Cancelled bool `json:"cancelled"`
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if err := readJSON(r, &body); err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	e.mu.Lock()
	c, ok := e.requests[body.RequestID]
	if ok {
		e.remove(c)
		c.drop()
		e.record.Cancelled++
	}
	e.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusNotFound
	}
	writeJSON(w, status, cancelAnswer{Cancelled: ok})
}
