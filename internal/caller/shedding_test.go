package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// sheddingForwarder is a forwarder to targets that refuse a share of their calls
// although they have slots: a gray failure.
type sheddingForwarder struct {
	drainingForwarder

	random *rand.Rand
	share  float64
	tries  int
}

// Forward implements fireflymoor.Forwarder.
func (f *sheddingForwarder) Forward(context.Context, fireflymoor.Target, *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries++
	if f.random.Float64() < f.share {
		err := errors.Wrap(fireflymoor.ErrBusy, "test")
		return nil, fireflymoor.NotRun, errors.Mark(err, fireflymoor.ErrRefusedByTarget)
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}

// TestSheddingTargets calls a service all of whose targets shed a tenth of their
// calls. A call that was shed has not run, so that its route's retries do not limit
// it: nearly all calls must be answered, within the retry budget.
func TestSheddingTargets(t *testing.T) {
	const (
		calls  = 4000
		share  = 0.1
		budget = 0.2
	)
	is := is.New(t)
	f := &sheddingForwarder{
		random: rand.New(rand.NewPCG(1, 1)),
		share:  share,
	}
	h := newHandler(&f.drainingForwarder)
	h.options.Forwarder = f
	h.options.Viewer = &oneRetry{}
	answered := 0
	for range calls {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		if w.Code == http.StatusOK {
			answered++
		}
	}
	t.Logf("%d of %d calls answered in %d tries", answered, calls, f.tries)
	is.True(answered > calls*997/1000) // with one retry only, 1 in 100 fails
	is.True(float64(f.tries-calls) <= budget*calls+2)
}

// oneRetry is the view of drainingForwarder, with a route that allows one retry.
type oneRetry struct {
	drainingForwarder
}

// View implements fireflymoor.Viewer.
func (o *oneRetry) View() fireflymoor.View {
	configuration := fireflymoor.NewConfiguration("team",
		[]fireflymoor.Service{{
			Name: "a",
		}},
		[]fireflymoor.Route{{
			Name:       "a",
			PathPrefix: "/",
			Service:    "a",
			Retries:    1,
			Timeout:    1e9,
			MaxBody:    100,
		}},
		fireflymoor.Limits{
			RetryBudget: 20,
			EjectShare:  30,
		},
	)
	return o.drainingForwarder.View().WithConfiguration(configuration.WithNumber(2))
}
