package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	testTimeout  = 5 * time.Second
	plainRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	bothLengths  = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
)

// site is an HTTP server behind a Listener. Requests for /hold wait until release is
// closed.
type site struct {
	listener *Listener
	budget   *Budget
	release  chan struct{}
	holding  chan struct{}
	served   atomic.Int64
}

func newSite(t *testing.T, connections int, memory int64) *site {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &site{
		budget:  NewBudget(memory),
		release: make(chan struct{}),
		holding: make(chan struct{}, 100),
	}
	a := New(Options{
		Connections: connections,
		Budget:      s.budget,
		Registry:    prometheus.NewRegistry(),
		Log:         zerolog.Nop(),
	})
	s.listener = a.Wrap(raw, "test")
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			s.served.Add(1)
			if request.URL.Path == "/hold" {
				s.holding <- struct{}{}
				<-s.release
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(w, "ok")
		}),
		ReadHeaderTimeout: testTimeout,
		Protocols:         &http.Protocols{},
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	s.listener.Protect(server)
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// client is a connection to a site.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *site) dial(t *testing.T, text string) *client {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	return &client{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

// status reads a response and returns its status, or 0 if the connection was closed.
func (c *client) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// hasIdle waits until a connection has no request in progress. The server records that
// after it has sent the response.
func (s *site) hasIdle() bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.listener.lock.Lock()
		idle := s.listener.waiting.Len() > 0
		s.listener.lock.Unlock()
		if idle {
			return true
		}
	}
	return false
}

// isReleased waits until the budget is not used.
func (s *site) isReleased() bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.budget.Used() == 0 {
			return true
		}
	}
	return false
}

func shortLines(count int) string {
	b := &strings.Builder{}
	for i := range count {
		_, _ = fmt.Fprintf(b, "h%d:\r\n", i)
	}
	return b.String()
}

// TestPipelinedRequests sends several requests at once, which the server reads together.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10, MinHeadMemory)
	c := s.dial(t, strings.Repeat(plainRequest, 5))
	for range 5 {
		is.Equal(c.status(), http.StatusOK)
	}
	is.True(s.isReleased())
	_, err := io.WriteString(c, plainRequest)
	is.NoErr(err)
	is.Equal(c.status(), http.StatusOK)
}

// TestRequestWithBothLengthsIsTheLast checks that no request is served after one with
// Content-Length and Transfer-Encoding on the same connection, also if the server
// reads it together with the request before it.
func TestRequestWithBothLengthsIsTheLast(t *testing.T) {
	for _, before := range []int{0, 1, 2} {
		is := is.New(t)
		s := newSite(t, 10, MinHeadMemory)
		c := s.dial(t, strings.Repeat(plainRequest, before)+bothLengths+plainRequest)
		for range before + 1 {
			is.Equal(c.status(), http.StatusOK)
		}
		is.Equal(c.status(), 0)
		is.Equal(s.served.Load(), int64(before+1))
	}
}

// TestRefusedHeads sends header sections that the limits do not allow. They must get
// status 503 or a closed connection, must not be served, and leave no charge.
func TestRefusedHeads(t *testing.T) {
	for name, text := range map[string]string{
		"many lines":              "GET / HTTP/1.1\r\nHost: x\r\n" + shortLines(3500) + "\r\n",
		"lines after the preface": "PRI * HTTP/2.0\r\n" + shortLines(3500) + "\r\n",
		"empty lines":             strings.Repeat("\r\n", 1000) + plainRequest,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 10, 1<<20)
			status := s.dial(t, text).status()
			is.True(status == http.StatusServiceUnavailable || status == 0)
			is.Equal(s.served.Load(), int64(0))
			is.True(s.isReleased())
			is.Equal(s.dial(t, plainRequest).status(), http.StatusOK)
		})
	}
}

