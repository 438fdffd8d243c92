// Package neighbour carries the overlay's frames over links to the processes
// next to this one.
package neighbour

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// FastHeartbeat is the time between heartbeats on the links that are to
	// find silent members soon.
	FastHeartbeat = 400 * time.Millisecond
	// SlowHeartbeat is the time between heartbeats on all other links.
	SlowHeartbeat = 1600 * time.Millisecond
	// silenceTimeout is how long a link with fast heartbeats may be silent
	// before it is closed; others in proportion.
	silenceTimeout = 1500 * time.Millisecond
	slowSilence    = silenceTimeout * SlowHeartbeat / FastHeartbeat
	// helloTimeout bounds the opening of a link.
	helloTimeout = 700 * time.Millisecond
	// goodbyeTime is how long a link that is closed stays open to say so.
	goodbyeTime = 100 * time.Millisecond
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
	Admit(ctx context.Context, hello *messenger.Hello) (answer []*messenger.Frame, ok bool)
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
	wish   atomic.Int64
	asked  atomic.Int64
	repace chan struct{}
	// closed is why this end closed the link, whatever it then hears of it.
	closed atomic.Pointer[error]
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

// Wish sets how often this process wishes to hear the neighbour. The shorter
// of both ends' wishes holds for both.
func (l *Link) Wish(interval time.Duration) {
	if l.wish.Swap(int64(interval)) == int64(interval) {
		return
	}
	l.wake()
}

// wake has the pace looked at anew.
func (l *Link) wake() {
	select {
	case l.repace <- struct{}{}:
	default:
	}
}

// interval returns the time between this end's heartbeats.
func (l *Link) interval() time.Duration {
	return time.Duration(min(l.wish.Load(), l.asked.Load()))
}

// hear takes the pace of the neighbour's heartbeat, and returns how long the
// link may now be silent.
func (l *Link) hear(heartbeat *messenger.Heartbeat) time.Duration {
	wish := time.Duration(heartbeat.GetWishMilliseconds()) * time.Millisecond
	if wish < FastHeartbeat || wish > SlowHeartbeat {
		wish = SlowHeartbeat
	}
	if l.asked.Swap(int64(wish)) > int64(wish) {
		l.wake()
	}
	next := time.Duration(heartbeat.GetIntervalMilliseconds()) * time.Millisecond
	next = min(max(next, FastHeartbeat), SlowHeartbeat)
	return silenceTimeout * next / FastHeartbeat
}

// Close ends the link after it has told the neighbour so.
func (l *Link) Close(reason error) {
	l.closed.Store(&reason)
	l.Send(&messenger.Frame{
		Body: &messenger.Frame_Goodbye{
			Goodbye: &messenger.Goodbye{},
		},
	})
	time.AfterFunc(goodbyeTime, func() { l.cancel(reason) })
}

// run carries frames until ctx ends, and returns why it ended.
func (l *Link) run(ctx context.Context, s stream, handler Handler, count *counter.Counter) error {
	silence := time.AfterFunc(slowSilence, func() {
		l.cancel(ErrSilent)
	})
	defer silence.Stop()
	handler.Up(l)
	go l.receive(s, handler, silence)
	go l.transmit(ctx, s, handler, count)
	<-ctx.Done()
	err := context.Cause(ctx)
	if reason := l.closed.Load(); reason != nil {
		err = *reason
	}
	handler.Down(l, err)
	return err
}

func (l *Link) receive(s stream, handler Handler, silence *time.Timer) {
	patience := slowSilence
	for {
		frame, err := s.Recv()
		if err != nil {
			l.cancel(errors.Wrapf(err, "neighbour %s: receive", l.Peer().GetName()))
			return
		}
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			patience = l.hear(heartbeat)
		}
		silence.Reset(patience)
		if frame.GetGoodbye() != nil {
			l.cancel(ErrUnwanted)
			return
		}
		handler.Frame(l, frame)
	}
}

// transmit sends queued frames. A heartbeat that is due goes before them.
func (l *Link) transmit(ctx context.Context, s stream, handler Handler, count *counter.Counter) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		frame := l.next(ctx, timer, handler)
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

func (l *Link) next(ctx context.Context, timer *time.Timer, handler Handler) *messenger.Frame {
	select {
	case <-timer.C:
		return l.heartbeat(timer, handler)
	case <-l.repace:
		return l.heartbeat(timer, handler)
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return l.heartbeat(timer, handler)
	case <-l.repace:
		return l.heartbeat(timer, handler)
	case frame := <-l.queue:
		return frame
	}
}

// heartbeat returns the heartbeat that is due, and sets when the next one is.
func (l *Link) heartbeat(timer *time.Timer, handler Handler) *messenger.Frame {
	interval := l.interval()
	timer.Reset(interval)
	heartbeat := proto.CloneOf(handler.Heartbeat())
	heartbeat.IntervalMilliseconds = uint32(interval.Milliseconds())
	heartbeat.WishMilliseconds = uint32(time.Duration(l.wish.Load()).Milliseconds())
	return &messenger.Frame{
		Body: &messenger.Frame_Heartbeat{
			Heartbeat: heartbeat,
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
	case *messenger.Frame_Updates:
		return "updates"
	case *messenger.Frame_Pull:
		return "pull"
	case *messenger.Frame_Pieces:
		return "pieces"
	case *messenger.Frame_Goodbye:
		return "goodbye"
	case *messenger.Frame_Later:
		return "later"
	case *messenger.Frame_Offer:
		return "offer"
	case *messenger.Frame_FactRequest:
		return "fact-request"
	}
	return "none"
}
