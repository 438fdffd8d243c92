package forwarder

import (
	"io"
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
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
)

// TestRefusalKeepsTheConnection has a busy node refuse calls. Each goes over
// the same connection: an overloaded node is not dialed for every refusal.
func TestRefusalKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	busy := httptest.NewUnstartedServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(labeler.CallID, request.Header.Get(labeler.CallID))
		w.Header().Set(labeler.Outcome, fireflymoor.NotRun.String())
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
		request.Header.Set(labeler.CallID, "call")
		_, outcome, err := f.Forward(t.Context(), fireflymoor.Target{
			Address: busy.Listener.Addr().String(),
		}, request)
		is.True(err != nil)
		is.Equal(outcome, fireflymoor.NotRun)
	}
	is.Equal(opened.Load(), int64(1))
}

// silentCost is how long a connection that went silent may cost calls.
const silentCost = 2 * time.Second

// TestIdleConnectionIsGivenUp leaves a connection idle. It is not used again,
// as it may have gone silent: the time that it is kept and the time until a
// call on it is asked after are together within the bound.
func TestIdleConnectionIsGivenUp(t *testing.T) {
	is := is.New(t)
	is.True(idleTimeout+silence < silentCost)
	var opened, closed atomic.Int64
	node := httptest.NewUnstartedServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(labeler.CallID, request.Header.Get(labeler.CallID))
		w.Header().Set(labeler.Outcome, fireflymoor.Answered.String())
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
	request.Header.Set(labeler.CallID, "call")
	response, _, err := f.Forward(t.Context(), fireflymoor.Target{
		Address: node.Listener.Addr().String(),
	}, request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	began := time.Now()
	for closed.Load() == 0 && time.Since(began) < silentCost-silence {
		time.Sleep(time.Millisecond)
	}
	is.Equal(opened.Load(), int64(1))
	is.Equal(closed.Load(), int64(1))
}

// TestAnswerBesideQuestion has the answer to a call begin while its node is
// asked after the call, and go on after the node has said that the call is
// answered. The answer is passed on whole.
func TestAnswerBesideQuestion(t *testing.T) {
	begun, asked := make(chan struct{}), make(chan struct{})
	askedAfter(t, begun, asked, func(w http.ResponseWriter) {
		time.Sleep(silence + 50*time.Millisecond)
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-asked
		time.Sleep(50 * time.Millisecond) // for what was said to arrive
		_, _ = io.WriteString(w, " last")
	})
}

// TestAnswerAfterQuestion has a node say that a call is answered, over the
// connection of the question, before the answer itself arrives over its own.
// The answer is passed on whole.
func TestAnswerAfterQuestion(t *testing.T) {
	begun, asked := make(chan struct{}), make(chan struct{})
	close(begun)
	askedAfter(t, begun, asked, func(w http.ResponseWriter) {
		<-asked
		time.Sleep(50 * time.Millisecond) // for what was said to arrive
		_, _ = io.WriteString(w, "first last")
	})
}

// askedAfter sends a call whose node, once begun is closed, says that it is
// answered and closes asked. The answer that write writes has to arrive.
func askedAfter(t *testing.T, begun <-chan struct{}, asked chan<- struct{}, write func(http.ResponseWriter)) {
	t.Helper()
	is := is.New(t)
	var once sync.Once
	node := httptest.NewServer(packer.New("node").Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == RevokePath {
			<-begun
			w.Header().Set(StateHeader, string(registrar.Answered))
			once.Do(func() { close(asked) })
			return
		}
		w.Header().Set(labeler.CallID, request.Header.Get(labeler.CallID))
		w.Header().Set(labeler.Outcome, fireflymoor.Answered.String())
		w.Header().Set("Content-Length", "10")
		write(w)
	})))
	defer node.Close()
	f := NewRemote(dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), packer.New("node"))
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set(labeler.CallID, "call")
	request.Header.Set(labeler.Once, "yes")
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
