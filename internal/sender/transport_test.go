package sender

import (
	"bufio"
	"context"
	"fmt"
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

const idHeader = "Test-Id"

// listen starts a server that handles each connection with serve. It counts the
// connections.
func listen(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) (address string, opened *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	opened = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), opened
}

func newTestTransport() *Transport {
	return NewTransport((&net.Dialer{}).DialContext, time.Minute, WithResponseMatcher(func(request, response http.Header) bool {
		return request.Get(idHeader) == response.Get(idHeader)
	}))
}

// send sends a POST request with an id and returns the body of the response.
func send(t *testing.T, transport *Transport, address, id string) (string, fireflymoor.Outcome, error) {
	t.Helper()
	in, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/", http.NoBody)
	is.New(t).NoErr(err)
	in.Header.Set(idHeader, id)
	response, outcome, err := Send(transport, Prepare(t.Context(), in, address, io.NopCloser(strings.NewReader("body")), 4))
	if err != nil {
		return "", outcome, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(body), outcome, err
}

// readID reads a request and returns its id.
func readID(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get(idHeader), nil
}

// writeResponse writes a response with the id and body.
func writeResponse(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// TestLateResponse has a target respond to each request twice, the second time
// after the next request has arrived. The next request must get the response
// with its own id.
func TestLateResponse(t *testing.T) {
	is := is.New(t)
	address, opened := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		previous := ""
		for {
			id, err := readID(reader)
			if err != nil {
				return
			}
			if previous != "" {
				writeResponse(conn, previous, "late")
			}
			previous = id
			writeResponse(conn, id, "own "+id)
		}
	})
	transport := newTestTransport()
	for _, id := range []string{"1", "2", "3"} {
		body, _, err := send(t, transport, address, id)
		is.NoErr(err)
		is.Equal(body, "own "+id)
	}
	is.Equal(opened.Load(), int64(1))
}

// TestUnsolicitedResponse has a target send another response on an idle
// connection. That connection must not be reused.
func TestUnsolicitedResponse(t *testing.T) {
	is := is.New(t)
	extra := make(chan struct{})
	address, opened := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readID(reader)
		if err != nil {
			return
		}
		writeResponse(conn, id, "own "+id)
		<-extra
		writeResponse(conn, id, "late")
		_, _ = readID(reader)
	})
	transport := newTestTransport()
	_, _, err := send(t, transport, address, "1")
	is.NoErr(err)
	extra <- struct{}{}
	time.Sleep(20 * time.Millisecond) // wait for the response to arrive
	close(extra)
	body, _, err := send(t, transport, address, "2")
	is.NoErr(err)
	is.Equal(body, "own 2")
	is.Equal(opened.Load(), int64(2))
}

// TestClosedIdleConnection has a target close an idle connection. The next
// request must use a new connection instead of failing, even if it must not be
// resent.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 2)
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readID(reader)
		if err != nil {
			return
		}
		writeResponse(conn, id, "own "+id)
		_ = conn.Close()
		closed <- struct{}{}
	})
	transport := newTestTransport()
	for _, id := range []string{"1", "2"} {
		body, outcome, err := send(t, transport, address, id)
		is.NoErr(err)
		is.Equal(outcome, fireflymoor.Answered)
		is.Equal(body, "own "+id)
		<-closed
		time.Sleep(20 * time.Millisecond) // wait for the close to arrive
	}
}

// TestCancelled cancels a request while its target processes it. The connection
// must be closed, so that the target can stop.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := listen(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = readID(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
	is.NoErr(err)
	_, outcome, err := Send(newTestTransport(), Prepare(ctx, in, address, http.NoBody, 0))
	is.True(err != nil)
	is.Equal(outcome, fireflymoor.Unknown)
	<-closed
}

// TestKeepAlive checks that the timeout of a Keep-Alive header is parsed. The
// transport needs it to give up a connection before the peer closes it.
func TestKeepAlive(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	header.Set("Keep-Alive", "timeout=1, max=100")
	is.Equal(keepAlive(header), time.Second)
	header.Set("Keep-Alive", "max=100")
	is.Equal(keepAlive(header), time.Duration(0))
}

// TestClosedTransport closes a transport while a connection is in use. The
// connection must be closed at the end of its response.
func TestClosedTransport(t *testing.T) {
	is := is.New(t)
	transport := newTestTransport()
	address, _ := listen(t, func(conn net.Conn, reader *bufio.Reader) {
		id, err := readID(reader)
		if err != nil {
			return
		}
		transport.Close()
		writeResponse(conn, id, "body")
		_, _ = reader.ReadByte()
	})
	body, _, err := send(t, transport, address, "a")
	is.NoErr(err)
	is.Equal(body, "body")
	is.True(transport.take(address) == nil)
}
