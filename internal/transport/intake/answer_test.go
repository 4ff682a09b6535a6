package intake

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestUnanswered guards against a handler that returns without an answer and whose caller
// gets "200 OK" with an empty body, and against answers that are not passed on as they are.
func TestUnanswered(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		want    []string // statuses and bodies up to the end of the connection
	}{
		"nothing":               {func(http.ResponseWriter, *http.Request) {}, nil},
		"nothing after a body":  {func(_ http.ResponseWriter, r *http.Request) { io.ReadAll(r.Body) }, nil},
		"nothing but headers":   {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-A", "b") }, nil},
		"an interim answer":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) }, []string{"103 "}},
		"a status":              {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, []string{"204 "}},
		"a body":                {func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ab") }, []string{"200 ab"}},
		"an empty write":        {func(w http.ResponseWriter, _ *http.Request) { w.Write(nil) }, []string{"200 "}},
		"a flush":               {func(w http.ResponseWriter, _ *http.Request) { http.NewResponseController(w).Flush() }, []string{"200 "}},
		"a copy":                {func(w http.ResponseWriter, _ *http.Request) { io.Copy(w, strings.NewReader("ab")) }, []string{"200 ab"}},
		"a status, then a body": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(202); io.WriteString(w, "ab") }, []string{"202 ab"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := serveTest(t, ample, Limits{}, test.handler)
			conn := dial(t, l, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab")
			var got []string
			for r := bufio.NewReader(conn); ; {
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				text, _ := io.ReadAll(res.Body)
				got = append(got, fmt.Sprintf("%d %s", res.StatusCode, text))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBrokenOffForHTTP10 guards against a part of an answer that looks whole to a caller of
// HTTP/1.0, for which an answer without a length ends with its connection.
func TestBrokenOffForHTTP10(t *testing.T) {
	tests := map[string]struct {
		breaksOff bool
		want      string // body, and BROKEN if the connection was reset
	}{
		"whole":      {false, "ab"},
		"broken off": {true, "abBROKEN"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{})
			l, _ := serveTest(t, ample, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "ab")
				http.NewResponseController(w).Flush()
				<-sent // a reset may overtake what was sent before
				if test.breaksOff {
					panic(http.ErrAbortHandler)
				}
			})
			r := bufio.NewReader(dial(t, l, "GET / HTTP/1.0\r\nHost: a\r\n\r\n"))
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			body := make([]byte, len("ab"))
			io.ReadFull(res.Body, body)
			close(sent)
			rest, err := io.ReadAll(res.Body)
			got := string(body) + string(rest)
			if err != nil {
				got += "BROKEN"
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
