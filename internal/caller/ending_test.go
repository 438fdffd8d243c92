package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
)

// silentForwarder is a forwarder of calls that get no response.
type silentForwarder struct {
	drainingForwarder
	outcome fireflymoor.Outcome
	sent    chan struct{}
}

// Forward implements fireflymoor.Forwarder.
func (f *silentForwarder) Forward(ctx context.Context, _ fireflymoor.Target, _ *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.sent <- struct{}{}
	<-ctx.Done()
	return nil, f.outcome, errors.Wrap(ctx.Err(), "test")
}

// TestEndingConcludesCalls checks that a call in flight gets a response, before its
// timeout, that says whether it may have run, when the process is about to end. It must
// not count as one whose caller has left.
func TestEndingConcludesCalls(t *testing.T) {
	for _, test := range []struct {
		outcome fireflymoor.Outcome
		status  int
	}{
		{
			outcome: fireflymoor.Unknown,
			status:  http.StatusGatewayTimeout,
		},
		{
			outcome: fireflymoor.NotRun,
			status:  http.StatusServiceUnavailable,
		},
	} {
		t.Run(test.outcome.String(), func(t *testing.T) {
			is := is.New(t)
			f := &silentForwarder{
				outcome: test.outcome,
				sent:    make(chan struct{}, 1),
			}
			h := newHandler(&f.drainingForwarder)
			h.options.Forwarder = f
			registry := prometheus.NewRegistry()
			h.options.Metrics = NewMetrics(registry)
			ending, conclude := context.WithCancel(t.Context())
			h.options.Ending = ending
			go func() {
				<-f.sent
				conclude()
			}()
			w := httptest.NewRecorder()
			began := time.Now()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
			is.Equal(w.Code, test.status)
			is.True(time.Since(began) < time.Second) // the timeout of the route
			families, err := registry.Gather()
			is.NoErr(err)
			for _, family := range families {
				is.True(family.GetName() != "fireflymoor_departed_callers_total" || family.GetMetric()[0].GetCounter().GetValue() == 0)
			}
		})
	}
}
