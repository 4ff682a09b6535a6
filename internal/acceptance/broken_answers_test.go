package acceptance

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oleanderrack.example/oleanderrack/internal/standin"
	"oleanderrack.example/oleanderrack/pkg/intent"
)

// Guards against a broken answer of a backend server that reaches a caller, closes its
// connection, or is taken as proof that an order has not run. One of the two servers of
// each service sends only such answers.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const whole = "Content-Length: 4\r\n\r\nspam"
	tests := map[string]string{
		"status 000":                    "HTTP/1.1 000 X\r\n" + whole,
		"blank in a name":               "HTTP/1.1 200 X\r\nX Note: a\r\n" + whole,
		"control byte in a name":        "HTTP/1.1 200 X\r\nX\x01Note: a\r\n" + whole,
		"blank after Transfer-Encoding": "HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nspam\r\n0\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, options{modelHosts: 2})
			const always = 1 << 20
			broken := s.backendsOf(plainName)[0]
			broken.control(t, standin.PlainControl{RawAnswers: always, RawAnswer: text})
			s.backendsOf(modelName)[0].control(t, standin.Control{RawAnswers: always, RawAnswer: text})
			c, ctx := newCaller(), context.Background()
			// Five reads and five completions through each entry are within its budget
			// of retries, even if each has to be sent twice.
			const calls = 15
			answers := map[string]int{}
			for i := range calls {
				address := s.entries[i%len(s.entries)].address
				read := c.do(ctx, address, call{method: http.MethodGet, path: fmt.Sprintf("/s/%s/stock/%d", plainName, i)})
				if !read.isComplete() || strings.Contains(read.Body, "spam") {
					t.Errorf("a read that may be repeated was answered %v: %q", read, read.Body)
				}
				prompt := fmt.Sprint("prompt ", i)
				stream := c.do(ctx, address, completion(prompt, 4))
				if got := parseStream(stream.Body); !stream.isComplete() || !got.Done || got.Text != standin.Answer(standin.ChatPrompt(prompt), 4) {
					t.Errorf("a completion was answered %v: %q", stream, stream.Body)
				}
				order := c.do(ctx, address, order(fmt.Sprint("key-", i)))
				switch {
				case order.isComplete() && !strings.Contains(order.Body, "spam"):
					answers["complete"]++
				case order.Status == http.StatusBadGateway && order.Fault.Ran == "unknown":
					answers["unknown"]++
				default:
					t.Errorf("an order was answered %v: %q", order, order.Body)
				}
			}
			for key, n := range s.executions() {
				if n != 1 {
					t.Errorf("order %s ran %d times", key, n)
				}
			}
			if r := record[standin.PlainRecord](t, broken); r.Ran == 0 {
				t.Errorf("no request reached the broken server: %v", answers)
			}
			if diff := cmp.Diff(calls, answers["complete"]+answers["unknown"]); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a part of an answer without a length that reaches a caller as a whole
// one, because the backend server has reset the connection during the upload and serves
// on. One of the two servers does that to each request.
func TestResetDuringUploadReachesNoCaller(t *testing.T) {
	const upload = 8 << 20 // more than the buffers of a connection take
	s := startSystem(t, options{intent: func(in *intent.Intent) {
		for i := range in.Services {
			in.Services[i].MaxBodyBytes = 2 * upload
		}
	}})
	broken := s.backendsOf(plainName)[0]
	broken.control(t, standin.PlainControl{ResetUploads: 1 << 20})
	c, ctx := newCaller(), context.Background()
	const calls = 10
	answers := map[string]int{}
	for i := range calls {
		in := order(fmt.Sprint("key-", i))
		in.body = strings.Repeat("b", upload)
		got := c.do(ctx, s.entries[i%len(s.entries)].address, in)
		switch {
		case got.isComplete() && got.Body != standin.ResetPart:
			answers["complete"]++
		case got.Status == http.StatusBadGateway && got.Fault.Ran == "unknown":
			answers["unknown"]++
		default:
			t.Errorf("an order was answered %v: %q", got, got.Body)
		}
	}
	for key, n := range s.executions() {
		if n != 1 {
			t.Errorf("order %s ran %d times", key, n)
		}
	}
	resets := int(record[standin.PlainRecord](t, broken).Resets)
	if resets == 0 {
		t.Error("no request reached the broken server")
	}
	if diff := cmp.Diff(map[string]int{"complete": calls - resets, "unknown": resets}, answers); diff != "" {
		t.Error(diff)
	}
}
