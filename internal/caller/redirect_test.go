package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
)

// fullForwarder is a forwarder to targets of which all but one are full. A full target
// sends back calls that may be sent back and names the free one, if named is set.
type fullForwarder struct {
	*drainingForwarder

	balance  fireflymoor.Balance
	free     string
	named    bool
	tries    int
	mayAsk   int
	sentBack int
}

// View implements fireflymoor.Viewer.
func (f *fullForwarder) View() fireflymoor.View {
	view := f.drainingForwarder.View()
	configuration := view.Configuration()
	routes := configuration.Routes()
	routes[0].MaxBody = 4 * maxRedirectBody
	return view.WithConfiguration(fireflymoor.NewConfiguration("team", configuration.Services(), routes,
		fireflymoor.Limits{RetryBudget: 20, EjectShare: 30, Balance: f.balance}).WithNumber(1))
}

// Forward implements fireflymoor.Forwarder.
func (f *fullForwarder) Forward(_ context.Context, target fireflymoor.Target, request *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries++
	mayAsk := request.Header.Get(annotator.MaxWait) != ""
	if mayAsk {
		f.mayAsk++
	}
	report := &fireflymoor.LoadReport{Load: 1, Hold: 100 * time.Millisecond, Pace: 1}
	if target.ID != f.free && mayAsk {
		f.sentBack++
		busy := &fireflymoor.BusyError{Report: report}
		if f.named {
			busy.Neighbor = f.free
		}
		return nil, fireflymoor.NotRun, errors.Wrap(busy, "test")
	}
	response := &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}
	if target.ID == f.free {
		report.Load = 0
	}
	annotator.SetLoadReport(response.Header, *report)
	return response, fireflymoor.Answered, nil
}

// newRedirectHandler returns the handler of a newly started node.
func newRedirectHandler(f *fullForwarder) *Handler {
	f.drainingForwarder = &drainingForwarder{}
	h := newHandler(f.drainingForwarder)
	h.options.Viewer = f
	h.options.Forwarder = f
	h.options.EvenBalancer = balancer.NewEven()
	return h
}

// TestNeighborIsNextPick sends calls while all targets but one are full. The target
// that a full one names must be tried next, so that no call needs a third try.
func TestNeighborIsNextPick(t *testing.T) {
	is := is.New(t)
	f := &fullForwarder{balance: fireflymoor.BalanceEven, free: "5", named: true}
	h := newRedirectHandler(f)
	for range 20 {
		before := f.tries
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusOK)
		is.True(f.tries-before <= 2)
	}
	is.True(f.sentBack > 0)
	is.Equal(f.tries, 20+f.sentBack)
}

// TestLastTryWaits sends calls while all targets are full, but have just reported free
// slots. The last try must not ask
// to be sent back, or the call is refused although it could wait for a slot.
func TestLastTryWaits(t *testing.T) {
	is := is.New(t)
	f := &fullForwarder{balance: fireflymoor.BalanceEven}
	h := newRedirectHandler(f)
	for range 20 {
		for _, target := range f.View().Targets("a") {
			h.options.Tracker.RecordReport(target, fireflymoor.LoadReport{Load: 0.5, Pace: 1}, time.Now())
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusOK)
	}
	is.Equal(f.tries, 20*maxTries)
	is.Equal(f.sentBack, 20*(maxTries-1))
}

// TestNoRedirection sends calls that must not ask to be sent back: without the even
// balance, and with a body that would cross the link for each try.
func TestNoRedirection(t *testing.T) {
	cases := map[string]struct {
		balance fireflymoor.Balance
		body    string
	}{
		"two choices":             {},
		"service without reports": {balance: fireflymoor.BalanceAuto},
		"long body":               {balance: fireflymoor.BalanceEven, body: strings.Repeat("a", 2*maxRedirectBody)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fullForwarder{balance: c.balance}
			h := newRedirectHandler(f)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(c.body)))
			is.Equal(w.Code, http.StatusOK)
			is.Equal(f.mayAsk, 0)
		})
	}
}
