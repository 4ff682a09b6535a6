package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests as the platform's clients do, each attempt on a new
// connection.
type client struct {
	record *record
	http   *http.Client
	count  atomic.Uint64
}

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// result is the answer to one request.
type result struct {
	id       string
	status   int
	complete bool
	// events holds the ids of the events of a stream, in order; foreign is what
	// stood between or after them.
	events  []int
	foreign []byte
	bytes   int
	err     error
}

// streamGap is the gap after which a client abandons a stream: two seconds, four
// times the objective or eight times the pause, whichever is longest.
const streamGap = 2 * time.Second

// stream sends one streaming request with events as the maximum number of events.
func (c *client) stream(ctx context.Context, front string, events int) result {
	id := fmt.Sprintf("%016x", 0x5000000000000000+c.count.Add(1))
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/drafts/2f", strings.NewReader("draft a label"))
	if err != nil {
		return result{id: id, err: err}
	}
	req.Host = host
	c.header(req, id, 8000)
	req.Header.Set("Oleanderrack-Model", "m")
	req.Header.Set("Oleanderrack-Token-Counts", fmt.Sprintf("710,%d", 5*events))
	req.Header.Set("Oleanderrack-Prompt-Prefix", "5c1e07a2:40,"+id[8:]+":670")
	gap := time.AfterFunc(streamGap, cancel)
	defer gap.Stop()
	res, err := c.http.Do(req)
	if err != nil {
		return result{id: id, err: err}
	}
	defer res.Body.Close()
	r := result{id: id, status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		return r
	}
	r.err = r.readEvents(res.Body, func() { gap.Reset(streamGap) })
	r.complete = r.err == nil
	return r
}

// readEvents reads events up to the end of the body, or until there is a lot that
// belongs to no event.
func (r *result) readEvents(body io.Reader, progress func()) error {
	reader := bufio.NewReader(body)
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		r.bytes += len(line)
		event = append(event, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 && err == nil {
			if id, ok := eventID(event); ok {
				r.events = append(r.events, id)
			} else {
				r.foreign = append(r.foreign, event...)
			}
			event = event[:0]
			progress()
		}
		switch {
		case err == io.EOF:
			r.foreign = append(r.foreign, event...)
			return nil
		case err == bufio.ErrBufferFull:
		case err != nil:
			r.foreign = append(r.foreign, event...)
			return err
		}
	}
}

func eventID(event []byte) (int, bool) {
	first, rest, _ := bytes.Cut(event, []byte("\n"))
	value, ok := bytes.CutPrefix(first, []byte("id: "))
	if !ok || !bytes.HasPrefix(rest, []byte("data: ")) {
		return 0, false
	}
	id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	return id, err == nil
}

// read sends one idempotent request.
func (c *client) read(ctx context.Context, front string) result {
	id := fmt.Sprintf("%016x", 0x7000000000000000+c.count.Add(1))
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+"/stock/2f", nil)
	if err != nil {
		return result{id: id, err: err}
	}
	req.Host = host
	c.header(req, id, 1000)
	res, err := c.http.Do(req)
	if err != nil {
		return result{id: id, err: err}
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return result{id: id, status: res.StatusCode, complete: err == nil, err: err}
}

// order sends one non-idempotent request for an order.
func (c *client) order(ctx context.Context, front, order string) result {
	id := fmt.Sprintf("%016x", 0x6000000000000000+c.count.Add(1))
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/orders/2f", strings.NewReader("twelve tins"))
	if err != nil {
		return result{id: id, err: err}
	}
	req.Host = host
	c.header(req, id, 1000)
	req.Header.Set("Review-Order", order)
	res, err := c.http.Do(req)
	if err != nil {
		return result{id: id, err: err}
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return result{id: id, status: res.StatusCode, complete: err == nil, err: err}
}

func (c *client) header(req *http.Request, id string, deadlineMS int) {
	req.Header.Set("Oleanderrack-Request-Id", id)
	req.Header.Set("Oleanderrack-Deadline-Remaining", strconv.Itoa(deadlineMS))
	req.Header.Set("Oleanderrack-Key", key)
}
