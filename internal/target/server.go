package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/detector"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/sender"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
)

const (
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection to a target is kept, unless the
	// target sends a shorter timeout. Targets keep idle connections for 10 s or
	// more.
	idleTimeout = 8 * time.Second
	// defaultWeight is the weight of a tenant that is not in the configuration.
	defaultWeight = 1
)

// A Server forwards calls to the targets of a Registry. It alone allocates their
// slots, so that the outcome NotRun from it is authoritative.
type Server struct {
	registry  *Registry
	dialect   fireflymoor.Dialect
	transport *sender.Transport
	shaper    *shaper.Shaper
	metrics   *Metrics
	// quarantine holds the requests under which targets have ended, or is nil.
	quarantine *quarantiner.Quarantiner
	dial       func(ctx context.Context, network, address string) (net.Conn, error)
	// findNeighbor returns the id of a target with a free slot, or is nil.
	findNeighbor func(service string) string

	lock sync.Mutex
	// running holds the calls in progress at the targets by the ids that the
	// callers gave them.
	running map[string]*runningCalls
}

// runningCalls are the calls in progress with one id.
type runningCalls struct {
	count int
	// tenant is the name of the tenant of the first of them, or empty.
	tenant string
}

// errKeyWithdrawn is the error of a call whose key was withdrawn while it waited for a
// slot.
var errKeyWithdrawn = errors.New("the key of the call was withdrawn")

// NewServer returns a new Server that uses dialect for the headers of calls to the
// targets. Bulk responses share the link by shaper. The options apply to the transport
// to the targets.
func NewServer(registry *Registry, dialect fireflymoor.Dialect, dialer *dialer.Dialer, shaper *shaper.Shaper, options ...sender.Option) *Server {
	options = append([]sender.Option{sender.WithResponseMatcher(dialect.SameCall)}, options...)
	return &Server{
		registry:  registry,
		dialect:   dialect,
		transport: sender.NewTransport(dialer.TrafficDialFunc(dialTimeout), idleTimeout, options...),
		shaper:    shaper,
		dial:      dialer.TrafficDialFunc(dialTimeout),
		running:   map[string]*runningCalls{},
	}
}

// UseMetrics makes the server record metrics. It must be called before Forward.
func (s *Server) UseMetrics(metrics *Metrics) {
	s.metrics = metrics
}

// IsRunning reports whether a target of this instance is running the call with
// an id, and returns the name of the tenant on whose behalf it runs, or "".
func (s *Server) IsRunning(id string) (tenant string, running bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	calls := s.running[id]
	if calls == nil {
		return "", false
	}
	return calls.tenant, true
}

// trackRunning counts a call as running until the returned function is called. It
// ignores calls without an id.
func (s *Server) trackRunning(header http.Header) func() {
	call, err := s.dialect.ReadCall(header)
	if err != nil || call.ID == "" {
		return func() {}
	}
	s.beginRunning(call.ID, header.Get(annotator.Tenant))
	return func() { s.endRunning(call.ID) }
}

func (s *Server) beginRunning(id, tenant string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.running[id] == nil {
		s.running[id] = &runningCalls{
			tenant: tenant,
		}
	}
	s.running[id].count++
}

func (s *Server) endRunning(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running[id].count--
	if s.running[id].count == 0 {
		delete(s.running, id)
	}
}

// Forward implements fireflymoor.Forwarder for the targets of this instance.
func (s *Server) Forward(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	if in.Header.Get(annotator.Bulk) != "" {
		return s.forwardBulk(ctx, target, in)
	}
	return s.forward(ctx, target, in)
}

// forward acquires a slot of the target for a call and sends the call to it.
func (s *Server) forward(ctx context.Context, target fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	t, err := s.registry.find(target.ID, time.Now())
	if err != nil {
		return nil, fireflymoor.NotRun, errors.Wrapf(err, "target %s: find", target.ID)
	}
	if departed, err := strconv.ParseInt(in.Header.Get(annotator.Departed), 10, 64); err == nil && t.started <= departed {
		s.registry.drainLeaving(t, "known to the node of a caller")
	}
	t.limit.adopt(annotator.ReadLimit(in.Header), t.limiter.SetRate)
	configuration := s.registry.current()
	ticket := readTicket(in.Header, configuration)
	keyID := in.Header.Get(annotator.KeyID)
	arrived := time.Now()
	if err := acquire(ctx, in.Context(), t.limiter, ticket); err != nil {
		if in.Context().Err() != nil {
			s.metrics.observeDeparture(stageQueue)
		}
		s.addReport(t, err)
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrapf(err, "target %s: take a slot", target.ID), fireflymoor.ErrBusy)
	}
	started := time.Now()
	s.metrics.observeWait(started.Sub(arrived))
	if !s.registry.valid(t, started) {
		t.limiter.Return(ticket)
		return nil, fireflymoor.NotRun, errors.Wrapf(ErrUnknown, "target %s: take a slot", target.ID)
	}
	if s.keyWithdrawn(keyID, configuration) {
		t.limiter.Return(ticket)
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrapf(errKeyWithdrawn, "target %s: take a slot", target.ID), fireflymoor.ErrBusy)
	}
	if detector.HasLeft(ctx) {
		s.metrics.observeDeparture(stageSlot)
		t.limiter.Return(ticket)
		return nil, fireflymoor.NotRun, errors.Wrapf(fireflymoor.ErrCallerLeft, "target %s: take a slot", target.ID)
	}
	v, err := s.suspect(in)
	if err != nil {
		t.limiter.Return(ticket)
		return nil, fireflymoor.NotRun, err
	}
	untrack := s.trackRunning(in.Header)
	release := func() {
		untrack()
		t.limiter.Release(ticket, time.Since(started))
	}
	response, outcome, err := s.send(ctx, t, in, &v)
	v.release()
	if err != nil {
		if in.Context().Err() != nil {
			s.metrics.observeDeparture(stageTarget)
		}
		release()
		return nil, outcome, err
	}
	response.Body = &releasingBody{
		ReadCloser: response.Body,
		remaining:  response.ContentLength,
		release:    release,
	}
	return response, fireflymoor.Answered, nil
}

