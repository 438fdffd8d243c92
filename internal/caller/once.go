package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// maxKey is the longest idempotency key, in bytes.
	maxKey = 255
	// maxKept is the longest answer that is kept for resends, in bytes.
	maxKept = 64 << 10
)

// Claims sees to it that a call with a key runs at most once.
type Claims interface {
	// Claim returns a grant, or the answer that the key's first call got.
	Claim(ctx context.Context, key string, fingerprint uint64) (*claimer.Grant, *messenger.KeptAnswer, error)
}

// keyOf returns the idempotency key of a call that must not repeat, or
// nothing. It reports false for a key that cannot be taken.
func keyOf(request *http.Request, route fireflymoor.Route) (string, bool) {
	values := request.Header.Values(labeler.IdempotencyKey)
	if len(values) == 0 || route.MayRepeat(request.Method) {
		return "", true
	}
	return values[0], len(values) == 1 && values[0] != "" && len(values[0]) <= maxKey
}

// fingerprint tells a resend of a call from another call with its key. The
// host is not in it, as it may name the node; nor is the body, as it may be
// long and is passed on as it comes.
func fingerprint(request *http.Request) uint64 {
	return xxhash.Sum64String(request.Method + "\x00" + request.URL.RequestURI())
}

// serveOnce serves a call with a key. It goes on when its caller is gone, so
// that a resend gets its answer.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, c *call, key string) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	scoped := c.view.Configuration().Team() + "\x00" + c.service.Name + "\x00" + key
	grant, kept, err := h.options.Claims.Claim(ctx, scoped, fingerprint(c.request))
	h.logClaim(c, grant, err)
	switch {
	case errors.Is(err, claimer.ErrOther):
		h.refuse(w, c.id, http.StatusUnprocessableEntity, fireflymoor.NotRun, err.Error())
	case errors.Is(err, claimer.ErrHeld):
		h.refuse(w, c.id, http.StatusConflict, fireflymoor.Unknown, err.Error())
	case err != nil:
		h.refuse(w, c.id, http.StatusServiceUnavailable, fireflymoor.NotRun, err.Error())
	case kept != nil:
		w.Header().Set(labeler.Replayed, "yes")
		h.answer(w, c, fromKept(kept))
	default:
		c.grant = grant
		h.serve(ctx, w, c)
	}
}

func (h *Handler) logClaim(c *call, grant *claimer.Grant, err error) {
	result := "granted"
	switch {
	case errors.Is(err, claimer.ErrOther):
		result = "other call"
	case errors.Is(err, claimer.ErrHeld):
		result = "held"
	case err != nil:
		result = "no quorum"
	case grant == nil:
		result = "replayed"
	}
	h.options.Metrics.claims.WithLabelValues(result).Inc()
	if h.options.Decisions {
		h.options.Log.Info().Str("call", c.id).Str("result", result).Msg("caller: claim")
	}
}

// conclude tells the keepers how a call with a key ended without an answer.
func (c *call) conclude(ctx context.Context, outcome fireflymoor.Outcome) {
	switch {
	case c.grant == nil:
	case outcome == fireflymoor.NotRun:
		c.grant.NotRun(ctx)
	default:
		c.grant.Unknown(ctx)
	}
}

// answerOnce reads an answer whole, as far as it is kept, and tells the
// keepers before any of it goes to the caller, who may be gone.
func (h *Handler) answerOnce(ctx context.Context, w http.ResponseWriter, c *call, response *http.Response) {
	whole, err := io.ReadAll(io.LimitReader(response.Body, maxKept+1))
	if err != nil {
		_ = response.Body.Close()
		c.grant.Unknown(ctx)
		h.refuse(w, c.id, http.StatusBadGateway, fireflymoor.Unknown, "the answer broke off")
		return
	}
	source := response.Body
	if len(whole) > maxKept {
		c.grant.Answered(ctx, nil)
		response.Body = &joined{
			Reader: io.MultiReader(bytes.NewReader(whole), source),
			Closer: source,
		}
		h.answer(w, c, response)
		return
	}
	labeler.CleanHop(response.Header)
	c.grant.Answered(ctx, toKept(response, whole))
	response.ContentLength = int64(len(whole))
	response.Body = &joined{
		Reader: bytes.NewReader(whole),
		Closer: source,
	}
	h.answer(w, c, response)
}

type joined struct {
	io.Reader
	io.Closer
}

func toKept(response *http.Response, body []byte) *messenger.KeptAnswer {
	kept := &messenger.KeptAnswer{
		Status: uint32(response.StatusCode),
		Body:   body,
	}
	for name, values := range response.Header {
		if labeler.Inner(name) {
			continue
		}
		kept.Headers = append(kept.Headers, &messenger.KeptHeader{
			Name:   name,
			Values: values,
		})
	}
	return kept
}

func fromKept(kept *messenger.KeptAnswer) *http.Response {
	response := &http.Response{
		StatusCode:    int(kept.GetStatus()),
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(kept.GetBody())),
		ContentLength: int64(len(kept.GetBody())),
	}
	for _, header := range kept.GetHeaders() {
		response.Header[header.GetName()] = header.GetValues()
	}
	return response
}
