package detector

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// aheadSize is more than net/http and the pipeliner read ahead on a connection, in bytes.
const aheadSize = 32 << 10

// pathWatched is the path of a request that ends once two connections are watched.
const pathWatched = "/watched"

// watchedServer is a server with a Detector that runs, whose handler does not read the body
// of a request.
type watchedServer struct {
	*httptest.Server

	detector *Detector
	contexts chan context.Context
	release  chan struct{}
}

func newWatchedServer(t *testing.T, secure bool) *watchedServer {
	t.Helper()
	s := &watchedServer{
		detector: newDetector(t),
		contexts: make(chan context.Context),
		release:  make(chan struct{}),
	}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == pathWatched {
			s.contexts <- request.Context()
			waitUntil(func() bool { return s.detector.count() == 2 })
			return
		}
		select {
		case s.contexts <- request.Context():
		case <-s.release: // a request behind the one that the test looks at
		}
		<-s.release
	}))
	s.detector.Attach(s.Config)
	s.Listener = s.detector.Wrap(s.Listener)
	if secure {
		s.StartTLS()
	} else {
		s.Start()
	}
	ctx, stop := context.WithCancel(t.Context())
	go s.detector.Run(ctx)
	t.Cleanup(stop)
	t.Cleanup(s.Close)
	return s
}

func (s *watchedServer) dial(is *is.I) (net.Conn, *net.TCPConn) {
	raw, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	conn, ok := raw.(*net.TCPConn)
	is.True(ok)
	if s.TLS == nil {
		return conn, conn
	}
	secure := tls.Client(conn, &tls.Config{
		InsecureSkipVerify: true, //nolint:gosec // the certificate is the test's own
	})
	return secure, conn
}

// waitUntil reports whether a condition comes about within waitLimit.
func waitUntil(condition func() bool) bool {
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// TestEndBehindUnreadBytes guards against requests that go on without their callers because
// the end of the connection is behind bytes that nobody reads (GONE).
func TestEndBehindUnreadBytes(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n"
	sent := map[string]string{
		"nothing":  head + "\r\n",
		"body":     head + "Content-Length: 4\r\n\r\nbody",
		"chunks":   head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"part":     head + "Content-Length: 99\r\n\r\nbody",
		"request":  head + "\r\n" + head + "\r\n",
		"half":     head + "\r\nGET / HT",
		"many":     head + "\r\n" + strings.Repeat(head+"\r\n", aheadSize/len(head)),
		"upgrade":  head + "Connection: upgrade\r\nUpgrade: other\r\n\r\nbytes",
		"continue": head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
	}
	leave := map[string]func(conn *net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"half":  (*net.TCPConn).CloseWrite,
		"reset": func(conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		},
	}
	for _, secure := range []bool{false, true} {
		for sentName, text := range sent {
			for leaveName, leave := range leave {
				name := strings.Join([]string{map[bool]string{false: "plain", true: "tls"}[secure], sentName, leaveName}, "/")
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newWatchedServer(t, secure)
					defer close(s.release)
					conn, raw := s.dial(is)
					defer func() { _ = raw.Close() }()
					_, err := io.WriteString(conn, text)
					is.NoErr(err)
					ctx := <-s.contexts
					time.Sleep(20 * time.Millisecond)
					is.NoErr(ctx.Err()) // the caller waits
					is.True(!HasLeft(ctx))
					is.NoErr(leave(raw))
					is.True(waitUntil(func() bool { return HasLeft(ctx) }))
					is.True(waitUntil(func() bool { return ctx.Err() != nil })) // the request is canceled
				})
			}
		}
	}
}

// TestConnectionsAreForgotten guards against memory that is held for connections that have
// ended, by either side, and against the end of one that cancels the requests of another.
func TestConnectionsAreForgotten(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	is := is.New(t)
	s := newWatchedServer(t, false)
	defer close(s.release)
	stays, raw := s.dial(is)
	defer func() { _ = raw.Close() }()
	_, err := io.WriteString(stays, head)
	is.NoErr(err)
	ctx := <-s.contexts
	_, err = io.WriteString(stays, head)
	is.NoErr(err)
	is.True(waitUntil(func() bool { return s.detector.count() == 1 }))
	for i := range 50 {
		conn, _ := s.dial(is)
		path, more := "/", head
		if i%2 == 0 {
			// The server ends the connection once the request has ended.
			path, more = pathWatched, "no request\r\n\r\n"
		}
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		<-s.contexts
		_, err = io.WriteString(conn, more)
		is.NoErr(err)
		if path == pathWatched {
			_, err = io.Copy(io.Discard, conn)
			is.NoErr(err)
		} else {
			is.True(waitUntil(func() bool { return s.detector.count() == 2 }))
		}
		is.NoErr(conn.Close())
		is.True(waitUntil(func() bool { return s.detector.count() == 1 }))
	}
	is.NoErr(ctx.Err()) // its caller waits
}

// TestOrdinaryRequestsAreNotWatched guards against the cost of watching connections whose
// end net/http notices by itself.
func TestOrdinaryRequestsAreNotWatched(t *testing.T) {
	is := is.New(t)
	d := newDetector(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(2 * watchDelay)
	}))
	d.Attach(server.Config)
	server.Listener = d.Wrap(server.Listener)
	server.Start()
	defer server.Close()
	for range 2 {
		response, err := server.Client().Get(server.URL)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		response, err = server.Client().Post(server.URL, "text/plain", strings.NewReader("body"))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	d.lock.Lock()
	last := d.last
	d.lock.Unlock()
	is.Equal(last, uint64(0)) // none was ever watched
}
