package linker

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// idleTimeout is the time after which an accepted connection is closed if no
	// bytes are received.
	idleTimeout = 10 * time.Second
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 16 << 20
	// acceptPause is the time without attempts to accept a connection after one has
	// failed because the process has no free descriptor or memory.
	acceptPause = 50 * time.Millisecond
)

// ManagerOptions are the drpc options of every connection between processes.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: 0,
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: maxMessageBytes,
		},
		Stream: drpcstream.Options{
			SplitSize: maxFrameBytes,
		},
	}
}

// A Linker opens and accepts links.
type Linker struct {
	handler Handler
	dialer  *dialer.Dialer
}

// NewLinker returns a Linker that opens connections with dialer and passes the
// events of its links to handler.
func NewLinker(handler Handler, dialer *dialer.Dialer) *Linker {
	return &Linker{
		handler: handler,
		dialer:  dialer,
	}
}

// Dial opens a drpc connection to address whose bytes are counted as control
// traffic.
func Dial(ctx context.Context, address string, dialer *dialer.Dialer) (*drpcconn.Conn, error) {
	conn, err := dialer.DialControl(ctx, address, helloTimeout)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{
		Manager: ManagerOptions(),
	}), nil
}

// Open opens a link to address and runs it until it ends. It reports whether the
// link came up, and returns the reason for which it ended.
func (l *Linker) Open(ctx context.Context, address string) (bool, error) {
	opened := false
	err := l.open(ctx, address, forLink, &opened)
	return opened, err
}

// Join requests a sample of members from a seed, and passes it to the handler as
// a frame of facts. It returns a RetryAfterError if the seed refuses.
func (l *Linker) Join(ctx context.Context, address string) error {
	return l.open(ctx, address, forSample, new(bool))
}

// Announce delivers the fact of this process to a member. When it returns nil, the
// member has stored it. It returns a RetryAfterError if the member refuses.
func (l *Linker) Announce(ctx context.Context, address string) error {
	return l.open(ctx, address, forAnnouncement, new(bool))
}

// purpose is what a link is opened for.
type purpose int

const (
	forLink purpose = iota
	forSample
	forAnnouncement
)

func (l *Linker) open(ctx context.Context, address string, purpose purpose, opened *bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := Dial(ctx, address, l.dialer)
	if err != nil {
		return err
	}
	defer func() {
		_ = conn.Close()
	}()
	openTimer := time.AfterFunc(helloTimeout, func() {
		cancel(ErrTimeout)
	})
	defer openTimer.Stop()
	opening, err := messenger.NewDRPCOverlayClient(conn).Link(ctx)
	if err != nil {
		return errors.Wrapf(err, "linker %s: open link", address)
	}
	s := l.tolerate(opening, func() string { return address })
	hello := l.handler.Hello(purpose != forLink)
	hello.GetHello().Announcing = purpose == forAnnouncement
	if err := s.Send(hello); err != nil {
		return errors.Wrapf(err, "linker %s: send hello", address)
	}
	link := newLink(cancel, true)
	if purpose == forSample {
		openTimer.Reset(fastReceiveTimeout)
		return l.receiveSample(s, link, address)
	}
	if err := link.receiveHello(s); err != nil {
		return errors.Wrapf(err, "linker %s: receive hello", address)
	}
	if purpose == forAnnouncement {
		return nil
	}
	openTimer.Stop()
	*opened = true
	return link.run(ctx, s, l.handler, l.dialer.Counter())
}

// tolerate returns a stream that does not end with an invalid frame. The function peer
// identifies the other end.
func (l *Linker) tolerate(s stream, peer func() string) stream {
	return &tolerantStream{
		stream: s,
		onInvalid: func(direction string, err error) {
			l.dialer.Counter().CountInvalid(direction)
			l.handler.Invalid(peer(), direction, err)
		},
	}
}

// A RetryAfterError reports that a peer temporarily refuses a link.
type RetryAfterError struct {
	// After is the time to wait before the next attempt.
	After time.Duration
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return "the peer accepts no links now, retry after " + e.After.String()
}

