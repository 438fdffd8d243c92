package administrator

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

// TestBrokenResponses checks that a part of a response is never taken for the outcome of a
// change, whose request may still be being sent when its connection is reset.
func TestBrokenResponses(t *testing.T) {
	const outcome = `{"number":12,"hash":"abcd"}`
	const cut = len(outcome) - 1
	for name, content := range map[string]string{
		"no length":  "HTTP/1.1 200 OK\r\n\r\n" + outcome[:cut],
		"empty":      "HTTP/1.1 200 OK\r\n\r\n",
		"length":     fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(outcome)+1, outcome),
		"chunks":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(outcome), outcome),
		"status 000": fmt.Sprintf("HTTP/1.1 000 None\r\nContent-Length: %d\r\n\r\n%s", len(outcome), outcome),
		"blank":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s", len(outcome), outcome[:cut]),
	} {
		for _, size := range []int{0, 4 << 20} {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				is := is.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer func() { _ = listener.Close() }()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, content)
					time.Sleep(5 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}()
				values := strings.Repeat("v", size)
				_, err = New([]string{listener.Addr().String()}, "token", time.Second).Change(t.Context(), ChangeRequest{
					Team:   "team",
					Values: &values,
				})
				is.True(err != nil)
			})
		}
	}
}
