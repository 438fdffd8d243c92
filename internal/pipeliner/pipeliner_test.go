package pipeliner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
)

// waitLimit bounds the waits for conditions that must come about.
const waitLimit = 5 * time.Second

// fixture is a server that serves pipelined requests, and one connection to it.
type fixture struct {
	is      *is.I
	conn    net.Conn
	reader  *bufio.Reader
	leaving atomic.Bool
	served  *Pipeliner
	server  *http.Server
	budget  *acceptor.Budget
	log     logBuffer
}

// logBuffer holds the log of a server.
type logBuffer struct {
	lock sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

func newFixture(t *testing.T, depth int, handler http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{
		is: is.New(t),
	}
	f.budget = acceptor.NewBudget(acceptor.MinHeadMemory)
	registry := prometheus.NewRegistry()
	f.served = New(Options{
		Depth:    depth,
		Budget:   f.budget,
		Leaving:  f.leaving.Load,
		Registry: registry,
	})
	limited := acceptor.New(acceptor.Options{
		Connections: 10,
		Budget:      f.budget,
		Registry:    registry,
		Log:         zerolog.Nop(),
	})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.server = &http.Server{
		Handler:  handler,
		ErrorLog: log.New(&f.log, "", 0),
	}
	listener := limited.Wrap(f.served.Wrap(raw), "callers")
	f.served.Attach(f.server)
	listener.Protect(f.server)
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() { _ = f.server.Close() })
	f.conn, err = net.Dial("tcp", raw.Addr().String())
	f.is.NoErr(err)
	f.is.NoErr(f.conn.SetDeadline(time.Now().Add(2 * waitLimit)))
	f.reader = bufio.NewReader(f.conn)
	t.Cleanup(func() { _ = f.conn.Close() })
	return f
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

func (f *fixture) send(text string) {
	_, err := io.WriteString(f.conn, text)
	f.is.NoErr(err)
}

// read reads a response and returns its status and body.
func (f *fixture) read() (int, string) {
	response, err := http.ReadResponse(f.reader, nil)
	f.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	return response.StatusCode, string(body)
}

// pipeline makes the server take the connection for one that pipelines.
func (f *fixture) pipeline() {
	f.send(get("/warm") + get("/warm"))
	f.read()
	f.read()
}

// echo responds with the path.
func echo(w http.ResponseWriter, request *http.Request) {
	_, _ = io.WriteString(w, request.URL.Path)
}

// TestPipelinedCallsRunConcurrently guards against requests that wait for the responses
// to those before them on their connection: all run at once, and the responses come in
// order although the last one ends first.
func TestPipelinedCallsRunConcurrently(t *testing.T) {
	var together sync.WaitGroup
	together.Add(4)
	f := newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/warm" {
			together.Done()
			together.Wait()
		}
		echo(w, request)
	})
	f.pipeline()
	f.send(get("/0") + get("/1"))
	f.send(get("/2"))
	f.send(get("/3"))
	for i := range 4 {
		_, body := f.read()
		f.is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// TestDepthIsBounded guards against a connection that begins any number of calls.
func TestDepthIsBounded(t *testing.T) {
	var running, most atomic.Int64
	f := newFixture(t, 3, func(w http.ResponseWriter, request *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(time.Millisecond)
		echo(w, request)
	})
	f.pipeline()
	for i := range 30 {
		f.send(get(fmt.Sprintf("/%d", i)))
	}
	for i := range 30 {
		_, body := f.read()
		f.is.Equal(body, fmt.Sprintf("/%d", i))
	}
	f.is.True(most.Load() > 1)
	f.is.True(most.Load() <= 3)
}

// TestUnsafeRequestWaitsForItsTurn guards against requests that may change something and
// run before those ahead of them, and against bodies that are taken for requests.
func TestUnsafeRequestWaitsForItsTurn(t *testing.T) {
	var order []string
	var lock sync.Mutex
	f := newFixture(t, 8, func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		time.Sleep(time.Millisecond)
		lock.Lock()
		order = append(order, request.Method+request.URL.Path)
		lock.Unlock()
		_, _ = io.WriteString(w, request.URL.Path+string(body))
	})
	f.pipeline()
	inner := get("/smuggled")
	f.send(get("/0") + fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner) + get("/2"))
	for _, want := range []string{"/0", "/1" + inner, "/2"} {
		_, body := f.read()
		f.is.Equal(body, want)
	}
	f.is.Equal(strings.Join(order[2:], " "), "GET/0 POST/1 GET/2")
}

