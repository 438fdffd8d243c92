// Package neighbour carries the overlay's frames over links to the processes
// next to this one.
package neighbour

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// heartbeatInterval is the time between heartbeats on a link.
	heartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is how long a link may be silent before it is closed.
	silenceTimeout = 1500 * time.Millisecond
	// helloTimeout bounds the opening of a link.
	helloTimeout = 700 * time.Millisecond
	// queueLength is the number of frames that may wait on a link.
	queueLength = 512
)

// The reasons why a link ended.
var (
	ErrSilent   = errors.New("the link was silent")
	ErrReplaced = errors.New("another link to the peer took its place")
	ErrUnwanted = errors.New("the link is no longer wanted")
	ErrFull     = errors.New("the link's queue was full")
	ErrNoHello  = errors.New("the first frame is no hello")
)

// A Handler takes what happens on links. Its methods are called from the
// links' goroutines.
type Handler interface {
	// Hello returns the frame that opens a link.
	Hello(joining bool) *messenger.Frame
	// Heartbeat returns the current heartbeat.
	Heartbeat() *messenger.Heartbeat
	// Admit reports whether an incoming link may stay, and otherwise the
	// frames to answer before it is closed.
	Admit(hello *messenger.Hello) (answer []*messenger.Frame, ok bool)
	// Up says that a link is up.
	Up(link *Link)
	// Frame takes one frame.
	Frame(link *Link, frame *messenger.Frame)
	// Down says that a link that was up has ended, and why.
	Down(link *Link, err error)
}

// stream is either end of a drpc stream of frames.
type stream interface {
	Send(frame *messenger.Frame) error
	Recv() (*messenger.Frame, error)
}

// A Link carries frames to and from one neighbour.
type Link struct {
	hello  *messenger.Hello
	dialed bool
	queue  chan *messenger.Frame
	cancel context.CancelCauseFunc
}

// Peer returns the neighbour's fact as of the link's opening.
func (l *Link) Peer() *messenger.Fact {
	return l.hello.GetSelf()
}

// Head returns the neighbour's head as of the link's opening.
func (l *Link) Head() *messenger.Head {
	return l.hello.GetHead()
}

// Dialed says whether this process opened the link.
func (l *Link) Dialed() bool {
	return l.dialed
}

// Send queues a frame. A link whose queue is full is closed; what it loses is
// made good when the next link compares digests.
func (l *Link) Send(frame *messenger.Frame) {
	select {
	case l.queue <- frame:
	default:
		l.cancel(ErrFull)
	}
}

// Close ends the link.
func (l *Link) Close(reason error) {
	l.cancel(reason)
}

// run carries frames until ctx ends, and returns why it ended.
func (l *Link) run(ctx context.Context, s stream, handler Handler, count *counter.Counter) error {
	silence := time.AfterFunc(silenceTimeout, func() {
		l.cancel(ErrSilent)
	})
	defer silence.Stop()
	handler.Up(l)
	go l.receive(s, handler, silence)
	go l.transmit(ctx, s, handler, count)
	<-ctx.Done()
	err := context.Cause(ctx)
	handler.Down(l, err)
	return err
}

func (l *Link) receive(s stream, handler Handler, silence *time.Timer) {
	for {
		frame, err := s.Recv()
		if err != nil {
			l.cancel(errors.Wrapf(err, "neighbour %s: receive", l.Peer().GetName()))
			return
		}
		silence.Reset(silenceTimeout)
		handler.Frame(l, frame)
	}
}

// transmit sends queued frames. A heartbeat that is due goes before them.
func (l *Link) transmit(ctx context.Context, s stream, handler Handler, count *counter.Counter) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		frame := l.next(ctx, ticker.C, handler)
		if frame == nil {
			return
		}
		if err := s.Send(frame); err != nil {
			l.cancel(errors.Wrapf(err, "neighbour %s: send", l.Peer().GetName()))
			return
		}
		count.Sent(kindOf(frame), proto.Size(frame))
	}
}

func (l *Link) next(ctx context.Context, due <-chan time.Time, handler Handler) *messenger.Frame {
	select {
	case <-due:
		return heartbeatFrame(handler)
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-due:
		return heartbeatFrame(handler)
	case frame := <-l.queue:
		return frame
	}
}

func heartbeatFrame(handler Handler) *messenger.Frame {
	return &messenger.Frame{
		Body: &messenger.Frame_Heartbeat{
			Heartbeat: handler.Heartbeat(),
		},
	}
}

func kindOf(frame *messenger.Frame) string {
	switch frame.GetBody().(type) {
	case *messenger.Frame_Hello:
		return "hello"
	case *messenger.Frame_Heartbeat:
		return "heartbeat"
	case *messenger.Frame_Facts:
		return "facts"
	case *messenger.Frame_Digest:
		return "digest"
	case *messenger.Frame_FactKeys:
		return "fact-keys"
	case *messenger.Frame_Head:
		return "head"
	case *messenger.Frame_ManifestRequest:
		return "manifest-request"
	case *messenger.Frame_Manifest:
		return "manifest"
	case *messenger.Frame_Pull:
		return "pull"
	case *messenger.Frame_Pieces:
		return "pieces"
	case *messenger.Frame_Later:
		return "later"
	}
	return "none"
}
