package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/detector"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

const (
	// maxKeyBytes is the longest idempotency key, in bytes.
	maxKeyBytes = 255
	// maxKeptBody bounds the response bodies that are kept for resends, and
	// those that are buffered while another target is tried, in bytes.
	maxKeptBody = 64 << 10
)

// Claims ensures that a call with an idempotency key runs at most once.
type Claims interface {
	// Claim returns a grant, or the response to the first call with the key.
	Claim(ctx context.Context, key string, fingerprint uint64) (*claimer.Grant, *messenger.KeptAnswer, error)
}

// idempotencyKey returns the idempotency key of a call that must not repeat, or
// the empty string. It reports false if the key is invalid.
func (h *Handler) idempotencyKey(request *http.Request, route fireflymoor.Route) (string, bool) {
	values := request.Header.Values(annotator.IdempotencyKey)
	if h.options.Claims == nil || len(values) == 0 || route.MayRepeat(request.Method) {
		return "", true
	}
	return values[0], len(values) == 1 && parser.ValidText(values[0], maxKeyBytes)
}

// fingerprint returns a hash that distinguishes a resend of a call from another
// call with the same key. It excludes the host, which may name the node, and
// the body, which may be long and is streamed.
func fingerprint(request *http.Request) uint64 {
	return xxhash.Sum64String(request.Method + "\x00" + request.URL.RequestURI())
}

// serveKeyed serves a call with an idempotency key. It continues after the
// caller has disconnected, so that a resend gets the response.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, c *call, key string) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(detector.Detach(context.WithoutCancel(ctx)), deadline)
	defer cancel()
	ctx, stop := h.untilEnding(ctx)
	defer stop()
	c.request = c.request.WithContext(ctx)
	scopedKey := c.view.Configuration().Team() + "\x00" + c.service.Name + "\x00" + key
	if tenant := c.identity.tenant.Name; tenant != "" {
		// Without the tenant, a tenant could read the responses of others.
		scopedKey += "\x00" + tenant
	}
	grant, kept, err := h.options.Claims.Claim(ctx, scopedKey, fingerprint(c.request))
	h.recordClaim(c, grant, err)
	if err != nil || kept != nil {
		h.returnQuota(c)
	}
	switch {
	case errors.Is(err, claimer.ErrKeyReused):
		h.refuseCall(w, c, http.StatusUnprocessableEntity, fireflymoor.NotRun, err.Error())
	case errors.Is(err, claimer.ErrKeyInUse):
		h.refuseCall(w, c, http.StatusConflict, fireflymoor.Unknown, err.Error())
	case err != nil:
		h.refuseCall(w, c, http.StatusServiceUnavailable, fireflymoor.NotRun, err.Error())
	case kept != nil:
		w.Header().Set(annotator.Replayed, "yes")
		h.writeResponse(w, c, newResponse(kept))
	default:
		c.grant = grant
		h.serve(ctx, w, c)
	}
}

// recordClaim counts and logs the result of a claim.
func (h *Handler) recordClaim(c *call, grant *claimer.Grant, err error) {
	result := "granted"
	switch {
	case errors.Is(err, claimer.ErrKeyReused):
		result = "other call"
	case errors.Is(err, claimer.ErrKeyInUse):
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

// conclude reports to the keepers how a call with a key ended without a
// response.
func (c *call) conclude(ctx context.Context, outcome fireflymoor.Outcome) {
	switch {
	case c.grant == nil:
	case outcome == fireflymoor.NotRun:
		c.grant.Release(ctx)
	default:
		c.grant.RecordUnknown(ctx)
	}
}

// respondKeyed reports the response to the keepers before any of it is sent to
// the caller, who may have disconnected. A response whose body is longer than
// maxKeptBody is reported without its content.
func (h *Handler) respondKeyed(ctx context.Context, w http.ResponseWriter, c *call, response *http.Response) {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBody+1))
	if err != nil {
		_ = response.Body.Close()
		c.grant.RecordUnknown(ctx)
		h.refuseCall(w, c, http.StatusBadGateway, fireflymoor.Unknown, "the answer broke off")
		return
	}
	source := response.Body
	if len(content) > maxKeptBody {
		c.grant.RecordResponse(ctx, nil)
		response.Body = &readCloser{
			Reader: io.MultiReader(bytes.NewReader(content), source),
			Closer: source,
		}
		h.writeResponse(w, c, response)
		return
	}
	annotator.RemoveHopByHop(response.Header)
	c.grant.RecordResponse(ctx, newKeptAnswer(response, content))
	response.ContentLength = int64(len(content))
	response.Body = &readCloser{
		Reader: bytes.NewReader(content),
		Closer: source,
	}
	h.writeResponse(w, c, response)
}

// readCloser combines a reader with the closer of its source.
type readCloser struct {
	io.Reader
	io.Closer
}

// newKeptAnswer returns a response in the form that keepers store.
func newKeptAnswer(response *http.Response, body []byte) *messenger.KeptAnswer {
	kept := &messenger.KeptAnswer{
		Status: uint32(response.StatusCode),
		Body:   body,
	}
	for name, values := range response.Header {
		if annotator.IsInternal(name) {
			continue
		}
		kept.Headers = append(kept.Headers, &messenger.KeptHeader{
			Name:   name,
			Values: values,
		})
	}
	return kept
}

// newResponse returns the response that the keepers have stored.
func newResponse(kept *messenger.KeptAnswer) *http.Response {
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