// acquire acquires a slot for a call. A call that waits has not run, so that the wait ends
// with the call's connection, even if the call would outlive that once it was sent.
func acquire(ctx, connection context.Context, slots *limiter.Limiter, ticket limiter.Ticket) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(connection, cancel)()
	return slots.Acquire(ctx, ticket)
}

// keyWithdrawn reports whether the key with an id was in the configuration in which a
// call arrived, and is not in the current one. A key that this node has never known may
// be newer than its configuration.
func (s *Server) keyWithdrawn(id string, atArrival fireflymoor.Configuration) bool {
	current := s.registry.current()
	if id == "" || current.Number() == atArrival.Number() || !current.HasTenants() {
		return false
	}
	return atArrival.HasKeyID(id) && !current.HasKeyID(id)
}

// readTicket reads the ticket of a call from the headers that the forwarding node
// set. A tenant that the configuration lacks has the default weight.
func readTicket(header http.Header, configuration fireflymoor.Configuration) limiter.Ticket {
	ticket := limiter.Ticket{
		Objective: annotator.Milliseconds(header, annotator.Objective),
		Bulk:      header.Get(annotator.Bulk) != "",
		MaxWait:   annotator.Milliseconds(header, annotator.MaxWait),
	}
	if rank, err := strconv.Atoi(header.Get(annotator.Rank)); err == nil {
		ticket.Rank = rank
	}
	if ticket.Tenant = header.Get(annotator.Tenant); ticket.Tenant != "" {
		ticket.Weight = defaultWeight
		if tenant, ok := configuration.Tenant(ticket.Tenant); ok {
			ticket.Weight = tenant.Weight
		}
	}
	return ticket
}

// send sends a call to a target after a slot has been acquired for it.
func (s *Server) send(ctx context.Context, t *localTarget, in *http.Request, v *suspicion) (*http.Response, fireflymoor.Outcome, error) {
	out := sender.Prepare(ctx, in, t.address, in.Body, in.ContentLength)
	origin := out.Header.Get(annotator.Origin)
	tenant := out.Header.Get(annotator.Tenant)
	annotator.CleanRequest(out.Header)
	s.dialect.WriteDispatch(out.Header, fireflymoor.Dispatch{
		Target:   t.id,
		TimeLeft: remaining(ctx),
		Origin:   origin,
		Tenant:   tenant,
	})
	sentAt := time.Now()
	limit, _ := t.limit.state()
	s.metrics.observeSent(limit > 0)
	response, outcome, err := sender.Send(s.transport, out)
	if err != nil {
		if outcome == fireflymoor.Unknown {
			err = s.observeFailure(ctx, t, in, v, err)
		}
		return nil, outcome, err
	}
	verdict := s.dialect.ReadResponse(out.Header, response.Header, response.StatusCode)
	if verdict.Err == nil {
		s.observeNotice(t, response.Header, sentAt)
	}
	t.own.record(verdict.Load, time.Now())
	if verdict.Err == nil && !verdict.NotRun {
		s.observeAnswer(in, v)
		s.setLoad(t, response.Header)
		return response, fireflymoor.Answered, nil
	}
	_ = response.Body.Close()
	if verdict.Err != nil {
		return nil, fireflymoor.Unknown, errors.Wrapf(verdict.Err, "target %s: read the answer", t.id)
	}
	err = errors.Wrapf(fireflymoor.ErrBusy, "target %s: refused", t.id)
	return nil, fireflymoor.NotRun, errors.Mark(err, fireflymoor.ErrRefusedByTarget)
}

// setLoad writes the target's load to the header of a response. Nodes that balance
// evenly get the longer form.
func (s *Server) setLoad(t *localTarget, header http.Header) {
	if t.isEven(s.registry.balance()) {
		annotator.SetLoadReport(header, t.report(1, time.Now()))
		return
	}
	annotator.SetLoad(header, t.limiter.Load())
}

// remaining returns the time until the deadline of ctx, or 0 if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), 0)
}

// releasingBody frees the slot once the response body has been read to its end or
// closed. The target has finished the call by then, even if the link to the caller
// is slow.
type releasingBody struct {
	io.ReadCloser
	// remaining is the number of bytes still to be read, or negative if the length
	// is unknown.
	remaining int64
	release   func()
	once      sync.Once
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	if err != nil || b.remaining == 0 {
		b.once.Do(b.release)
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.once.Do(b.release)
	return b.ReadCloser.Close()
}
