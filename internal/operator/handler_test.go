package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

// failingReplica fails every request for which it is used.
type failingReplica struct {
	Replica
}

var errLost = errors.New("the reply was lost")

// Drain implements Replica.
func (failingReplica) Drain(context.Context, string) error {
	return errLost
}

// Status implements Replica.
func (failingReplica) Status(context.Context) (administrator.Status, error) {
	return administrator.Status{}, errLost
}

// TestUnreadablePath guards against names in the paths of requests that no message between
// processes can hold, so that the request fails without a clear state.
func TestUnreadablePath(t *testing.T) {
	handler := NewHandler(NewService(failingReplica{}, renderer.New(parser.New())), map[string]string{
		allTeams: "token",
	})
	for _, path := range []string{
		"/v1/nodes/%FF%FE/drain",
		"/v1/nodes/a%0Ab/drain",
		"/v1/teams/team/rollouts/%ED%A0%80/abort",
		"/v1/teams/%FF/rollouts/service/abort",
		"/v1/teams/%FF/changes",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
			request.Header.Set("Authorization", "Bearer token")
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			is.Equal(recorder.Code, http.StatusUnprocessableEntity)
			apiErr := &administrator.Error{}
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), apiErr))
			is.Equal(apiErr.State, administrator.NotTaken)
		})
	}
}

// TestUnknownOutcome checks that a request that may have had an effect is not
// reported as not taken, and that a request that only reads is.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	handler := NewHandler(NewService(failingReplica{}, renderer.New(parser.New())), map[string]string{
		allTeams: "token",
	})
	stateOf := func(method, path string) string {
		request := httptest.NewRequest(method, path, strings.NewReader("{}"))
		request.Header.Set("Authorization", "Bearer token")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		apiErr := &administrator.Error{}
		is.NoErr(json.Unmarshal(recorder.Body.Bytes(), apiErr))
		return apiErr.State
	}
	is.Equal(stateOf(http.MethodPost, "/v1/nodes/node-1/drain"), administrator.Unknown)
	is.Equal(stateOf(http.MethodGet, "/v1/status"), administrator.NotTaken)
}
