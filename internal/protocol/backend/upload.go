package backend

import (
	"bufio"
	"fmt"
	"io"
)

// maxDirectBody is the size up to which a body is written before the answer is read. The
// buffers of a new connection have room for it, so that the write does not wait for the
// backend server.
const maxDirectBody = 16 << 10

// upload is the write of one request.
type upload struct {
	done    chan struct{}
	written int64 // set, as err, when done is closed
	err     error
}

// startUpload writes a request to a connection. A long one is written while its answer
// is read.
func startUpload(cn io.Writer, req *Request) *upload {
	u := &upload{done: make(chan struct{})}
	write := func() {
		defer close(u.done)
		w := countingWriter{Writer: cn}
		u.err = req.write(&w)
		u.written = w.n
	}
	if len(req.Body) <= maxDirectBody {
		write()
	} else {
		go write()
	}
	return u
}

// wait waits for the end of the write, which the close of its connection brings about.
// It returns the number of bytes that the kernel has accepted.
func (u *upload) wait() (written int64, err error) {
	<-u.done
	return u.written, u.err
}

// isComplete reports whether the whole request was written.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// countingWriter counts the bytes that were written.
type countingWriter struct {
	io.Writer
	n int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}

// write writes the complete request.
func (r *Request) write(w io.Writer) error {
	b := bufio.NewWriterSize(w, writeBufferSize)
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body) // Flush returns the error of any earlier write
	return b.Flush()
}
