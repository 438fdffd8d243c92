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

// failingForwarder is a forwarder to targets that run calls and fail them: the
// first target tried, or all.
type failingForwarder struct {
	drainingForwarder
	failAll bool
	runs    int
}

// View implements fireflymoor.Viewer.
func (f *failingForwarder) View() fireflymoor.View {
	view := f.drainingForwarder.View()
	configuration := view.Configuration()
	route := configuration.Routes()[0]
	route.Idempotent = []string{http.MethodGet}
	return view.WithConfiguration(fireflymoor.NewConfiguration("team",
		configuration.Services(), []fireflymoor.Route{route}, configuration.Limits()).WithNumber(1))
}

// Forward implements fireflymoor.Forwarder.
func (f *failingForwarder) Forward(context.Context, fireflymoor.Target, *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.runs++
	status, body := http.StatusOK, "whole"
	if f.failAll || f.runs == 1 {
		status, body = http.StatusInternalServerError, "failed"
	}
	return &http.Response{
		StatusCode:    status,
		Header:        http.Header{},
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)),
	}, fireflymoor.Answered, nil
}

// TestFailedResponseIsReplaced has a target fail a call. A call that may repeat
// gets the response of another target. A call that must not repeat, or that
// fails at every target, gets the failed response.
func TestFailedResponseIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name    string
		method  string
		failAll bool
		status  int
		body    string
		runs    int
	}{
		{
			name:   "may repeat",
			method: http.MethodGet,
			status: http.StatusOK,
			body:   "whole",
			runs:   2,
		},
		{
			name:   "must not repeat",
			method: http.MethodPost,
			status: http.StatusInternalServerError,
			body:   "failed",
			runs:   1,
		},
		{
			name:    "all fail",
			method:  http.MethodGet,
			failAll: true,
			status:  http.StatusInternalServerError,
			body:    "failed",
			runs:    3,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &failingForwarder{
				failAll: c.failAll,
			}
			h := newHandler(&f.drainingForwarder)
			h.options.Viewer = f
			h.options.Forwarder = f
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, "/x", http.NoBody))
			is.Equal(w.Code, c.status)
			is.Equal(w.Body.String(), c.body)
			is.Equal(f.runs, c.runs)
		})
	}
}