// TestCallerLeaves guards against calls that go on after their caller has left, among
// them those that began ahead of their turn.
func TestCallerLeaves(t *testing.T) {
	var running atomic.Int64
	f := newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/warm" {
			return
		}
		running.Add(1)
		<-request.Context().Done()
		running.Add(-1)
	})
	f.pipeline()
	f.send(get("/0") + get("/1") + get("/2"))
	f.waitFor(func() bool { return running.Load() == 3 })
	f.is.NoErr(f.conn.Close())
	f.waitFor(func() bool { return running.Load() == 0 })
}

func (f *fixture) waitFor(condition func() bool) {
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.is.Fail() // the condition comes about
		}
	}
}

// TestBrokenResponse guards against the loss of responses behind one that breaks off:
// their calls have run.
func TestBrokenResponse(t *testing.T) {
	f := newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		echo(w, request)
		if request.URL.Path == "/0" {
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	})
	f.pipeline()
	f.send(get("/0") + get("/1"))
	status, _ := f.read()
	f.is.Equal(status, http.StatusBadGateway)
	_, body := f.read()
	f.is.Equal(body, "/1")
}

// TestLongResponses guards against responses that are cut or mixed because they are too
// long to be held.
func TestLongResponses(t *testing.T) {
	f := newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		for range 40 {
			_, _ = io.WriteString(w, strings.Repeat(request.URL.Path, 2048))
		}
	})
	f.pipeline()
	f.send(get("/0") + get("/1") + get("/2"))
	for i := range 3 {
		_, body := f.read()
		f.is.Equal(body, strings.Repeat(fmt.Sprintf("/%d", i), 40*2048))
	}
	f.is.Equal(f.served.held.Load(), int64(0))
}

// TestLeavingNode guards against calls whose responses are lost because the connection
// of a leaving node is closed behind the first of them.
func TestLeavingNode(t *testing.T) {
	var f *fixture
	var running atomic.Int64
	f = newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/warm" {
			running.Add(1)
			f.waitFor(f.leaving.Load)
			w.Header().Set("Connection", "close")
		}
		echo(w, request)
	})
	f.pipeline()
	f.send(get("/0") + get("/1") + get("/2"))
	f.waitFor(func() bool { return running.Load() == 3 })
	f.leaving.Store(true)
	for i := range 3 {
		_, body := f.read()
		f.is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// TestRandomSegments guards against requests that run twice, not at all or with another
// response, however their bytes are divided.
func TestRandomSegments(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 0))
		var lock sync.Mutex
		runs := map[string]int{}
		f := newFixture(t, 1+random.IntN(6), func(w http.ResponseWriter, request *http.Request) {
			lock.Lock()
			runs[request.URL.Path]++
			pause := time.Duration(random.IntN(300)) * time.Microsecond
			lock.Unlock()
			body, _ := io.ReadAll(request.Body)
			time.Sleep(pause)
			_, _ = io.WriteString(w, request.URL.Path+string(body))
		})
		text := &strings.Builder{}
		var want []string
		for i := range 40 {
			path := fmt.Sprintf("/%d", i)
			if random.IntN(8) == 0 {
				_, _ = fmt.Fprintf(text, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n%03d", path, i)
				path += fmt.Sprintf("%03d", i)
			} else {
				_, _ = fmt.Fprintf(text, "GET %s HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", path, strings.Repeat("x", random.IntN(200)))
			}
			want = append(want, path)
		}
		ctx, cancel := context.WithCancel(t.Context())
		segments := rand.New(rand.NewPCG(seed, 1))
		go func() {
			defer cancel()
			for rest := text.String(); rest != "" && ctx.Err() == nil; {
				n := min(1+segments.IntN(300), len(rest))
				_, _ = io.WriteString(f.conn, rest[:n])
				rest = rest[n:]
				time.Sleep(time.Duration(segments.IntN(200)) * time.Microsecond)
			}
		}()
		for _, path := range want {
			_, body := f.read()
			f.is.Equal(body, path)
		}
		lock.Lock()
		for path, n := range runs {
			if n != 1 {
				t.Errorf("seed %d: %s ran %d times", seed, path, n)
			}
		}
		f.is.Equal(len(runs), 40)
		lock.Unlock()
		<-ctx.Done()
	}
}

// TestRefusedRequestDoesNotRun guards against calls for requests that the server refuses
// although they can be parsed.
func TestRefusedRequestDoesNotRun(t *testing.T) {
	for _, refused := range []string{
		"GET /bad HTTP/1.1\r\nHost: a/b\r\n\r\n",
		"GET http://a/bad HTTP/1.1\r\nX: b\r\n\r\n",
		"GET /bad HTTP/1.1\r\nHost: a\r\nX: b\x01\r\n\r\n",
		"GET /bad HTTP/1.1\r\nHost: a\r\nX Y: b\r\n\r\n",
	} {
		var runs atomic.Int64
		f := newFixture(t, 4, func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/bad" {
				runs.Add(1)
			}
			time.Sleep(5 * time.Millisecond)
		})
		f.pipeline()
		f.send(get("/0") + refused)
		f.read()
		status, _ := f.read()
		f.is.Equal(status, http.StatusBadRequest)
		f.is.Equal(runs.Load(), int64(0))
	}
}

