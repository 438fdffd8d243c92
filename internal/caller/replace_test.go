package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// grey is a forwarder to targets of which the first to be tried, or all, fail
// what they run.
type grey struct {
	oneLeaves
	all bool
	ran int
}

// View implements fireflymoor.Viewer.
func (g *grey) View() fireflymoor.View {
	view := g.oneLeaves.View()
	configuration := view.Configuration()
	route := configuration.Routes()[0]
	route.Idempotent = []string{http.MethodGet}
	return view.WithConfiguration(fireflymoor.NewConfiguration("team",
		configuration.Services(), []fireflymoor.Route{route}, configuration.Limits()).WithNumber(1))
}

// Forward implements fireflymoor.Forwarder.
func (g *grey) Forward(context.Context, fireflymoor.Target, *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	g.ran++
	status, body := http.StatusOK, "whole"
	if g.all || g.ran == 1 {
		status, body = http.StatusInternalServerError, "failed"
	}
	return &http.Response{
		StatusCode:    status,
		Header:        http.Header{},
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)),
	}, fireflymoor.Answered, nil
}

// TestFailureIsReplaced has a target fail a call. One that may repeat gets the
// answer of another target; one that may not gets the failure, and so does one
// that fails everywhere.
func TestFailureIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		all    bool
		status int
		body   string
		ran    int
	}{
		{
			name:   "may repeat",
			method: http.MethodGet,
			status: http.StatusOK,
			body:   "whole",
			ran:    2,
		},
		{
			name:   "must not repeat",
			method: http.MethodPost,
			status: http.StatusInternalServerError,
			body:   "failed",
			ran:    1,
		},
		{
			name:   "all fail",
			method: http.MethodGet,
			all:    true,
			status: http.StatusInternalServerError,
			body:   "failed",
			ran:    3,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &grey{
				all: c.all,
			}
			h := newHandler(&g.oneLeaves)
			h.options.Viewer = g
			h.options.Forwarder = g
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, "/x", http.NoBody))
			is.Equal(w.Code, c.status)
			is.Equal(w.Body.String(), c.body)
			is.Equal(g.ran, c.ran)
		})
	}
}
