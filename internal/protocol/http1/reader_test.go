package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// answer is one answer as a parser above an answerReader sees it.
type answer struct {
	Status int
	Header http.Header
	Body   string
}

// readAnswers reads the answers to requests with the given methods, interim ones
// included, and returns the text of the error that ends them.
func readAnswers(source io.Reader, methods ...string) (answers []answer, problem string) {
	judged := newAnswerReader(source)
	reader := bufio.NewReader(judged)
	for len(methods) > 0 {
		judged.expect(methods[0])
		res, err := http.ReadResponse(reader, &http.Request{Method: methods[0]})
		if err != nil {
			return answers, describe(judged.explain(err))
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return answers, describe(judged.explain(err))
		}
		answers = append(answers, answer{Status: res.StatusCode, Header: res.Header, Body: string(body)})
		if res.StatusCode >= 200 {
			methods = methods[1:]
		}
	}
	return answers, ""
}

// describe returns the part of an answer that breaks the grammar, or the error.
func describe(err error) string {
	if broken, ok := Broken(err); ok {
		return broken.Part.String()
	}
	return err.Error()
}

// TestReader guards against a parser that sees more of a broken answer than the lines
// before, against the loss of answers that precede it on the connection, and against
// verdicts that depend on how the bytes arrive.
func TestReader(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	type result struct {
		Statuses []int
		Bodies   []string
		Problem  string
	}
	get := []string{"GET", "GET"}
	tests := map[string]struct {
		text    string
		methods []string
		want    result
	}{
		"two answers":                {ok + ok, get, result{[]int{200, 200}, []string{"ok", "ok"}, ""}},
		"interim heads":              {"HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + ok + ok, get, result{[]int{100, 103, 200, 200}, []string{"", "", "ok", "ok"}, ""}},
		"HEAD, then GET":             {"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + ok, []string{"HEAD", "GET"}, result{[]int{200, 200}, []string{"", "ok"}, ""}},
		"HEAD with chunks, then GET": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + ok, []string{"HEAD", "GET"}, result{[]int{200, 200}, []string{"", "ok"}, ""}},
		"204 and 304":                {"HTTP/1.1 204 X\r\n\r\nHTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n" + ok, []string{"GET", "GET", "GET"}, result{[]int{204, 304, 200}, []string{"", "", "ok"}, ""}},
		"chunks, then a length":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n00A\r\n0123456789\r\n0\r\nX: y\r\n\r\n" + ok, get, result{[]int{200, 200}, []string{"a0123456789", "ok"}, ""}},
		"until the end":              {"HTTP/1.0 200 OK\r\n\r\nall\r\n\x00the rest", get[:1], result{[]int{200}, []string{"all\r\n\x00the rest"}, ""}},
		"broken second answer":       {ok + "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", get, result{[]int{200}, []string{"ok"}, "status_line"}},
		"bytes after an answer":      {ok + "spam\r\n\r\n", get, result{[]int{200}, []string{"ok"}, "status_line"}},
		"body of an answer to HEAD":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nspam\r\n\r\n", []string{"HEAD", "GET"}, result{[]int{200}, []string{""}, "status_line"}},
		"empty line before a status": {"\r\n" + ok, get, result{nil, nil, "status_line"}},
		"too long a line":            {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", MaxHeadBytes), get, result{nil, nil, "size"}},
		"too many lines":             {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxHeadLines), get, result{nil, nil, "size"}},
		"too long a size of a chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("y", maxChunkLineBytes), get, result{nil, nil, "size"}},
		// The limit of net/http is lower.
		"too long a trailer":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("y", MaxHeadBytes), get, result{nil, nil, "http: suspiciously long trailer after chunked body"}},
		"ends within a head":  {"HTTP/1.1 200 OK\r\nX: y", get, result{nil, nil, "unexpected EOF"}},
		"ends within a body":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsp", get, result{nil, nil, "unexpected EOF"}},
		"ends within a chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsp", get, result{nil, nil, "unexpected EOF"}},
	}
	for name, test := range tests {
		for how, source := range map[string]io.Reader{
			"at once": strings.NewReader(test.text), "byte by byte": iotest.OneByteReader(strings.NewReader(test.text)),
			"halves": iotest.HalfReader(strings.NewReader(test.text)), "last bytes with the end": iotest.DataErrReader(strings.NewReader(test.text)),
		} {
			t.Run(name+"/"+how, func(t *testing.T) {
				answers, problem := readAnswers(source, test.methods...)
				got := result{Problem: problem}
				for _, a := range answers {
					got.Statuses, got.Bodies = append(got.Statuses, a.Status), append(got.Bodies, a.Body)
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// TestNothingAfterBreak guards against bytes that are passed on after an answer has
// broken the grammar.
func TestNothingAfterBreak(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\n"
	r := newAnswerReader(strings.NewReader(begin + "X Y: z\r\n\r\n"))
	got, err := io.ReadAll(r)
	if broken, ok := Broken(err); !ok || broken.Part != FieldName {
		t.Errorf("error %v, want one about the name of a field", err)
	}
	if diff := cmp.Diff(begin+"X Y: z\r", string(got)); diff != "" {
		t.Error(diff)
	}
	if n, err := r.Read(make([]byte, 10)); n != 0 || describe(err) != "field_name" {
		t.Errorf("a further read returned %d bytes and %v", n, err)
	}
	if err := r.explain(io.EOF); err != io.EOF {
		t.Errorf("the end of a complete body is reported as %v", err)
	}
}

// TestMemory guards against a server that sends without end and fills the memory.
func TestMemory(t *testing.T) {
	tests := map[string]string{
		"line":            "x",
		"fields":          "X: y\r\n",
		"interim heads":   "\r\nHTTP/1.1 103 X\r\n",
		"sizes of chunks": "\r\n1\r\na",
	}
	begins := map[string]string{"sizes of chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na"}
	for name, endless := range tests {
		t.Run(name, func(t *testing.T) {
			begin := begins[name]
			if begin == "" {
				begin = "HTTP/1.1 103 X\r\n"
			}
			r := newAnswerReader(strings.NewReader(begin + strings.Repeat(endless, 1<<20)))
			io.Copy(io.Discard, r)
			if cap(r.parser.line) > 2*MaxHeadBytes {
				t.Errorf("%d bytes are held", cap(r.parser.line))
			}
		})
	}
}

// FuzzReader guards against a head that breaks the grammar and is parsed all the same,
// against verdicts that depend on how the bytes arrive, and against an answer that the
// parser above delimits in another way.
func FuzzReader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 X\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 103 \r\nLink: </a>\r\n\r\nHTTP/1.1 200 \xe9\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.0 000 X\r\nX Y: z\nContent-Length: 1\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		methods := slices.Repeat([]string{method}, 4)
		atOnce, problem := readAnswers(bytes.NewReader(data), methods...)
		byByte, byByteProblem := readAnswers(iotest.OneByteReader(bytes.NewReader(data)), methods...)
		if diff := cmp.Diff(atOnce, byByte); diff != "" {
			t.Error(diff)
		}
		if (problem == "") != (byByteProblem == "") {
			t.Errorf("%q at once, %q byte by byte", problem, byByteProblem)
		}
		for _, a := range atOnce {
			if a.Status < minStatus || a.Status > maxStatus {
				t.Errorf("status %d", a.Status)
			}
			for name, values := range a.Header {
				for _, value := range values {
					if err := CheckField(name, value); err != nil {
						t.Error(err)
					}
				}
			}
		}
	})
}

// BenchmarkReader measures what the judgement of a usual answer costs.
func BenchmarkReader(b *testing.B) {
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 80, strings.Repeat("x", 80)), 28) + "0\r\n\r\n"
	buffer := make([]byte, 4096)
	for name, judged := range map[string]bool{"judged": true, "not judged": false} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				var r io.Reader = strings.NewReader(text)
				if judged {
					r = newAnswerReader(r)
				}
				for {
					if _, err := r.Read(buffer); err != nil {
						break
					}
				}
			}
		})
	}
}
