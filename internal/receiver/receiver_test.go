package receiver

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
)

// TestRevokeAcceptsRaisedBoot queries a node for calls under its initial boot
// number, under the number to which it was raised after the clock had been set
// back, under the number of another process and under an invalid one. Only the
// first two revoke the call; the state for the others is unknown.
func TestRevokeAcceptsRaisedBoot(t *testing.T) {
	is := is.New(t)
	r := New(func(boot uint64) bool { return boot == 5 || boot == 9 }, nil, registrar.New(), zerolog.Nop())
	for boot, state := range map[string]registrar.State{
		"5": registrar.Refused,
		"9": registrar.Refused,
		"7": registrar.Unknown,
		"x": registrar.Unknown,
	} {
		w := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, forwarder.RevokePath+"?id=call-"+boot+"&boot="+boot, http.NoBody)
		request.Header.Set(annotator.Deadline, "100")
		r.ServeHTTP(w, request)
		is.Equal(registrar.State(w.Header().Get(forwarder.StateHeader)), state)
	}
}
