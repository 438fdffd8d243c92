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
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

// drainingForwarder is a forwarder and viewer of six targets. The first refuses
// all work, but the view still has it as ready.
type drainingForwarder struct {
	refused int
}

// View implements fireflymoor.Viewer.
func (f *drainingForwarder) View() fireflymoor.View {
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
func (f *drainingForwarder) Forward(_ context.Context, target fireflymoor.Target, _ *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	if target.ID == "0" {
		f.refused++
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrap(fireflymoor.ErrBusy, "test"), fireflymoor.ErrDraining)
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}

// newHandler returns the handler of a newly started node.
func newHandler(f *drainingForwarder) *Handler {
	return New(Options{
		Node:        "node",
		Dialect:     annotator.NewDialect(),
		Viewer:      f,
		Balancer:    balancer.NewTwoChoices(),
		Forwarder:   f,
		Tracker:     tracker.New("node", "zone"),
		Ejector:     ejector.New(),
		Budget:      retrier.NewBudget(),
		RefusalRate: retrier.NewRefusalRate(),
		Metrics:     NewMetrics(prometheus.NewRegistry()),
		Log:         zerolog.Nop(),
	})
}

// TestDrainingTargetFailsNoCall sends calls through a newly started node, whose
// retry budget is empty, while a target refuses new work. No call fails, and
// the target is no longer picked once it has refused a call.
func TestDrainingTargetFailsNoCall(t *testing.T) {
	is := is.New(t)
	f := &drainingForwarder{}
	h := newHandler(f)
	for range 500 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusOK)
	}
	is.True(f.refused <= 2) // not picked again after a refusal
}

func BenchmarkServeHTTP(b *testing.B) {
	f := &drainingForwarder{}
	h := newHandler(f)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
	}
}
