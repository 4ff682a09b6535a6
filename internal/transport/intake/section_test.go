package intake

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSection guards against an end of a header section that is found elsewhere than by
// net/http, and against a limit that a section within it meets.
func TestSection(t *testing.T) {
	long := strings.Repeat("x", 100-len("A: \r\n"))
	tests := map[string]struct {
		text     string
		complete bool
		refused  bool
		why      reason
	}{
		"complete":                {"GET / HTTP/1.1\r\nA: b\r\n\r\n", true, false, 0},
		"complete with a body":    {"GET / HTTP/1.1\r\nA: b\r\n\r\n\n\n\n\n\n\n\n\n\n\n\n\n", true, false, 0},
		"line ends of one byte":   {"GET / HTTP/1.1\nA: b\n\n", true, false, 0},
		"incomplete":              {"GET / HTTP/1.1\r\nA: b\r\n\r", false, false, 0},
		"a return is no line end": {"GET / HTTP/1.1\r\nA: b\r\n\r\r\n", false, false, 0},
		"fields at the limit":     {"GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n", true, false, 0},
		"fields beyond it":        {"GET / HTTP/1.1\r\nA: x" + long + "\r\n\r\n", true, true, headerTooLarge},
		"a line beyond it":        {"GET / HTTP/1.1\r\nA: " + long + long, false, true, headerTooLarge},
		"a request line beyond":   {"GET /" + long + long, false, true, headerTooLarge},
		"empty lines":             {strings.Repeat("\r\n", maxEmptyLines) + "GET / HTTP/1.1\r\n\r\n", true, false, 0},
		"too many empty lines":    {strings.Repeat("\r\n", maxEmptyLines+1), false, true, emptyLines},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				var s section
				for text := test.text; len(text) > 0; text = text[min(size, len(text)):] {
					s.add([]byte(text[:min(size, len(text))]))
				}
				why, refused := s.exceeds(Limits{HeaderBytes: 100})
				if s.complete != test.complete || refused != test.refused || why != test.why {
					t.Fatalf("%d bytes at a time: complete %v, refused %v, %v", size, s.complete, refused, why)
				}
			}
		})
	}
}

// TestSectionEnd compares the end of a section with that of net/http, for any fields.
func TestSectionEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"A: b", "Abc: ", "A: " + strings.Repeat("y", 40), "B:\t1", "A: \r x"})
		ends := rapid.SampledFrom([]string{"\r\n", "\n"})
		text := "GET / HTTP/1.1" + ends.Draw(t, "end")
		for range rapid.IntRange(0, 6).Draw(t, "fields") {
			text += line.Draw(t, "line") + ends.Draw(t, "end")
		}
		text += ends.Draw(t, "end")
		rest := rapid.SampledFrom([]string{"", "\r\n\r\n", "body\r\n"}).Draw(t, "rest")
		r := bufio.NewReader(strings.NewReader(text + rest))
		if _, err := http.ReadRequest(r); err != nil {
			t.Skip(err)
		}
		var s section
		s.add([]byte(text + rest))
		if consumed := s.requestBytes + s.fieldBytes; !s.complete || consumed != len(text) {
			t.Fatalf("complete %v after %d bytes of %d: %q", s.complete, consumed, len(text), text)
		}
	})
}

// TestCost guards against header sections that hold more memory than they are charged:
// that of net/http's request and of the copy of its fields for a backend server.
func TestCost(t *testing.T) {
	const held = 200
	tiny := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "a%x:\r\n", i)
		}
		return b.String()
	}
	tests := map[string]string{
		"one line":           "A: " + strings.Repeat("x", 16_000) + "\r\n",
		"tiny fields":        tiny(2000),
		"one name":           strings.Repeat("a:\r\n", 4000),
		"fields of a caller": strings.Repeat("X-Field-Of-A-Caller: "+strings.Repeat("v", 140)+"\r\n", 100),
	}
	for name, fields := range tests {
		t.Run(name, func(t *testing.T) {
			text := "GET / HTTP/1.1\r\n" + fields + "\r\n"
			var s section
			s.add([]byte(text))
			if !s.complete {
				t.Fatal("the section is incomplete")
			}
			requests := make([]*http.Request, held)
			copies := make([]http.Header, held)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range requests {
				req, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 4096))
				if err != nil {
					t.Fatal(err)
				}
				requests[i] = req
				copies[i] = make(http.Header, len(req.Header))
				for name, values := range req.Header {
					copies[i][name] = append([]string(nil), values...)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			each := int64(after.HeapAlloc-before.HeapAlloc) / held
			t.Logf("%d bytes of %d charged, %d sent", each, s.cost(), len(text))
			if each > s.cost()+ConnectionBytes {
				t.Errorf("%d bytes are held, and %d charged besides those of a connection", each, s.cost())
			}
			runtime.KeepAlive(requests)
			runtime.KeepAlive(copies)
		})
	}
}
