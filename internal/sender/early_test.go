package sender

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCancelAfterEarlyResponse guards against a request whose end is cut off: its
// peer responded before it had read all, and the caller left after it had sent all and
// got the response. The connections have no buffers, so that the peer has yet to read
// the end of the request when its context is canceled.
func TestCancelAfterEarlyResponse(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), 2*maxInlineBody/16)
	for name, length := range map[string]int64{"length": int64(len(content)), "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			transport := NewTransport(func(context.Context, string, string) (net.Conn, error) { return near, nil }, time.Second)
			canceled := make(chan struct{})
			received := make(chan []byte, 1)
			go func() {
				request, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				<-canceled
				body, _ := io.ReadAll(request.Body)
				received <- body
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://peer/x", io.MultiReader(bytes.NewReader(content)))
			is.NoErr(err)
			request.ContentLength = length
			response, err := transport.RoundTrip(request)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(IsSending(response))
			cancel()
			time.AfterFunc(20*time.Millisecond, func() { close(canceled) })
			AwaitSent(response)
			_ = response.Body.Close()
			is.True(bytes.Equal(<-received, content))
		})
	}
}
