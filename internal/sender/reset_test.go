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
	"golang.org/x/sys/unix"

	"github.com/fireflymoor/fireflymoor"
)

// brokenConn is a connection to a peer that responds to the head of a request. The first
// write after the response fails, and reads find the end of the stream while that write
// has yet to return.
type brokenConn struct {
	net.Conn
	response string
	writeErr error
	writes   int
	// begun is closed by the first write, and failed by the one that fails.
	begun, failed chan struct{}
}

// Write implements net.Conn.
func (c *brokenConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		close(c.begun)
		return len(p), nil
	}
	if c.writes == 2 {
		close(c.failed)
	}
	time.Sleep(20 * time.Millisecond) // the end of the stream is read meanwhile
	return 0, c.writeErr
}

// Read implements net.Conn.
func (c *brokenConn) Read(p []byte) (int, error) {
	if c.response != "" {
		<-c.begun
		n := copy(p, c.response)
		c.response = c.response[n:]
		return n, nil
	}
	<-c.failed
	return 0, io.EOF
}

// SetDeadline implements net.Conn.
func (c *brokenConn) SetDeadline(time.Time) error {
	return nil
}

// Close implements net.Conn.
func (c *brokenConn) Close() error {
	return nil
}

// upload sends a long request over a transport and returns the body of its response.
func upload(t *testing.T, transport *Transport, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	const length = 16 << 20 // more than the buffers of both sockets hold
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
	is.New(t).NoErr(err)
	content := io.NopCloser(strings.NewReader(strings.Repeat("x", length)))
	response, outcome, err := Send(transport, Prepare(ctx, in, address, content, length))
	if err != nil {
		is.New(t).Equal(outcome, fireflymoor.Unknown)
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		_, again := response.Body.Read(make([]byte, 1))
		is.New(t).Equal(again, err) // the error is not reported only once
	}
	return string(body), err
}

// TestResetDuringUpload guards against a part of a response without a length that is taken
// for the whole: the kernel had reported the reset to a write, whose result was not
// known yet when a read found the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	for name, tc := range map[string]struct {
		framing, body string
		err           error
		broken        bool
	}{
		"reset":                 {body: "part", err: unix.ECONNRESET, broken: true},
		"reset/no body":         {err: unix.ECONNRESET, broken: true},
		"reset/close":           {framing: "Connection: close\r\n", body: "part", err: unix.ECONNRESET, broken: true},
		"timeout":               {body: "part", err: unix.ETIMEDOUT, broken: true},
		"reset after the end":   {body: "body", err: unix.EPIPE},
		"reset/length":          {framing: "Content-Length: 4\r\n", body: "body", err: unix.ECONNRESET},
		"reset/length, cut off": {framing: "Content-Length: 5\r\n", body: "part", err: unix.ECONNRESET, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := &brokenConn{
				response: fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s", tc.framing, tc.body),
				writeErr: &net.OpError{Op: "write", Err: tc.err},
				begun:    make(chan struct{}),
				failed:   make(chan struct{}),
			}
			transport := NewTransport(func(context.Context, string, string) (net.Conn, error) { return raw, nil }, time.Minute)
			body, err := upload(t, transport, "peer")
			is.Equal(err != nil, tc.broken)
			if err == nil {
				is.Equal(body, tc.body)
			}
		})
	}
}

// TestHalfClosedPeer checks that a response without a length ends with its peer's side of
// the connection, although the peer never reads the request.
func TestHalfClosedPeer(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	defer close(done)
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-done
	})
	began := time.Now()
	body, err := upload(t, newTestTransport(), address)
	is.NoErr(err)
	is.Equal(body, "body")
	is.True(time.Since(began) < 2*time.Second) // not after the upload
}
