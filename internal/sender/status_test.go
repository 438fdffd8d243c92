package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// smuggled is a response within the body of another one.
const smuggled = "HTTP/1.1 200 OK\r\nTest-Id: a\r\nContent-Length: 2\r\n\r\nno"

// TestInvalidStatus guards against a status line that is no final response's, whose
// response is passed on, whose body is taken for the response, or which makes the call
// wait until its deadline. The peer keeps its connection open.
func TestInvalidStatus(t *testing.T) {
	const timeout = 2 * time.Second
	statuses := []string{"000 None", "000", "099 Low", "+20 OK", "600 High", "999 High", "101 Switching Protocols", "200 O\x00K", "200 O\x01K", "200 O\rK", "200 O\x1bK", "200 O\x7fK"}
	heads := map[string]string{}
	for _, status := range statuses {
		heads[status] = fmt.Sprintf("HTTP/1.1 %s\r\nTest-Id: a\r\nContent-Length: %d\r\n\r\n%s", status, len(smuggled), smuggled)
		heads[status+", no body"] = fmt.Sprintf("HTTP/1.1 %s\r\nTest-Id: a\r\nContent-Length: 0\r\n\r\n", status)
	}
	heads["100 with a body"] = fmt.Sprintf("HTTP/1.1 100 Continue\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled)
	heads["103 in chunks"] = fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n%s", smuggled)
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := readID(reader); err == nil {
					_, _ = io.WriteString(conn, head)
					_, _ = reader.ReadByte() // until the connection is closed
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
			is.NoErr(err)
			in.Header.Set(idHeader, "a")
			transport := newTestTransport()
			response, outcome, err := Send(transport, Prepare(ctx, in, address, http.NoBody, 0))
			if err == nil {
				_ = response.Body.Close()
				t.Fatalf("status %d is taken for the response", response.StatusCode)
			}
			is.Equal(outcome, fireflymoor.Unknown)
			is.NoErr(ctx.Err()) // before the deadline
			is.True(transport.take(address) == nil)
		})
	}
}

// TestInformationalResponses checks that responses before the final one are skipped.
func TestInformationalResponses(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readID(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
		writeResponse(conn, id, "body")
	})
	body, _, err := send(t, newTestTransport(), address, "a")
	is.NoErr(err)
	is.Equal(body, "body")
}
