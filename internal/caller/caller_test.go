package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

// oneLeaves is a forwarder and viewer of six targets, of which the first
// refuses all work and is not yet known to.
type oneLeaves struct {
	refused int
}

// View implements fireflymoor.Viewer.
func (o *oneLeaves) View() fireflymoor.View {
	var targets []fireflymoor.Target
	for i := range 6 {
		targets = append(targets, fireflymoor.Target{
			ID:      fmt.Sprint(i),
			Service: "a",
			Team:    "team",
			Slots:   20,
		})
	}
	configuration := fireflymoor.NewConfiguration("team",
		[]fireflymoor.Service{{Name: "a"}},
		[]fireflymoor.Route{{Name: "a", PathPrefix: "/", Service: "a", Retries: 2, Timeout: 1e9, MaxBody: 100}},
		fireflymoor.Limits{RetryBudget: 20, EjectShare: 30},
	)
	return fireflymoor.NewView(configuration.WithNumber(1), targets)
}

// Forward implements fireflymoor.Forwarder.
func (o *oneLeaves) Forward(_ context.Context, target fireflymoor.Target, _ *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	if target.ID == "0" {
		o.refused++
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrap(fireflymoor.ErrBusy, "test"), fireflymoor.ErrDraining)
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}

// newHandler returns the handler of a node that has just started.
func newHandler(o *oneLeaves) *Handler {
	return New(Options{
		Node:      "node",
		Dialect:   labeler.NewDialect(),
		Viewer:    o,
		Balancer:  balancer.NewTwoChoices(),
		Forwarder: o,
		Tracker:   tracker.New("node", "zone"),
		Ejector:   ejector.New(),
		Budget:    retrier.NewBudget(),
		Pressure:  retrier.NewPressure(),
		Metrics:   NewMetrics(prometheus.NewRegistry()),
		Log:       zerolog.Nop(),
	})
}

// TestLeavingTargetCostsNoCall sends calls through a node that has just
// started, so that its budget is empty, while a target refuses new work. No
// call fails, and the target is soon passed over.
func TestLeavingTargetCostsNoCall(t *testing.T) {
	is := is.New(t)
	o := &oneLeaves{}
	h := newHandler(o)
	for range 500 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusOK)
	}
	is.True(o.refused <= 2) // it is passed over once it has refused
}

func BenchmarkServeHTTP(b *testing.B) {
	o := &oneLeaves{}
	h := newHandler(o)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
	}
}
