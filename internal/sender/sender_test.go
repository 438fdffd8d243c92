package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// startClosingServer starts a server that responds to the first request of each
// connection, and closes the connection after it has read the second. It counts
// the requests that were read completely.
func startClosingServer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveOnce(conn net.Conn, requests *atomic.Int64) {
	defer func() {
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for responded := false; ; responded = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		if responded {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestNoAutomaticResend guards against automatic resends. The target reads a
// request on a reused connection and closes it without a response. In this case
// net/http may resend the request. Nothing must be sent twice, whatever the
// method, even with an idempotency key.
func TestNoAutomaticResend(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "body"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				address, requests := startClosingServer(t)
				transport := NewTransport((&net.Dialer{}).DialContext, time.Minute)
				send := func() (fireflymoor.Outcome, error) {
					in, err := http.NewRequestWithContext(context.Background(), method, "http://x/", http.NoBody)
					is.NoErr(err)
					in.Header.Set("Idempotency-Key", "key")
					in.Header.Set("X-Idempotency-Key", "key")
					out := Prepare(t.Context(), in, address, io.NopCloser(strings.NewReader(body)), int64(len(body)))
					response, outcome, err := Send(transport, out)
					if err == nil {
						_ = response.Body.Close()
					}
					return outcome, err
				}
				outcome, err := send()
				is.NoErr(err)
				is.Equal(outcome, fireflymoor.Answered)
				outcome, err = send()
				is.True(err != nil)
				is.Equal(outcome, fireflymoor.Unknown)
				is.Equal(requests.Load(), int64(2)) // each request was read once
			})
		}
	}
}

// TestNotRun checks that the outcome is NotRun if no connection can be opened.
func TestNotRun(t *testing.T) {
	is := is.New(t)
	in, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/", http.NoBody)
	is.NoErr(err)
	transport := NewTransport((&net.Dialer{}).DialContext, time.Minute)
	_, outcome, err := Send(transport, Prepare(t.Context(), in, "127.0.0.1:1", http.NoBody, 0))
	is.True(err != nil)
	is.Equal(outcome, fireflymoor.NotRun)
}
