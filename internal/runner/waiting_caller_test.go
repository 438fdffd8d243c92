package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBrokenAnswerToWaitingCaller guards against a caller that waits until its deadline
// for the rest of an answer that broke off. It has yet to send the end of its upload.
func TestBrokenAnswerToWaitingCaller(t *testing.T) {
	const (
		length = 128 << 10
		unsent = 8 << 10
	)
	target := newRawTarget(t)
	path := newCallPathTo(t, target.address())
	check := func(host string, protocol int, framing, head string) func(t *testing.T) {
		return func(t *testing.T) {
			is := is.New(t)
			part := strings.Repeat("x", 30_704)
			if framing == "chunks" {
				part = chunk(part)
			}
			target.answer.Store(&rawAnswer{
				content: fmt.Sprintf(head, "200 OK") + part,
				delay:   20 * time.Millisecond,
			})
			conn, err := net.Dial("tcp", host)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(brokenCallTimeout)))
			_, err = fmt.Fprintf(conn, "POST /x HTTP/1.%d\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s",
				protocol, length, strings.Repeat("u", length-unsent))
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				is.True(err != nil || response.StatusCode == http.StatusBadGateway)
			}
			is.True(!isTimeout(err)) // the caller is still waiting
		}
	}
	for nodes, host := range path.hosts(t) {
		for framing, head := range brokenFramings {
			for _, protocol := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s/1.%d/%s", nodes, protocol, framing), check(host, protocol, framing, head))
			}
		}
	}
}
