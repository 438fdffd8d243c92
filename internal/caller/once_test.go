package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// fixedClaims says the same to every claim.
type fixedClaims struct {
	kept  *messenger.KeptAnswer
	err   error
	asked int
}

// Claim implements Claims.
func (f *fixedClaims) Claim(context.Context, string, uint64) (*claimer.Grant, *messenger.KeptAnswer, error) {
	f.asked++
	return nil, f.kept, f.err
}

// TestKeyWithoutGrant sends calls with a key that are not granted. None is
// passed on, and each is told apart by status and outcome.
func TestKeyWithoutGrant(t *testing.T) {
	for _, c := range []struct {
		name    string
		key     string
		claims  *fixedClaims
		status  int
		outcome string
		asked   int
	}{
		{
			name:    "no quorum",
			key:     "key",
			claims:  &fixedClaims{err: errors.Wrap(claimer.ErrNoQuorum, "test")},
			status:  http.StatusServiceUnavailable,
			outcome: "not-run",
			asked:   1,
		},
		{
			name:    "held",
			key:     "key",
			claims:  &fixedClaims{err: errors.Wrap(claimer.ErrHeld, "test")},
			status:  http.StatusConflict,
			outcome: "unknown",
			asked:   1,
		},
		{
			name:    "another call",
			key:     "key",
			claims:  &fixedClaims{err: errors.Wrap(claimer.ErrOther, "test")},
			status:  http.StatusUnprocessableEntity,
			outcome: "not-run",
			asked:   1,
		},
		{
			name:    "the first answer",
			key:     "key",
			claims:  &fixedClaims{kept: &messenger.KeptAnswer{Status: http.StatusCreated, Body: []byte("first")}},
			status:  http.StatusCreated,
			outcome: "answered",
			asked:   1,
		},
		{
			name:    "a key that is too long",
			key:     strings.Repeat("k", maxKey+1),
			claims:  &fixedClaims{},
			status:  http.StatusBadRequest,
			outcome: "not-run",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHandler(&oneLeaves{})
			h.options.Claims = c.claims
			request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
			request.Header.Set(labeler.IdempotencyKey, c.key)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, request)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(labeler.Outcome), c.outcome)
			is.Equal(c.claims.asked, c.asked)
			if c.claims.kept != nil {
				is.Equal(w.Header().Get(labeler.Replayed), "yes")
				is.Equal(w.Body.String(), "first")
			}
		})
	}
}
