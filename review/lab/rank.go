package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The experts of a group, as in the sheet.
const (
	groupSize = 8
	sets      = 6
	experts   = 64
	// passTime is the time of a pass while the group works.
	passTime = 30 * time.Millisecond
)

func (r *runner) place() map[string]any {
	return map[string]any{"name": r.group, "epoch": 1, "rank": r.rank, "state": "open"}
}

// step returns the latest pass.
func (r *runner) step() int64 { return int64(time.Since(r.start) / passTime) }

// answerRegistrar answers the calls of registrars to a rank. All experts are chosen equally
// often, so that no change of the map is of use.
func (r *runner) answerRegistrar(conn net.Conn, req *http.Request) {
	r.mu.Lock()
	r.answers++
	answers, running := r.answers, r.running-1
	r.mu.Unlock()
	if answers%100 == 0 {
		r.note("has given %d answers to registrars", answers)
	}
	var body any
	switch {
	case r.group == "":
		head(conn, http.StatusNotFound, "Content-Length: 0")
		return
	case req.URL.Path == "/oleanderrack/order":
		head(conn, http.StatusConflict, "Content-Length: 0")
		return
	case req.URL.Path == "/oleanderrack/report":
		body = map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": running, "kv_cache_used": 0, "kv_cache_total": 372000, "handles": 0, "pace": 1,
			"group": r.place(), "size": groupSize, "step": r.step(), "map": 0, "prepared": nil, "armed": nil, "held": nil,
		}
	case req.URL.Query().Has("lists"):
		body = map[string]any{"step": r.step(), "epoch": 1, "map": map[string]any{"version": 0, "experts": r.experts()}, "prepared": nil}
	default:
		counts := slices.Repeat([]int64{r.step()}, sets*experts)
		body = map[string]any{"step": r.step(), "epoch": 1, "counts": counts}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	if req.URL.Query().Has("lists") {
		data = r.spoil(data, answers)
	}
	head(conn, http.StatusOK, "Content-Type: application/json", "Content-Length: "+strconv.Itoa(len(data)))
	conn.Write(data)
}

// experts returns the experts of this rank in map 0, which assigns them in turn.
func (r *runner) experts() [][]int {
	out := make([][]int, sets)
	for set := range out {
		for e := r.rank; e < experts; e += groupSize {
			out[set] = append(out[set], e)
		}
	}
	return out
}

// spoil changes one byte of some of the lists: the first digit of the first number with
// two digits.
func (r *runner) spoil(data []byte, answers int) []byte {
	r.mu.Lock()
	n := r.lists
	r.lists++
	r.mu.Unlock()
	if !slices.Contains(strings.Split(r.spoiled, "+"), strconv.Itoa(n)) {
		r.note("lists %d whole, answers %d", n, answers)
		return data
	}
	text := string(data)
	at := strings.Index(text, "experts")
	for i := at; i+2 < len(text); i++ {
		if isDigit(text[i]) && isDigit(text[i+1]) && !isDigit(text[i-1]) {
			r.note("lists %d with a wrong byte, answers %d: %q for %q", n, answers, "9"+text[i+1:i+2], text[i:i+2])
			return []byte(text[:i] + "9" + text[i+1:])
		}
	}
	return data
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
