package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// saturatedForwarder is a forwarder to targets that have no free slot.
type saturatedForwarder struct {
	drainingForwarder
	tries int
}

// Forward implements fireflymoor.Forwarder.
func (f *saturatedForwarder) Forward(context.Context, fireflymoor.Target, *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries++
	return nil, fireflymoor.NotRun, errors.Wrap(&fireflymoor.BusyError{}, "test")
}

// TestSaturatedServiceGetsOneTryPerCall calls a service whose targets are all
// full. Every call is refused, and after the first calls each gets one try: on
// links of low bandwidth, further tries would sustain the overload.
func TestSaturatedServiceGetsOneTryPerCall(t *testing.T) {
	is := is.New(t)
	f := &saturatedForwarder{}
	h := newHandler(&f.drainingForwarder)
	h.options.Forwarder = f
	const calls = 1000
	for range calls {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusServiceUnavailable)
	}
	is.True(f.tries < calls*11/10)
}
