package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/acceptor"
)

// answerer starts a target that sends a response to each request, in parts of a number
// of bytes.
func answerer(t *testing.T, response string, part int) string {
	t.Helper()
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := readID(reader); err != nil {
				return
			}
			for rest := response; rest != ""; {
				n := min(part, len(rest))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}
	})
	return address
}

// get sends a request and returns the response with its body open.
func get(t *testing.T, transport *Transport, address string) (*http.Response, fireflymoor.Outcome, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
	is.New(t).NoErr(err)
	return Send(transport, Prepare(ctx, in, address, http.NoBody, 0))
}

// shortLines returns a head with many short lines, and a body.
func shortLines(count int) string {
	b := &strings.Builder{}
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n")
	for i := range count {
		_, _ = fmt.Fprintf(b, "h%d:\n", i)
	}
	return b.String() + "\r\nbody"
}

// TestHeadsOfResponsesAreCharged makes several targets send heads of legal size with
// many short lines at the same time. Their memory was not bounded. Ordinary responses
// are still delivered, and large ones after the others were closed.
func TestHeadsOfResponsesAreCharged(t *testing.T) {
	is := is.New(t)
	budget := acceptor.NewBudget(acceptor.MinHeadMemory)
	transport := NewTransport((&net.Dialer{}).DialContext, time.Minute, WithBudget(budget))
	open := []*http.Response{}
	refused := 0
	for range 10 {
		response, outcome, err := get(t, transport, answerer(t, shortLines(8000), 1<<20))
		if err != nil {
			is.Equal(outcome, fireflymoor.Unknown)
			refused++
			continue
		}
		open = append(open, response)
	}
	is.True(refused > 0)
	is.True(len(open) > 0)
	is.True(budget.Used() <= acceptor.MinHeadMemory/2)
	ordinary, _, err := get(t, transport, answerer(t, shortLines(10), 1<<20))
	is.NoErr(err)
	for _, response := range append(open, ordinary) {
		_, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.Equal(budget.Used(), int64(0))
	response, _, err := get(t, transport, answerer(t, shortLines(8000), 1<<20))
	is.NoErr(err)
	_ = response.Body.Close()
}

// TestRequestsDoNotCrowdOutResponses fills the budget with requests. An ordinary
// response must still be delivered, because its call has run.
func TestRequestsDoNotCrowdOutResponses(t *testing.T) {
	is := is.New(t)
	budget := acceptor.NewBudget(1 << 20)
	for range 32 {
		is.True(budget.NewCharge("client").Resize(32 << 10))
	}
	is.True(!budget.NewCharge("client").Resize(1))
	transport := NewTransport((&net.Dialer{}).DialContext, time.Minute, WithBudget(budget))
	response, _, err := get(t, transport, answerer(t, shortLines(10), 1<<20))
	is.NoErr(err)
	_ = response.Body.Close()
}

// TestOnlyHeadsAreCharged checks that neither the lines of a body nor informational
// responses change what the head of a response costs, however its bytes are divided
// among reads and on a connection that is used again.
func TestOnlyHeadsAreCharged(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
	cost := acceptor.NewBudget(acceptor.MinHeadMemory)
	is.True(cost.NewCharge("").AddHead(len(head), 3))
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"
	both := acceptor.NewBudget(acceptor.MinHeadMemory)
	is.True(both.NewCharge("").AddHead(len(head)+len(hints), 6))
	for _, part := range []int{1, 10, 1 << 20} {
		for begin, expected := range map[string]int64{"": cost.Used(), hints: both.Used()} {
			budget := acceptor.NewBudget(acceptor.MinHeadMemory)
			transport := NewTransport((&net.Dialer{}).DialContext, time.Minute, WithBudget(budget))
			address := answerer(t, begin+head+strings.Repeat("\n", 2000), part)
			for range 2 {
				response, _, err := get(t, transport, address)
				is.NoErr(err)
				is.Equal(budget.Used(), expected)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(budget.Used(), int64(0))
			}
		}
	}
}
