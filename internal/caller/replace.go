package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// tryTimeDivisor sets the time that a call must have left for a further try
// after a failed response: the route's objective divided by it. A further try
// takes time.
const tryTimeDivisor = 2

// mayReplace reports whether another target should be tried after a failed
// response. The failed response is kept, and is returned to the caller if no
// other target responds.
func (h *Handler) mayReplace(ctx context.Context, c *call, response *http.Response) bool {
	mayRepeat := response.StatusCode >= http.StatusInternalServerError && c.route.MayRepeat(c.request.Method)
	if !mayRepeat || c.grant != nil || !hasTimeForTry(ctx, c.route) || response.ContentLength > maxKeptBody {
		return false
	}
	if !h.bufferFailedResponse(c, response) {
		return false
	}
	if !h.mayRetry(ctx, c, fireflymoor.Unknown, errTargetFailed) {
		return false
	}
	_ = response.Body.Close()
	response.Body = io.NopCloser(response.Body)
	return true
}

// hasTimeForTry reports whether a call has time for a further try.
func hasTimeForTry(ctx context.Context, route fireflymoor.Route) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > route.Objective/tryTimeDivisor
}

// bufferFailedResponse reads and keeps a failed response. It reports false if
// the body is too long or its read fails. The response can still be read from its
// start, and its request is still being sent until the response is closed.
func (h *Handler) bufferFailedResponse(c *call, response *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBody+1))
	source := response.Body
	if err != nil || len(body) > maxKeptBody {
		response.Body = &readCloser{
			Reader: io.MultiReader(bytes.NewReader(body), &restReader{err: err, rest: source}),
			Closer: source,
		}
		return false
	}
	response.Body = &readCloser{
		Reader: bytes.NewReader(body),
		Closer: source,
	}
	c.failedResponse = response
	return true
}

// restReader returns the error of an earlier read, or reads the rest of a body
// if there was none.
type restReader struct {
	err  error
	rest io.Reader
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.rest.Read(p)
}
