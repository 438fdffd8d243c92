package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// fixedClaims returns the same result for every claim.
type fixedClaims struct {
	kept       *messenger.KeptAnswer
	err        error
	claimCount int
}

// Claim implements Claims.
func (f *fixedClaims) Claim(context.Context, string, uint64) (*claimer.Grant, *messenger.KeptAnswer, error) {
	f.claimCount++
	return nil, f.kept, f.err
}

// TestKeyedCallWithoutGrant sends calls with an idempotency key whose claim is
// not granted. None is forwarded, and each case has its own status and outcome.
func TestKeyedCallWithoutGrant(t *testing.T) {
	for _, c := range []struct {
		name       string
		key        string
		claims     *fixedClaims
		status     int
		outcome    string
		claimCount int
	}{
		{
			name:       "no quorum",
			key:        "key",
			claims:     &fixedClaims{err: errors.Wrap(claimer.ErrNoQuorum, "test")},
			status:     http.StatusServiceUnavailable,
			outcome:    "not-run",
			claimCount: 1,
		},
		{
			name:       "held",
			key:        "key",
			claims:     &fixedClaims{err: errors.Wrap(claimer.ErrKeyInUse, "test")},
			status:     http.StatusConflict,
			outcome:    "unknown",
			claimCount: 1,
		},
		{
			name:       "another call",
			key:        "key",
			claims:     &fixedClaims{err: errors.Wrap(claimer.ErrKeyReused, "test")},
			status:     http.StatusUnprocessableEntity,
			outcome:    "not-run",
			claimCount: 1,
		},
		{
			name:       "response to the first call",
			key:        "key",
			claims:     &fixedClaims{kept: &messenger.KeptAnswer{Status: http.StatusCreated, Body: []byte("first")}},
			status:     http.StatusCreated,
			outcome:    "answered",
			claimCount: 1,
		},
		{
			name:    "a key that is too long",
			key:     strings.Repeat("k", maxKeyBytes+1),
			claims:  &fixedClaims{},
			status:  http.StatusBadRequest,
			outcome: "not-run",
		},
		{
			name:    "a key that no message to a keeper can hold",
			key:     "\xff\xfe",
			claims:  &fixedClaims{err: errors.Wrap(claimer.ErrNoQuorum, "test")},
			status:  http.StatusBadRequest,
			outcome: "not-run",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHandler(&drainingForwarder{})
			h.options.Claims = c.claims
			request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
			request.Header.Set(annotator.IdempotencyKey, c.key)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, request)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(annotator.Outcome), c.outcome)
			is.Equal(c.claims.claimCount, c.claimCount)
			if c.claims.kept != nil {
				is.Equal(w.Header().Get(annotator.Replayed), "yes")
				is.Equal(w.Body.String(), "first")
			}
		})
	}
}

// TestKeysOff sends a call with a key through a node that keeps no claims. The call
// must be served, and the target must get the key. Its header has a lower-case name,
// as with keys on.
func TestKeysOff(t *testing.T) {
	is := is.New(t)
	f := &headerForwarder{}
	h := newHandler(&f.drainingForwarder)
	h.options.Forwarder = f
	h.options.Claims = nil
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set(annotator.IdempotencyKey, "key")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(f.header[strings.ToLower(annotator.IdempotencyKey)], []string{"key"})
}

// headerForwarder is a forwarder that keeps the headers of the last call.
type headerForwarder struct {
	drainingForwarder

	header http.Header
}

// Forward implements fireflymoor.Forwarder.
func (f *headerForwarder) Forward(_ context.Context, _ fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.header = in.Header.Clone()
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}
