package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"oleanderrack.example/oleanderrack/pkg/fault"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// fields holds a JSON object by exact field names. Decoding into a struct would
// also match names that differ in case, so that this check and the backend
// server could read different values.
type fields map[string]json.RawMessage

func (a *API) chat(_ echo.Context, in *call) error { return a.completion(in, chatPrompt) }

func (a *API) complete(_ echo.Context, in *call) error { return a.completion(in, textPrompt) }

// completion handles chat and text completions; prompt extracts the prompt from
// the body.
func (a *API) completion(in *call, prompt func(fields) ([]byte, error)) error {
	body, err := a.readBody(in, in.directory.maxBody)
	if err != nil {
		return err
	}
	f, err := decodeObject(body)
	if err != nil {
		return err
	}
	name, err := f.text("model")
	if err != nil {
		return err
	}
	service, err := in.directory.service(in.account, name, intent.Model)
	if err != nil {
		return err
	}
	if int64(len(body)) > service.MaxBodyBytes {
		return fault.New(fault.TooLarge, "body has %d bytes, at most %d are accepted", len(body), service.MaxBodyBytes)
	}
	req, err := in.newRequest(service, in.http.URL.EscapedPath(), body)
	if err != nil {
		return err
	}
	if err := fillCompletion(req, f, prompt); err != nil {
		return err
	}
	return a.run(in, req)
}

// fillCompletion sets the fields of a request that only completions have.
func fillCompletion(req *Request, f fields, prompt func(fields) ([]byte, error)) error {
	var err error
	if req.Prompt, err = prompt(f); err != nil {
		return err
	}
	if req.Stream, err = f.flag("stream"); err != nil {
		return err
	}
	if n, err := f.number("n", 1); err != nil || n != 1 {
		return fault.New(fault.BadRequest, "n must be 1")
	}
	if n, err := f.number("best_of", 1); err != nil || n != 1 {
		return fault.New(fault.BadRequest, "best_of must be 1")
	}
	if req.MaxTokens, err = maxTokens(f, req.Service.MaxTokens); err != nil {
		return err
	}
	if !f.has("max_tokens") && !f.has("max_completion_tokens") {
		// Without a limit the backend server would apply its own.
		f["max_tokens"] = json.RawMessage(strconv.FormatUint(req.MaxTokens, 10))
		if req.Body, err = json.Marshal(f); err != nil {
			return fault.Wrap(err, fault.BadRequest, "body cannot be encoded")
		}
	}
	req.PromptBytes = uint64(len(req.Prompt))
	req.Repeatable = true
	return nil
}

func maxTokens(f fields, defaultLimit uint64) (uint64, error) {
	limit := uint64(0)
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n, err := f.number(name, 0)
		if err != nil {
			return 0, err
		}
		if f.has(name) && n == 0 {
			return 0, fault.New(fault.BadRequest, "%s must be at least 1", name)
		}
		limit = max(limit, n)
	}
	if limit == 0 {
		return defaultLimit, nil
	}
	return limit, nil
}

// decodeObject decodes the body as one JSON object.
func decodeObject(body []byte) (fields, error) {
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "body is not a JSON object: %v", err)
	}
	if f == nil {
		return nil, fault.New(fault.BadRequest, "body is null, want a JSON object")
	}
	return f, nil
}

// has reports whether a field is set and not null.
func (f fields) has(name string) bool {
	raw, ok := f[name]
	return ok && !bytes.Equal(raw, []byte("null"))
}

func (f fields) text(name string) (string, error) {
	var s string
	if err := json.Unmarshal(f[name], &s); err != nil || s == "" {
		return "", fault.New(fault.BadRequest, "%s must be a non-empty string", name)
	}
	return s, nil
}

func (f fields) flag(name string) (bool, error) {
	var b bool
	if f.has(name) && json.Unmarshal(f[name], &b) != nil {
		return false, fault.New(fault.BadRequest, "%s must be true or false", name)
	}
	return b, nil
}

func (f fields) number(name string, defaultValue uint64) (uint64, error) {
	n := defaultValue
	if f.has(name) && json.Unmarshal(f[name], &n) != nil {
		return 0, fault.New(fault.BadRequest, "%s must be a non-negative integer", name)
	}
	return n, nil
}

// chatPrompt returns the JSON of the messages without the closing bracket.
// Adding a message to a conversation only appends bytes. The result includes
// roles and punctuation, so it is never shorter than the text of the messages.
func chatPrompt(f fields) ([]byte, error) {
	var messages []fields
	if err := json.Unmarshal(f["messages"], &messages); err != nil || len(messages) == 0 {
		return nil, fault.New(fault.BadRequest, "messages must be a non-empty list")
	}
	for i, m := range messages {
		if _, err := m.text("role"); err != nil {
			return nil, fault.New(fault.BadRequest, "messages[%d].role must be a non-empty string", i)
		}
		if !m.has("content") && !m.has("tool_calls") {
			return nil, fault.New(fault.BadRequest, "messages[%d].content is missing", i)
		}
	}
	return bytes.TrimSuffix(f["messages"], []byte("]")), nil
}

// textPrompt returns the prompt of a text completion: a string, or the only
// element of a list.
func textPrompt(f fields) ([]byte, error) {
	var s string
	if err := json.Unmarshal(f["prompt"], &s); err == nil && f.has("prompt") {
		return []byte(s), nil
	}
	var list []string
	if err := json.Unmarshal(f["prompt"], &list); err == nil && len(list) == 1 {
		return []byte(list[0]), nil
	}
	return nil, fault.New(fault.BadRequest, "prompt must be a string or a list of one string")
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(c echo.Context, in *call) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range in.directory.modelNames(in.account) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "oleanderrack"})
	}
	return c.JSON(http.StatusOK, list)
}
