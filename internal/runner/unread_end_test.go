//go:build linux

package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/pipeliner"
)

// Only Linux reports the end of a connection behind unread bytes.

const (
	// pipelineDepth is the number of requests of a connection in progress where requests
	// are read ahead.
	pipelineDepth = 8
	// laterDelay is the time after which a caller sends more behind its request.
	laterDelay = 120 * time.Millisecond
	// slowTargetSlots are enough for all requests that a caller sends at once.
	slowTargetSlots = 2000
)

// serveCallers serves a handler like the callers' listener of a node, where up to depth
// requests of a connection are in progress at once.
func serveCallers(t *testing.T, handler http.Handler, depth int) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	heads := acceptor.NewBudget(acceptor.MinHeadMemory)
	limited := acceptor.New(acceptor.Options{
		Connections: 100,
		Budget:      heads,
		Registry:    registry,
		Log:         zerolog.Nop(),
	})
	ahead := pipeliner.New(pipeliner.Options{
		Depth:    depth,
		Budget:   heads,
		Leaving:  func() bool { return false },
		Registry: registry,
	})
	server, watched := newTestServer(t, ahead.Wrap(raw), handler)
	listener := limited.Wrap(watched, "callers")
	ahead.Attach(server)
	listener.Protect(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return raw.Addr().String()
}

// leaving are the ways in which a caller leaves.
var leaving = map[string]func(conn *net.TCPConn) error{
	"close": (*net.TCPConn).Close,
	"half":  (*net.TCPConn).CloseWrite,
	"reset": func(conn *net.TCPConn) error {
		_ = conn.SetLinger(0)
		return conn.Close()
	},
}

// TestDepartedCallerThatSentMore guards against targets that work on for callers that have
// left because bytes behind their request hide the end of the connection (GONE).
func TestDepartedCallerThatSentMore(t *testing.T) {
	const get = "GET /probe HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, more := range map[string]struct {
		atOnce, later string
	}{
		"request":       {atOnce: get},
		"later":         {later: get},
		"two":           {atOnce: get, later: get},
		"post":          {atOnce: "POST /probe HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("x", 600)},
		"half":          {atOnce: "GET /pro"},
		"blank":         {later: "\r\n"},
		"many":          {atOnce: strings.Repeat(get, 1000)},
		"post-and-many": {atOnce: "POST /probe HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", later: strings.Repeat(get, 1000)},
	} {
		for _, depth := range []int{1, pipelineDepth} {
			for leave, end := range leaving {
				t.Run(fmt.Sprintf("%s/%d/%s", name, depth, leave), func(t *testing.T) {
					t.Parallel()
					f := newDepartureFixture(t, slowTargetSlots)
					raw, err := net.Dial("tcp", serveCallers(t, f.near, depth))
					f.is.NoErr(err)
					conn, ok := raw.(*net.TCPConn)
					f.is.True(ok)
					defer func() { _ = conn.Close() }()
					_, err = io.WriteString(conn, get+more.atOnce)
					f.is.NoErr(err)
					f.is.True(f.waitFor(5*time.Second, func() bool { return f.running.Load() > 0 }))
					time.Sleep(laterDelay)
					_, err = io.WriteString(conn, more.later)
					f.is.NoErr(err)
					time.Sleep(laterDelay)
					f.is.True(f.running.Load() > 0) // the target works while the caller waits
					f.is.NoErr(end(conn))
					f.is.True(f.waitFor(departureLimit, func() bool { return f.running.Load() == 0 }))
				})
			}
		}
	}
}
