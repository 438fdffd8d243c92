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

// fullService is a forwarder to targets that are all full.
type fullService struct {
	oneLeaves
	tries int
}

// Forward implements fireflymoor.Forwarder.
func (f *fullService) Forward(context.Context, fireflymoor.Target, *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries++
	return nil, fireflymoor.NotRun, errors.Wrap(&fireflymoor.BusyError{}, "test")
}

// TestFullServiceIsNotTriedAllOver calls a service whose targets are all full.
// Each call is refused, after one try once that is known: on thin links further
// tries are what keeps an overload up.
func TestFullServiceIsNotTriedAllOver(t *testing.T) {
	is := is.New(t)
	f := &fullService{}
	h := newHandler(&f.oneLeaves)
	h.options.Forwarder = f
	const calls = 1000
	for range calls {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusServiceUnavailable)
	}
	is.True(f.tries < calls*11/10)
}
