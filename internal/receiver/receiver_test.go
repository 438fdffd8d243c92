package receiver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
)

// TestRevokeAcceptsRaisedBoot queries a node for calls under its initial boot
// number, under the number to which it was raised after the clock had been set
// back, under the number of another process and under an invalid one. Only the
// first two revoke the call; the state for the others is unknown.
func TestRevokeAcceptsRaisedBoot(t *testing.T) {
	is := is.New(t)
	r := New(func(boot uint64) bool { return boot == 5 || boot == 9 }, nil, registrar.New(), zerolog.Nop())
	for boot, state := range map[string]registrar.State{
		"5": registrar.Refused,
		"9": registrar.Refused,
		"7": registrar.Unknown,
		"x": registrar.Unknown,
	} {
		w := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, forwarder.RevokePath+"?id=call-"+boot+"&boot="+boot, http.NoBody)
		request.Header.Set(annotator.Deadline, "100")
		r.ServeHTTP(w, request)
		is.Equal(registrar.State(w.Header().Get(forwarder.StateHeader)), state)
	}
}

// blockingForwarder is a fireflymoor.Forwarder whose calls run until their context ends.
type blockingForwarder struct {
	began, ended chan struct{}
}

// Forward implements fireflymoor.Forwarder.
func (f *blockingForwarder) Forward(ctx context.Context, _ fireflymoor.Target, _ *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	close(f.began)
	<-ctx.Done()
	close(f.ended)
	return nil, fireflymoor.Unknown, ctx.Err()
}

// TestQueriedCallOutlivesItsConnection guards against calls that must not repeat and are
// given up although their callers, whose connections have broken, still wait for them, and
// against calls that go on once nobody asks for them any more.
func TestQueriedCallOutlivesItsConnection(t *testing.T) {
	is := is.New(t)
	f := &blockingForwarder{
		began: make(chan struct{}),
		ended: make(chan struct{}),
	}
	r := New(func(uint64) bool { return true }, f, registrar.New(), zerolog.Nop())
	ctx, breakConnection := context.WithCancel(t.Context())
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody).WithContext(ctx)
	request.Header.Set(annotator.Deadline, "20000")
	request.Header.Set(annotator.CallID, "call")
	request.Header.Set(annotator.Once, "yes")
	go r.ServeHTTP(httptest.NewRecorder(), request)
	<-f.began
	breakConnection()
	const interval, queries = 300 * time.Millisecond, 10
	for range queries {
		query := httptest.NewRequest(http.MethodPost, forwarder.RevokePath+"?id=call&boot=1", http.NoBody)
		query.Header.Set(annotator.Deadline, "300")
		w := httptest.NewRecorder()
		began := time.Now()
		r.ServeHTTP(w, query)
		is.True(time.Since(began) >= interval) // the query waits for the call
		is.Equal(registrar.State(w.Header().Get(forwarder.StateHeader)), registrar.Running)
	}
	select {
	case <-f.ended:
	case <-time.After(2 * maxQueryGap):
		is.Fail() // the call ends after the last query
	}
}
