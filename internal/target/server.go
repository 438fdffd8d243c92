package target

import (
	"context"
	"io"
	"net/http"
	"strconv"
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
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long a connection to a target is kept that does not
	// say how long it keeps one. Targets keep idle connections for ten seconds
	// and more.
	idleTimeout = 8 * time.Second
)

// A Server carries calls to the targets of a Registry. It is the authority on
// their slots, so that its NotRun is the truth.
type Server struct {
	registry  *Registry
	dialect   fireflymoor.Dialect
	transport *sender.Transport

	lock sync.Mutex
	// running counts the calls that targets are running, by their callers' ids.
	running map[string]int
}

// NewServer returns a new Server that speaks dialect with the targets.
func NewServer(registry *Registry, dialect fireflymoor.Dialect, dialer *dialer.Dialer) *Server {
	return &Server{
		registry:  registry,
		dialect:   dialect,
		transport: sender.NewTransport(dialer.Traffic(dialTimeout), idleTimeout, sender.WithOwn(dialect.Own)),
		running:   map[string]int{},
	}
}

// Runs says whether a target of this instance is running the call of an id.
func (s *Server) Runs(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.running[id] > 0
}

// begin notes that a target is running a call, until the returned function is
// called.
func (s *Server) begin(header http.Header) func() {
	head, err := s.dialect.ReadCall(header)
	if err != nil || head.ID == "" {
		return func() {}
	}
	s.count(head.ID, 1)
	return func() { s.count(head.ID, -1) }
}

func (s *Server) count(id string, by int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running[id] += by
	if s.running[id] == 0 {
		delete(s.running, id)
	}
}

// Forward implements fireflymoor.Forwarder for the targets of this instance.
func (s *Server) Forward(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	t, err := s.registry.find(target.ID)
	if err != nil {
		return nil, fireflymoor.NotRun, errors.Wrapf(err, "target %s: find", target.ID)
	}
	ticket := readTicket(in.Header)
	if err := t.limiter.Acquire(ctx, ticket); err != nil {
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrapf(err, "target %s: take a slot", target.ID), fireflymoor.ErrBusy)
	}
	began := time.Now()
	end := s.begin(in.Header)
	release := func() {
		end()
		t.limiter.Release(ticket, time.Since(began))
	}
	response, outcome, err := s.send(ctx, t, in)
	if err != nil {
		release()
		return nil, outcome, err
	}
	response.Body = &releasingBody{
		ReadCloser: response.Body,
		left:       response.ContentLength,
		release:    release,
	}
	return response, fireflymoor.Answered, nil
}

// readTicket reads what a call's node says of it.
func readTicket(header http.Header) limiter.Ticket {
	ticket := limiter.Ticket{
		Within: labeler.Milliseconds(header, labeler.Within),
	}
	if rank, err := strconv.Atoi(header.Get(labeler.Rank)); err == nil {
		ticket.Rank = rank
	}
	return ticket
}

// send sends a call to a target whose slot has been taken.
func (s *Server) send(ctx context.Context, t *local, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	out := sender.Prepare(ctx, in, t.announcement.Address, in.Body, in.ContentLength)
	origin := out.Header.Get(labeler.Origin)
	labeler.CleanRequest(out.Header)
	s.dialect.WriteDispatch(out.Header, fireflymoor.Dispatch{
		Target: t.announcement.ID,
		Left:   left(ctx),
		Origin: origin,
	})
	response, outcome, err := sender.Send(s.transport, out)
	if err != nil {
		return nil, outcome, err
	}
	verdict := s.dialect.ReadAnswer(out.Header, response.Header, response.StatusCode)
	if verdict.Err == nil && !verdict.NotRun {
		labeler.SetLoad(response.Header, t.limiter.Load())
		return response, fireflymoor.Answered, nil
	}
	_ = response.Body.Close()
	if verdict.Err != nil {
		return nil, fireflymoor.Unknown, errors.Wrapf(verdict.Err, "target %s: read the answer", t.announcement.ID)
	}
	err = errors.Wrapf(fireflymoor.ErrBusy, "target %s: refused", t.announcement.ID)
	return nil, fireflymoor.NotRun, errors.Mark(err, fireflymoor.ErrArrived)
}

// left returns the time that ctx has left, or 0 if it has no deadline.
func left(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(at), 0)
}

// releasingBody gives the slot back once the answer has been read or left: the
// target is done then, however long its caller's link takes.
type releasingBody struct {
	io.ReadCloser
	// left is the number of bytes to come, or below 0 if that is not known.
	left    int64
	release func()
	once    sync.Once
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err != nil || b.left == 0 {
		b.once.Do(b.release)
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.once.Do(b.release)
	return b.ReadCloser.Close()
}
