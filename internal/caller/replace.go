package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// replaceTime is the part of a route's objective that a call must have left
// for a failed answer to be replaced: a further try takes time.
const replaceTime = 2

// mayReplace says whether a target's failure should be replaced by the answer
// of another. The failure is kept, to be passed on if no other answer comes.
func (h *Handler) mayReplace(ctx context.Context, c *call, response *http.Response) bool {
	repeatable := response.StatusCode >= http.StatusInternalServerError && c.route.MayRepeat(c.request.Method)
	if !repeatable || c.grant != nil || !timeFor(ctx, c.route) || response.ContentLength > maxKept {
		return false
	}
	if !h.keepFailure(c, response) {
		return false
	}
	return h.mayRetry(ctx, c, fireflymoor.Unknown, errFailed)
}

// timeFor says whether a call has time for a further try.
func timeFor(ctx context.Context, route fireflymoor.Route) bool {
	at, ok := ctx.Deadline()
	return !ok || time.Until(at) > route.Objective/replaceTime
}

// keepFailure reads a failed answer and keeps it. One that is too long to keep,
// or breaks off, is left for its reader.
func (h *Handler) keepFailure(c *call, response *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKept+1))
	source := response.Body
	if err != nil || len(body) > maxKept {
		response.Body = &joined{
			Reader: io.MultiReader(bytes.NewReader(body), &failingReader{err: err, rest: source}),
			Closer: source,
		}
		return false
	}
	_ = source.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	c.failure = response
	return true
}

// failingReader reads the rest of a body, or fails as the body did.
type failingReader struct {
	err  error
	rest io.Reader
}

// Read implements io.Reader.
func (r *failingReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.rest.Read(p)
}
