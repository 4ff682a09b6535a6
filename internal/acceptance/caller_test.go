package acceptance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// answer is the outcome of a request for its caller. Err is set if the
// connection failed before the HTTP response was complete.
type answer struct {
	Status int
	Body   string
	Fault  fault.Body
	Err    error
}

// isComplete reports whether the caller got a complete answer of the backend
// server.
func (a answer) isComplete() bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Fault.Kind == ""
}

func (a answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	if a.Fault.Kind != "" {
		return fmt.Sprintf("%d %s ran=%s %s", a.Status, a.Fault.Kind, a.Fault.Ran, a.Fault.Message)
	}
	return fmt.Sprintf("%d with %d bytes", a.Status, len(a.Body))
}

// caller sends requests as an external router does. It never retries.
type caller struct {
	client  *http.Client
	timeout time.Duration
}

func newCaller() *caller {
	return &caller{
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		timeout: 60 * time.Second,
	}
}

// call is a request to an entry.
type call struct {
	method  string
	path    string
	key     string // idempotency key
	body    string
	headers map[string]string
}

func (c *caller) do(ctx context.Context, entryAddress string, in call) answer {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, in.method, "http://"+entryAddress+in.path, strings.NewReader(in.body))
	if err != nil {
		return answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	if in.key != "" {
		req.Header.Set("Idempotency-Key", in.key)
	}
	for name, value := range in.headers {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{Err: err}
	}
	a := answer{Status: resp.StatusCode, Body: string(body)}
	if resp.StatusCode >= 400 {
		if err := json.Unmarshal(body, &a.Fault); err != nil {
			a.Fault.Kind, a.Fault.Message = "not_an_error_body", string(body)
		}
	}
	return a
}

// order returns a request to the plain service that is not idempotent.
func order(key string) call {
	return call{method: http.MethodPost, path: "/s/" + plainName + "/orders", key: key, body: `{"tins":12}`}
}

func completion(prompt string, maxTokens int) call {
	body, err := json.Marshal(map[string]any{
		"model": modelName, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return call{
		method: http.MethodPost, path: "/v1/chat/completions", body: string(body),
		headers: map[string]string{"X-Request-Deadline-Ms": "60000"},
	}
}

// streamResult is the outcome of a streamed completion.
type streamResult struct {
	Text  string
	Done  bool // data: [DONE] was received
	Fault fault.Body
}

// parseStream parses the events of a complete response body.
func parseStream(body string) streamResult {
	var out streamResult
	isError := false
	for _, line := range strings.Split(body, "\n") {
		if line == "event: error" {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			out.Done = true
		case isError:
			json.Unmarshal([]byte(data), &out.Fault)
		default:
			out.Text += deltaText(data)
		}
	}
	return out
}

func deltaText(data string) string {
	var event struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&event) != nil || len(event.Choices) == 0 {
		return ""
	}
	return event.Choices[0].Text + event.Choices[0].Delta.Content
}