// TestContextEndsWithCall guards against work of a call that goes on after its response.
func TestContextEndsWithCall(t *testing.T) {
	ended := make(chan struct{}, 4)
	f := newFixture(t, 4, func(_ http.ResponseWriter, request *http.Request) {
		context.AfterFunc(request.Context(), func() { ended <- struct{}{} })
		time.Sleep(5 * time.Millisecond)
	})
	f.pipeline()
	f.send(get("/0") + get("/1"))
	f.read()
	f.read()
	f.waitFor(func() bool { return len(ended) == 4 })
}

// TestCallerLeavesAtDepth guards against calls that go on after their caller has left
// because nothing more may be read ahead.
func TestCallerLeavesAtDepth(t *testing.T) {
	var running atomic.Int64
	f := newFixture(t, 2, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/warm" {
			return
		}
		running.Add(1)
		<-request.Context().Done()
		running.Add(-1)
	})
	f.pipeline()
	f.send(get("/0") + get("/1") + get("/2"))
	f.waitFor(func() bool { return running.Load() == 2 })
	f.is.NoErr(f.conn.Close())
	f.waitFor(func() bool { return running.Load() == 0 })
}

// TestLongResponsesOfLeavingNode guards against calls whose responses are lost because a
// response ahead of them that is too long to be held closes the connection.
func TestLongResponsesOfLeavingNode(t *testing.T) {
	var f *fixture
	var running atomic.Int64
	f = newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/warm" {
			running.Add(1)
			f.waitFor(func() bool { return running.Load() == 3 })
			f.leaving.Store(true)
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", maxHeldBytes+1))
	})
	f.pipeline()
	f.send(get("/0") + get("/1") + get("/2"))
	for range 3 {
		_, body := f.read()
		f.is.Equal(len(body), maxHeldBytes+1)
	}
	_, err := f.reader.ReadByte()
	f.is.Equal(err, io.EOF)
}

// TestTruncatedResponse guards against a response that could not be written in full and
// is sent as if it were complete, to a caller that has only closed its sending side.
func TestTruncatedResponse(t *testing.T) {
	f := newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/0" {
			<-request.Context().Done()
			time.Sleep(20 * time.Millisecond)
			return
		}
		for range 2 {
			_, _ = io.WriteString(w, strings.Repeat("x", maxHeldBytes))
		}
	})
	f.pipeline()
	f.send(get("/0") + get("/1"))
	time.Sleep(20 * time.Millisecond)
	tcp, ok := f.conn.(*net.TCPConn)
	f.is.True(ok)
	f.is.NoErr(tcp.CloseWrite())
	f.read()
	response, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		return // the connection was aborted
	}
	body, err := io.ReadAll(response.Body)
	f.is.True(err != nil || len(body) == 2*maxHeldBytes)
}

// TestMismatchedRequest guards against a call that runs again, or whose held response
// stays counted, if the server reads another request than the one that began.
func TestMismatchedRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		f := newFixture(t, 2, echo)
		c := newConn(f.conn, f.served)
		begun := &call{
			method:   http.MethodGet,
			uri:      "/1",
			response: newResponse(t.Context(), c),
			done:     make(chan struct{}),
		}
		close(begun.done)
		_, _ = io.WriteString(begun.response, "held")
		c.calls = append(c.calls, begun)
		c.mode = headRead
		func() {
			defer func() { f.is.Equal(recover(), http.ErrAbortHandler) }()
			request := httptest.NewRequest(method, "/2", http.NoBody)
			request.RequestURI = "/2"
			c.begin(request)
		}()
		f.is.NoErr(c.Close())
		f.waitFor(func() bool { return f.served.held.Load() == 0 })
	}
}

// TestPanicIsLogged guards against faults of a handler that nobody gets to know of,
// because the response of the call that panicked is replaced by status 502.
func TestPanicIsLogged(t *testing.T) {
	f := newFixture(t, 4, func(w http.ResponseWriter, request *http.Request) {
		time.Sleep(5 * time.Millisecond)
		if request.URL.Path == "/0" {
			panic("a fault")
		}
		echo(w, request)
	})
	f.pipeline()
	f.send(get("/0") + get("/1"))
	status, _ := f.read()
	f.is.Equal(status, http.StatusBadGateway)
	_, body := f.read()
	f.is.Equal(body, "/1")
	f.is.True(strings.Contains(f.log.String(), "a fault"))
}
