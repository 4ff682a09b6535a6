package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

var errReset = errors.New("connection reset by peer")

// scriptedConn is a connection that gives out answers, then its end. A write with an "x"
// fails. Other methods are not called.
type scriptedConn struct {
	net.Conn
	answers io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.answers.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "x") {
		return 0, errReset
	}
	return len(p), nil
}

func (c *scriptedConn) Close() error { return nil }

// readAnswer returns the body of the next answer and what is wrong with it.
func readAnswer(conn *Conn, r *bufio.Reader) string {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return describe(conn.Explain(err))
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return string(body) + ", " + describe(conn.Explain(err))
	}
	return string(body)
}

const (
	unframed = "HTTP/1.1 200 X\r\n\r\ndone"
	framed   = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone"
	inChunks = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"

	get         = "GET / HTTP/1.1\r\n\r\n"
	post        = "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\n"
	postChunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// TestEndOfConnection guards against the end of a connection that passes as the end of
// an answer although the connection has failed or the request was not wholly written,
// whether the read or the write sees it first; and against sound answers that are broken
// off.
func TestEndOfConnection(t *testing.T) {
	closed := net.ErrClosed.Error()
	tests := map[string]struct {
		answer string
		writes []string // an "x" fails
		closed bool     // after the writes
		want   string
	}{
		"no body":                            {unframed, []string{get}, false, "done"},
		"no body, write failed":              {unframed, []string{"x"}, false, "done, end"},
		"body":                               {unframed, []string{post, "12345678"}, false, "done"},
		"body in parts":                      {unframed, []string{post[:20], post[20:] + "1234", "5678"}, false, "done"},
		"write of the body failed":           {unframed, []string{post, "x"}, false, "done, end"},
		"write of a part failed":             {unframed, []string{post, "1234", "x"}, false, "done, end"},
		"another write after the failed one": {unframed, []string{post, "x", "12345678"}, false, "done, end"},
		"closed within the body":             {unframed, []string{post, "1234"}, true, "done, " + closed},
		"closed within the head":             {unframed, []string{post[:20]}, true, "done, " + closed},
		"closed before the request":          {unframed, nil, true, "done, " + closed},
		"chunks":                             {unframed, []string{postChunked, "4\r\n1234\r\n", "0\r\n\r\n"}, false, "done"},
		"chunks, write of the end failed":    {unframed, []string{postChunked, "4\r\n1234\r\n", "x"}, false, "done, end"},
		"chunks, closed before the end":      {unframed, []string{postChunked, "4\r\n1234\r\n"}, true, "done, " + closed},
		"answer with a length, write failed": {framed, []string{post, "x"}, false, "done"},
		"answer in chunks, write failed":     {inChunks, []string{post, "x"}, false, "done"},
	}
	for name, test := range tests {
		for order, wait := range map[string]time.Duration{"write first": 0, "read first": 5 * time.Millisecond} {
			t.Run(name+", "+order, func(t *testing.T) {
				conn := NewConn(&scriptedConn{answers: strings.NewReader(test.answer)})
				conn.Expect(http.MethodPost)
				written := make(chan struct{})
				go func() {
					defer close(written)
					time.Sleep(wait)
					for _, part := range test.writes {
						io.WriteString(conn, part)
					}
					if test.closed {
						conn.Close()
					}
				}()
				if wait == 0 {
					<-written
				}
				got := make(chan string, 1)
				go func() { got <- readAnswer(conn, bufio.NewReader(conn)) }()
				select {
				case g := <-got:
					if diff := cmp.Diff(test.want, g); diff != "" {
						t.Error(diff)
					}
				case <-time.After(10 * time.Second):
					t.Fatal("the read does not end")
				}
				<-written
			})
		}
	}
}

// TestFailedRead guards against a failed connection whose report the read has taken and
// that is counted in another way than one whose report the write has taken; and against
// the end by this side that counts as a fault of the server.
func TestFailedRead(t *testing.T) {
	tests := map[string]struct {
		answer string
		err    error
		want   string
	}{
		"reset":                {unframed, errReset, "done, end"},
		"reset after a length": {framed, errReset, "done"},
		"reset before a head":  {"", errReset, errReset.Error()},
		"deadline":             {unframed, os.ErrDeadlineExceeded, "done, " + os.ErrDeadlineExceeded.Error()},
		"closed":               {unframed, net.ErrClosed, "done, " + net.ErrClosed.Error()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := NewConn(&scriptedConn{answers: io.MultiReader(strings.NewReader(test.answer), iotest.ErrReader(test.err))})
			conn.Expect(http.MethodGet)
			io.WriteString(conn, get)
			if diff := cmp.Diff(test.want, readAnswer(conn, bufio.NewReader(conn))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestEndOfKeptConnection guards against a connection that is used again and whose end
// is judged by the request before.
func TestEndOfKeptConnection(t *testing.T) {
	tests := map[string]struct {
		second string // part of the second request that is written
		want   string
	}{
		"written":      {get, "done"},
		"write failed": {"x", "done, end"},
		"cut off":      {get[:10], "done, " + net.ErrClosed.Error()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn := NewConn(&scriptedConn{answers: io.MultiReader(strings.NewReader(framed), strings.NewReader(unframed))})
			reader := bufio.NewReader(conn)
			conn.Expect(http.MethodPost)
			io.WriteString(conn, post+"12345678")
			first := readAnswer(conn, reader)
			conn.Expect(http.MethodGet)
			io.WriteString(conn, test.second)
			if test.second != get {
				conn.Close()
			}
			if diff := cmp.Diff([]string{"done", test.want}, []string{first, readAnswer(conn, reader)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// answerUploads accepts connections, reads the head of a request on each, answers it with
// text before the body has been read, and passes the connection on to end.
func answerUploads(t *testing.T, text string, end func(*net.TCPConn, io.Reader)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.WriteString(c, text)
				end(c.(*net.TCPConn), req.Body)
			}()
		}
	}()
	return l.Addr().String()
}

// TestTransportUpload guards against a client of net/http that takes a part of an answer
// without a length for the whole one, because its server has reset the connection during
// the upload; and that breaks off the whole answer of a server that closes its side and
// reads the request to its end.
func TestTransportUpload(t *testing.T) {
	const upload = 8 << 20 // more than the buffers of a connection take
	reset := func(delay time.Duration) func(*net.TCPConn, io.Reader) {
		return func(c *net.TCPConn, _ io.Reader) {
			time.Sleep(delay)
			c.SetLinger(0)
			c.Close()
		}
	}
	tests := map[string]struct {
		end   func(*net.TCPConn, io.Reader)
		whole bool
	}{
		"reset at once":      {reset(0), false},
		"reset after 1 ms":   {reset(time.Millisecond), false},
		"reset after 20 ms":  {reset(20 * time.Millisecond), false},
		"reset after 400 ms": {reset(400 * time.Millisecond), false},
		"half-closed": {func(c *net.TCPConn, body io.Reader) {
			c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			io.Copy(io.Discard, body)
		}, true},
		"half-closed, reset within the upload": {func(c *net.TCPConn, body io.Reader) {
			c.CloseWrite()
			io.CopyN(io.Discard, body, 64<<10)
			reset(20*time.Millisecond)(c, body)
		}, false},
	}
	heads := map[string]string{"HTTP 1.1": "HTTP/1.1 200 OK\r\n\r\n", "HTTP 1.0": "HTTP/1.0 200 OK\r\n\r\n", "connection: close": "HTTP/1.1 201 OK\r\nConnection: close\r\n\r\n"}
	for name, test := range tests {
		for headName, head := range heads {
			t.Run(name+", "+headName, func(t *testing.T) {
				t.Parallel()
				address := answerUploads(t, head+"done", test.end)
				client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
				defer client.CloseIdleConnections()
				// Its length is not known to net/http, which sends it in chunks.
				request := io.LimitReader(strings.NewReader(strings.Repeat("b", upload)), upload)
				res, err := client.Post("http://"+address, "text/plain", request)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(res.Body)
					res.Body.Close()
				}
				if whole := err == nil && string(body) == "done"; whole != test.whole || (err == nil) != test.whole {
					t.Errorf("body %q, error %v; want a whole answer: %t", body, err, test.whole)
				}
			})
		}
	}
}
