package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// callerIDDialect is a dialect in which callers give their calls an id.
type callerIDDialect struct {
	fireflymoor.Dialect
}

// ReadCall implements fireflymoor.Dialect.
func (callerIDDialect) ReadCall(http.Header) (fireflymoor.CallMetadata, error) {
	return fireflymoor.CallMetadata{
		ID: "call",
	}, nil
}

// idForwarder records the ids of the tries that it is given.
type idForwarder struct {
	drainingForwarder

	ids []string
}

// Forward implements fireflymoor.Forwarder.
func (f *idForwarder) Forward(_ context.Context, _ fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.ids = append(f.ids, in.Header.Get(annotator.CallID))
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}

// TestTryIDsAfterRestart guards against a call that gets the kept response of
// another one: a caller used its id again after its node had restarted, and the
// tries of both calls had the same id.
func TestTryIDsAfterRestart(t *testing.T) {
	is := is.New(t)
	f := &idForwarder{}
	for range 2 {
		h := newHandler(&f.drainingForwarder)
		h.options.Forwarder = f
		h.options.Dialect = callerIDDialect{
			Dialect: h.options.Dialect,
		}
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
	}
	is.Equal(len(f.ids), 2)
	is.True(f.ids[0] != f.ids[1])
}
