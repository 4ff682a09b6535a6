package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long a caller of control waits for an answer.
const callTimeout = time.Second

// operator sends orders to the machines that serve control, one after the other, and
// again until one of them acknowledges.
type operator struct {
	system *system
	client *http.Client
	next   int
}

func newOperator(s *system) *operator {
	return &operator{system: s, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one call to one machine.
func (o *operator) call(ctx context.Context, method, control, path string, body []byte) (status int, answer []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(res.Body)
	return res.StatusCode, answer, err
}

// order sends an order until it is acknowledged or the time is over.
func (o *operator) order(ctx context.Context, path string, body []byte, length time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	last := ""
	for pause := 50 * time.Millisecond; ; pause = min(time.Second, pause*2) {
		controls := o.system.controls()
		control := controls[o.next%len(controls)]
		o.next++
		status, answer, err := o.call(ctx, http.MethodPost, control, path, body)
		text := fmt.Sprintf("%d %s", status, bytes.TrimSpace(answer))
		if err != nil {
			text = err.Error()
		}
		if status >= 200 && status < 300 {
			o.system.rec.add("operator: POST %s at %s is acknowledged with %d", path, control, status)
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w of POST %s in %v; the last answer: %s", errNoAck, path, length, last)
		}
		last = text
		o.system.rec.add("operator: POST %s at %s: %s", path, control, text)
		if sleep(ctx, pause) != nil {
			return fmt.Errorf("%w of POST %s in %v; the last answer: %s", errNoAck, path, length, last)
		}
	}
}
