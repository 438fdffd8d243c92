//go:build linux

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
)

// chunked returns a request whose body of some bytes is one chunk.
func chunked(method string, size int) string {
	return fmt.Sprintf("%s /probe HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		method, size, strings.Repeat("x", size))
}

// chunkSize is the size of a body that leaves bytes in the sockets of both nodes while
// its call waits, in bytes.
const chunkSize = 12000

// TestQueuedCallWithUnreadBody guards against calls that keep their place in the queue and
// reach their target after their callers have left, because a part of the body that has not
// been read hides the end of the connection (GONE).
func TestQueuedCallWithUnreadBody(t *testing.T) {
	const long = "POST /probe HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
	for name, request := range map[string]string{
		"GET":     chunked(http.MethodGet, chunkSize),
		"POST":    chunked(http.MethodPost, chunkSize),
		"part":    long + strings.Repeat("x", chunkSize),
		"long":    long + strings.Repeat("x", 99999),
		"request": chunked(http.MethodPost, chunkSize) + chunked(http.MethodPost, chunkSize),
	} {
		for node, forwarded := range map[string]bool{"far": false, "near": true} {
			for waitName, waited := range map[string]time.Duration{"new": 0, "queried": queriedTime} {
				for leave, end := range leaving {
					t.Run(strings.Join([]string{name, node, waitName, leave}, "/"), func(t *testing.T) {
						t.Parallel()
						f := newDepartureFixture(t, 1)
						handler := f.far
						if forwarded {
							handler = f.near
						}
						address := serveCallers(t, handler, pipelineDepth)
						blocking := f.send(address, http.MethodPost, "/block")
						defer func() { _ = blocking.Close() }()
						f.is.True(f.waitFor(5*time.Second, func() bool { return f.arrived[pathBlock].Load() == 1 }))
						raw, err := net.Dial("tcp", address)
						f.is.NoErr(err)
						conn, ok := raw.(*net.TCPConn)
						f.is.True(ok)
						defer func() { _ = conn.Close() }()
						_, err = io.WriteString(conn, request)
						f.is.NoErr(err)
						f.is.True(f.waitFor(5*time.Second, func() bool { return f.load() == 2 }))
						time.Sleep(waited)
						f.is.NoErr(end(conn))
						f.is.True(f.waitFor(departureLimit, func() bool { return f.load() == 1 })) // it gives up its place in the queue
						f.unblock()
						time.Sleep(settleTime)
						f.is.Equal(f.arrived[pathProbe].Load(), int64(0)) // the call of the departed caller is not sent
					})
				}
			}
		}
	}
}

// TestUnreadCallersThatLeft guards against calls that are sent to targets although their
// callers had left before a busy node read them, behind bytes that it would read later
// (GONE).
func TestUnreadCallersThatLeft(t *testing.T) {
	for name, request := range map[string]string{
		"GET":      chunked(http.MethodGet, chunkSize),
		"POST":     chunked(http.MethodPost, chunkSize),
		"requests": strings.Repeat("GET /probe HTTP/1.1\r\nHost: a\r\n\r\n", 2),
	} {
		t.Run(name, func(t *testing.T) {
			f := newDepartureFixture(t, 4*abandonedCallers)
			warm := f.send(serveHandler(t, f.near), http.MethodGet, "/warm")
			_, err := http.ReadResponse(bufio.NewReader(warm), nil)
			f.is.NoErr(err)
			f.is.NoErr(warm.Close())
			before := f.arrived[pathProbe].Load()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			f.is.NoErr(err)
			for range abandonedCallers {
				conn, err := net.Dial("tcp", listener.Addr().String())
				f.is.NoErr(err)
				_, err = io.WriteString(conn, request)
				f.is.NoErr(err)
				f.is.NoErr(conn.Close())
			}
			server, watched := newTestServer(t, listener, f.near)
			go func() { _ = server.Serve(watched) }()
			defer func() { _ = server.Close() }()
			time.Sleep(settleTime)
			f.is.Equal(f.arrived[pathProbe].Load(), before) // no call of a departed caller is sent
		})
	}
}
