package target

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
	"github.com/fireflymoor/fireflymoor/internal/sender"
)

const (
	// connections is the number of connections that a target takes.
	connections = 100
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// A Server carries calls to the targets of a Registry. It is the authority on
// their slots, so that its NotRun is the truth.
type Server struct {
	registry  *Registry
	transport *http.Transport
}

// NewServer returns a new Server.
func NewServer(registry *Registry, dialer *dialer.Dialer) *Server {
	return &Server{
		registry:  registry,
		transport: sender.NewTransport(connections, dialer.Traffic(dialTimeout), idleTimeout),
	}
}

// Forward implements fireflymoor.Forwarder for the targets of this instance.
func (s *Server) Forward(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	t, err := s.registry.find(target.ID)
	if err != nil {
		return nil, fireflymoor.NotRun, errors.Wrapf(err, "target %s: find", target.ID)
	}
	if err := t.limiter.Acquire(ctx); err != nil {
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrapf(err, "target %s: take a slot", target.ID), fireflymoor.ErrBusy)
	}
	out := sender.Prepare(ctx, in, t.announcement.Address, in.Body, in.ContentLength)
	labeler.CleanRequest(out.Header)
	response, outcome, err := sender.Send(s.transport, out)
	if err != nil {
		t.limiter.Release()
		return nil, outcome, err
	}
	labeler.SetLoad(response.Header, t.limiter.Load())
	response.Body = &releasingBody{
		ReadCloser: response.Body,
		limiter:    t.limiter,
	}
	return response, fireflymoor.Answered, nil
}

// releasingBody gives the slot back once the answer has been read or left.
type releasingBody struct {
	io.ReadCloser
	limiter *limiter.Limiter
	once    sync.Once
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.once.Do(b.limiter.Release)
	return b.ReadCloser.Close()
}