// receiveSample receives the response to a join: a hello and a frame of facts.
func (l *Linker) receiveSample(s stream, link *Link, address string) error {
	if err := link.receiveHello(s); err != nil {
		return errors.Wrapf(err, "linker %s: join", address)
	}
	frame, err := s.Recv()
	if err != nil {
		return errors.Wrapf(err, "linker %s: join", address)
	}
	l.handler.Frame(link, frame)
	return nil
}

func newLink(cancel context.CancelCauseFunc, dialed bool) *Link {
	l := &Link{
		queue:           make(chan *messenger.Frame, sendQueueLength),
		cancel:          cancel,
		dialed:          dialed,
		intervalChanged: make(chan struct{}, 1),
	}
	l.localInterval.Store(int64(SlowHeartbeat))
	l.peerInterval.Store(int64(SlowHeartbeat))
	return l
}

// receiveHello receives the first frame of a link and stores the hello. It
// returns a RetryAfterError if the peer refuses the link.
func (l *Link) receiveHello(s stream) error {
	frame, err := s.Recv()
	if err != nil {
		return err
	}
	if later := frame.GetLater(); later != nil {
		return &RetryAfterError{
			After: time.Duration(later.GetAfterMilliseconds()) * time.Millisecond,
		}
	}
	l.hello = frame.GetHello()
	if l.hello.GetSelf().GetName() == "" {
		return ErrNoHello
	}
	return nil
}

// Accept runs a link that a neighbour opened until it ends. It returns nil if
// the handler does not let the link stay open.
func (l *Linker) Accept(ctx context.Context, s stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	link := newLink(cancel, false)
	s = l.tolerate(s, func() string { return link.Peer().GetName() })
	if err := link.receiveHello(s); err != nil {
		return errors.Wrap(err, "linker: receive hello")
	}
	response, ok := l.handler.Admit(ctx, link.hello)
	for _, frame := range response {
		if err := s.Send(frame); err != nil {
			return errors.Wrap(err, "linker: respond to hello")
		}
	}
	if !ok {
		return nil
	}
	return link.run(ctx, s, l.handler, l.dialer.Counter())
}

// ServerOptions are the dependencies and limits of Serve.
type ServerOptions struct {
	Mux     *Mux
	Counter *counter.Counter
	// OnPanic is called with the value and the stack of a panic in a call, which ends
	// its connection only.
	OnPanic func(value any, stack []byte)
	// Connections is the maximum number of connections, or 0 to derive it from the
	// process's limit on descriptors.
	Connections int
	// Messages bounds the memory for messages that are not complete. If it is nil,
	// Serve creates a budget of NodeMessageMemory bytes.
	Messages *acceptor.Budget
	// OnRefusal is called with the limit that a peer exceeded and its address. It may
	// be nil.
	OnRefusal func(limit, address string)
}

// Serve accepts drpc connections and serves the calls on them until ctx ends, within
// the limits on clients. Their bytes are counted as control traffic.
func Serve(ctx context.Context, listener net.Listener, options ServerOptions) error {
	guard := newGuard(options)
	server := drpcserver.NewWithOptions(guard, drpcserver.Options{
		Manager: ManagerOptions(),
	})
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
	})
	defer stop()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if isTemporary(err) {
			waiter.Pause(ctx, acceptPause)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "linker: accept")
		}
		options.Counter.CountAccepted()
		conn := guard.admit(options.Counter.Wrap(raw, idleTimeout))
		if conn == nil {
			continue
		}
		go func() {
			defer func() {
				if value := recover(); value != nil {
					options.OnPanic(value, debug.Stack())
					_ = conn.Close()
				}
			}()
			_ = server.ServeOne(ctx, conn)
		}()
	}
}

// isTemporary reports whether a later attempt to accept a connection may succeed after
// an error.
func isTemporary(err error) bool {
	for _, number := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED} {
		if errors.Is(err, number) {
			return true
		}
	}
	return false
}
