package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// serve answers each request on its connections with the text that answer returns, and
// counts the connections.
func serve(t *testing.T, answer func(*http.Request) string) (url string, connections *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	connections = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, answer(req))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), connections
}

// TestTransport guards against a client of net/http that believes a broken answer, that
// does not say that the answer was broken, or that loses kept connections.
func TestTransport(t *testing.T) {
	const chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
	type result struct {
		Body, Problem string
		Connections   int32
	}
	tests := map[string]struct {
		answer string
		want   result // of the second one of two calls
	}{
		"length":              {"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone", result{"done", "", 1}},
		"chunks":              {chunked + "0\r\n\r\n", result{"done", "", 1}},
		"status 000":          {"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nspam", result{"", "status_line", 2}},
		"blank in a name":     {"HTTP/1.1 200 X\r\nX Note: a\r\nContent-Length: 4\r\n\r\nspam", result{"", "field_name", 2}},
		"blank in a trailer":  {chunked + "0\r\nX Note: a\r\n\r\n", result{"done", "field_name", 2}},
		"broken chunk":        {chunked + "x\r\n\r\n", result{"done", "chunk", 2}},
		"switched protocol":   {"HTTP/1.1 101 X\r\n\r\n", result{"", "status_line", 2}},
		"broken interim head": {"HTTP/1.1 103 X\r\nX Note: a\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nspam", result{"", "field_name", 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			url, connections := serve(t, func(*http.Request) string { return test.answer })
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			var got result
			for range 2 {
				got = result{}
				res, err := client.Post(url, "text/plain", strings.NewReader("x"))
				if err != nil {
					got.Problem = describe(err)
					continue
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				got.Body = string(body)
				if err != nil {
					got.Problem = describe(err)
				}
			}
			got.Connections = connections.Load()
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTransportMethods guards against an answer to HEAD whose length is taken for that of
// a body that follows, on a connection that is used for other methods too.
func TestTransportMethods(t *testing.T) {
	url, connections := serve(t, func(req *http.Request) string {
		if req.Method == http.MethodHead {
			return "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n"
		}
		return "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone"
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for i, method := range []string{"GET", "HEAD", "HEAD", "GET", "HEAD", "GET"} {
		req, err := http.NewRequest(method, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			t.Fatalf("call %d, %s: %v", i, method, err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if want := map[string]string{"GET": "done"}[method]; err != nil || string(body) != want {
			t.Errorf("call %d, %s: %q, %v", i, method, body, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// TestOtherSchemes guards against answers over TLS that are not judged.
func TestOtherSchemes(t *testing.T) {
	if _, err := (&http.Client{Transport: NewTransport(&http.Transport{})}).Get("https://127.0.0.1:1/"); err == nil || !strings.Contains(err.Error(), "scheme") {
		t.Errorf("error %v, want one about the scheme", err)
	}
}