// TestPipelinedHeadIsCharged sends a request with many lines that the server reads
// together with the one before it. Its header section was not charged.
func TestPipelinedHeadIsCharged(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10, 256<<10)
	c := s.dial(t, plainRequest+"GET / HTTP/1.1\r\nHost: x\r\n"+shortLines(400)+"\r\n")
	is.Equal(c.status(), http.StatusOK)
	is.Equal(c.status(), http.StatusServiceUnavailable)
	is.Equal(c.status(), 0)
	is.Equal(s.served.Load(), int64(1))
	is.True(s.isReleased())
}

// TestStreamsAreProtected checks that a connection with an HTTP/2 request in progress
// is not closed for another one, and that its header section is charged.
func TestStreamsAreProtected(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 256<<10)
	transport := &http.Transport{
		Protocols: &http.Protocols{},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	get := func(path string, lines int) (*http.Response, error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.listener.Addr().String()+path, http.NoBody)
		is.NoErr(err)
		for i := range lines {
			request.Header.Add(fmt.Sprint("h", i), "")
		}
		response, err := transport.RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return response, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := get("/hold", 10)
		done <- err
	}()
	<-s.holding
	is.True(s.budget.Used() > 10*lineCost)
	is.Equal(s.dial(t, plainRequest).status(), 0)
	response, err := get("/", 400)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	close(s.release)
	is.NoErr(<-done)
	is.True(s.isReleased())
}

// TestEvictionSparesRequests opens connections beyond the limit. Requests in progress
// must get their responses, also one that the server had read with the one before it.
func TestEvictionSparesRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, MinHeadMemory)
	hold := strings.Replace(plainRequest, "/", "/hold", 1)
	busy := s.dial(t, hold)
	<-s.holding
	pipelined := s.dial(t, plainRequest+hold)
	is.Equal(pipelined.status(), http.StatusOK)
	<-s.holding
	idle := s.dial(t, plainRequest)
	is.Equal(idle.status(), http.StatusOK)
	for range 10 {
		is.True(s.hasIdle())
		is.Equal(s.dial(t, plainRequest).status(), http.StatusOK)
	}
	is.Equal(idle.status(), 0)
	close(s.release)
	is.Equal(busy.status(), http.StatusOK)
	is.Equal(pipelined.status(), http.StatusOK)
}

// TestEvictedRequestDoesNotRun closes a connection for another one between the reading
// of its request and the call of the handler. Its response cannot be delivered, so that
// the request must not run.
func TestEvictedRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, MinHeadMemory)
	first, second := net.Pipe()
	defer func() { _ = second.Close() }()
	c := s.listener.admit(first)
	other, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	is.True(s.listener.admit(other) != nil)
	request := httptest.NewRequestWithContext(context.WithValue(t.Context(), connKey{}, c), http.MethodGet, "/", http.NoBody)
	recorder := httptest.NewRecorder()
	s.listener.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the request has run")
	})).ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.Equal(recorder.Header().Get("Fireflymoor-Outcome"), "not-run")
}

// begunConn is a connection whose next request's call may have begun.
type begunConn struct {
	net.Conn
	begun bool
}

// HasBegun is called by conn.
func (c *begunConn) HasBegun() bool {
	return c.begun
}

// TestEvictionSparesBegunCalls guards against calls that are lost because they began
// ahead of their turn, and their connection counts as idle between two responses.
func TestEvictionSparesBegunCalls(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, MinHeadMemory)
	left, right := net.Pipe()
	defer func() { _ = right.Close() }()
	inner := &begunConn{
		Conn:  left,
		begun: true,
	}
	accepted := s.listener.admit(inner)
	s.listener.connState(accepted, http.StateActive)
	s.listener.connState(accepted, http.StateIdle)
	other, _ := net.Pipe()
	is.Equal(s.listener.admit(other), nil) // there is no room
	inner.begun = false
	s.listener.connState(accepted, http.StateActive)
	s.listener.connState(accepted, http.StateIdle)
	is.True(s.listener.admit(other) != nil) // the idle one is closed
}
