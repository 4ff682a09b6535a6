package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// closedSideTimeout bounds the wait for the end of a connection.
const closedSideTimeout = 30 * time.Second

// FinalAnswer is an answer other than an interim one, as a caller gets it.
type FinalAnswer struct {
	Status int
	Header http.Header
	Body   string
	// Whole says that the body has not been broken off.
	Whole bool
}

// IsEmptySuccess reports whether a success says nothing, as the one does that net/http
// writes for a handler that returns without an answer.
func (a FinalAnswer) IsEmptySuccess() bool {
	return a.Status/100 == 2 && a.Status != http.StatusNoContent && a.Whole && a.Body == ""
}

// ClosedSide is a caller that sends its requests, closes its side of the connection for
// writing and reads on.
type ClosedSide struct {
	Address string
	// First is a request that is answered before the others are sent on the same
	// connection; empty for a fresh connection.
	First string
	// Requests are sent at once, with Body behind them.
	Requests, Body string
	// Delay is the time from the last byte to the close.
	Delay time.Duration
}

// Send returns the final answers up to the end of the connection. It fails if the
// connection does not end.
func (c ClosedSide) Send() ([]FinalAnswer, error) {
	conn, err := net.DialTimeout("tcp", c.Address, closedSideTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(closedSideTimeout))
	r := bufio.NewReader(conn)
	if c.First != "" {
		io.WriteString(conn, c.First)
		if _, err := readFinal(r); err != nil {
			return nil, fmt.Errorf("first request of the connection: %w", err)
		}
	}
	// The other side may refuse the requests before it has read them.
	if _, err := io.WriteString(conn, c.Requests+c.Body); err == nil {
		time.Sleep(c.Delay)
		conn.(*net.TCPConn).CloseWrite()
	}
	var answers []FinalAnswer
	for {
		a, err := readFinal(r)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return answers, fmt.Errorf("the connection has not ended: %w", err)
		}
		if err != nil {
			return answers, nil
		}
		answers = append(answers, a)
	}
}

// readFinal reads one final answer, and skips interim ones.
func readFinal(r *bufio.Reader) (FinalAnswer, error) {
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return FinalAnswer{}, err
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode >= http.StatusOK {
			return FinalAnswer{Status: res.StatusCode, Header: res.Header, Body: string(body), Whole: err == nil}, nil
		}
	}
}
