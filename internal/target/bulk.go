package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// linkWaitDivisor divides a bulk call's objective to give the time that its response
	// may wait for the link. The rest is left for the wait for a slot, the work of the
	// target and the way.
	linkWaitDivisor = 2
	// defaultLinkWait is that time for a call without an objective.
	defaultLinkWait = time.Second
	// maxHeldResponse is the maximum size of a bulk response that is read whole, so that
	// the target has a free slot while the response waits for the link. Longer ones
	// are read as fast as the link carries them.
	maxHeldResponse = 1 << 20
)

// forwardBulk forwards a bulk call. It refuses the call before the target works on it if
// the link cannot carry the response in time.
func (s *Server) forwardBulk(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	maxWait := defaultLinkWait
	if objective := readTicket(in.Header).Objective; objective > 0 {
		maxWait = objective / linkWaitDivisor
	}
	reservation, wait, ok := s.shaper.Admit(maxWait)
	if !ok {
		busy := &fireflymoor.BusyError{
			Wait: wait,
		}
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrapf(busy, "target %s: reserve the link", target.ID), fireflymoor.ErrBusy)
	}
	response, outcome, err := s.forward(ctx, target, in)
	if err != nil {
		reservation.Release()
		return nil, outcome, err
	}
	closer := &closers{
		body:    response.Body,
		release: reservation.Release,
	}
	if response.ContentLength < 0 || response.ContentLength > maxHeldResponse {
		response.Body = &pacedBody{
			Reader: response.Body,
			Closer: closer,
		}
		return response, outcome, nil
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		_ = closer.Close()
		return nil, fireflymoor.Unknown, errors.Wrapf(err, "target %s: read the answer", target.ID)
	}
	response.Body = &pacedBody{
		Reader: reservation.Pace(ctx, bytes.NewReader(content), len(content)),
		Closer: closer,
	}
	return response, outcome, nil
}

// pacedBody is a response body that is read at the rate of the link.
type pacedBody struct {
	io.Reader
	io.Closer
}

// closers closes a response body and releases its reservation.
type closers struct {
	body    io.Closer
	release func()
}

// Close implements io.Closer.
func (c *closers) Close() error {
	c.release()
	return c.body.Close()
}
