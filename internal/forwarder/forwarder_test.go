package forwarder

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
)

// TestRefusalKeepsConnection has a busy node refuse calls. All use the same
// connection: an overloaded node must not be dialed again for every refusal.
func TestRefusalKeepsConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	busy := httptest.NewUnstartedServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(annotator.CallID, request.Header.Get(annotator.CallID))
		w.Header().Set(annotator.Outcome, fireflymoor.NotRun.String())
		http.Error(w, "all slots are full", http.StatusServiceUnavailable)
	})))
	busy.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	busy.Start()
	defer busy.Close()
	f := NewRemote(dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), packer.New("node"))
	for range 50 {
		request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
		request.Header.Set(annotator.CallID, "call")
		_, outcome, err := f.Forward(t.Context(), fireflymoor.Target{
			Address: busy.Listener.Addr().String(),
		}, request)
		is.True(err != nil)
		is.Equal(outcome, fireflymoor.NotRun)
	}
	is.Equal(opened.Load(), int64(1))
}

// maxStall bounds the delay of calls by a connection that became unresponsive.
const maxStall = 2 * time.Second

// TestIdleConnectionIsClosed leaves a connection idle. It must be closed, as it
// may have become unresponsive: the time for which it is kept, and the time
// until the node is queried for a call on it, are together less than maxStall.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	is.True(idleTimeout+minQueryDelay < maxStall)
	var opened, closed atomic.Int64
	node := httptest.NewUnstartedServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(annotator.CallID, request.Header.Get(annotator.CallID))
		w.Header().Set(annotator.Outcome, fireflymoor.Answered.String())
	})))
	node.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
		}
	}
	node.Start()
	defer node.Close()
	f := NewRemote(dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), packer.New("node"))
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set(annotator.CallID, "call")
	response, _, err := f.Forward(t.Context(), fireflymoor.Target{
		Address: node.Listener.Addr().String(),
	}, request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	start := time.Now()
	for closed.Load() == 0 && time.Since(start) < maxStall-minQueryDelay {
		time.Sleep(time.Millisecond)
	}
	is.Equal(opened.Load(), int64(1))
	is.Equal(closed.Load(), int64(1))
}

// TestResponseDuringQuery has the response to a call begin while the node is
// queried for the call, and continue after the node has reported the call as
// answered. The response must be returned in full.
func TestResponseDuringQuery(t *testing.T) {
	started, queried := make(chan struct{}), make(chan struct{})
	testResponseWithQuery(t, started, queried, func(w http.ResponseWriter) {
		time.Sleep(minQueryDelay + 50*time.Millisecond)
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-queried
		time.Sleep(50 * time.Millisecond) // for the reported state to arrive
		_, _ = io.WriteString(w, " last")
	})
}

// TestResponseAfterQuery has a node report a call as answered, over the
// connection of the query, before the response arrives over the call's own
// connection. The response must be returned in full.
func TestResponseAfterQuery(t *testing.T) {
	started, queried := make(chan struct{}), make(chan struct{})
	close(started)
	testResponseWithQuery(t, started, queried, func(w http.ResponseWriter) {
		<-queried
		time.Sleep(50 * time.Millisecond) // for the reported state to arrive
		_, _ = io.WriteString(w, "first last")
	})
}

// testResponseWithQuery sends a call. Once started is closed, its node reports
// the call as answered and closes queried. The response that write writes must
// arrive.
func testResponseWithQuery(t *testing.T, started <-chan struct{}, queried chan<- struct{}, write func(http.ResponseWriter)) {
	t.Helper()
	is := is.New(t)
	var once sync.Once
	node := httptest.NewServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == RevokePath {
			<-started
			w.Header().Set(StateHeader, string(registrar.Answered))
			once.Do(func() { close(queried) })
			return
		}
		w.Header().Set(annotator.CallID, request.Header.Get(annotator.CallID))
		w.Header().Set(annotator.Outcome, fireflymoor.Answered.String())
		w.Header().Set("Content-Length", "10")
		write(w)
	})))
	defer node.Close()
	f := NewRemote(dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), packer.New("node"))
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set(annotator.CallID, "call")
	request.Header.Set(annotator.Once, "yes")
	response, outcome, err := f.Forward(t.Context(), fireflymoor.Target{
		Address: node.Listener.Addr().String(),
	}, request)
	is.NoErr(err)
	is.Equal(outcome, fireflymoor.Answered)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "first last")
	_ = response.Body.Close()
}

// TestOneQueryAtATime breaks the connection of a call while the node is queried
// for the call. From then on only one query at a time may be made.
func TestOneQueryAtATime(t *testing.T) {
	const (
		queryTime = 150 * time.Millisecond
		queries   = 6
	)
	is := is.New(t)
	var broken atomic.Bool
	var inProgress, most, count atomic.Int64
	node := httptest.NewServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != RevokePath {
			time.Sleep(minQueryDelay + queryTime)
			time.AfterFunc(queryTime, func() { broken.Store(true) })
			panic(http.ErrAbortHandler)
		}
		if broken.Load() {
			most.Store(max(most.Load(), inProgress.Add(1)))
			defer inProgress.Add(-1)
			count.Add(1)
		}
		time.Sleep(queryTime)
		state := registrar.Running
		if count.Load() >= queries {
			state = registrar.NotRun
		}
		w.Header().Set(StateHeader, string(state))
	})))
	node.Config.ErrorLog = log.New(io.Discard, "", 0)
	defer node.Close()
	f := NewRemote(dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), packer.New("node"))
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set(annotator.CallID, "call")
	request.Header.Set(annotator.Once, "yes")
	_, outcome, err := f.Forward(t.Context(), fireflymoor.Target{
		Address: node.Listener.Addr().String(),
	}, request)
	is.True(err != nil)
	is.Equal(outcome, fireflymoor.NotRun)
	is.Equal(most.Load(), int64(1))
}
