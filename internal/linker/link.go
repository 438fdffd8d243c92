// Package linker implements the links to a process's neighbours in the
// overlay and the frames sent over them, and the connections for other calls
// between processes.
package linker

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
	// FastHeartbeat is the interval between heartbeats on links that serve early
	// failure detection.
	FastHeartbeat = 400 * time.Millisecond
	// SlowHeartbeat is the interval between heartbeats on all other links.
	SlowHeartbeat = 1600 * time.Millisecond
	// fastReceiveTimeout is the time without a received frame after which a link
	// with fast heartbeats is closed. It grows in proportion to the interval.
	fastReceiveTimeout = 1500 * time.Millisecond
	slowReceiveTimeout = fastReceiveTimeout * SlowHeartbeat / FastHeartbeat
	// quietShare is the share of the receive timeout after which a link counts as
	// quiet, as a fraction. It leaves time for a dial before the timeout.
	quietShare = 0.5
	// helloTimeout bounds each dial, and then the exchange of hellos on a link.
	helloTimeout = 700 * time.Millisecond
	// goodbyeDelay is how long a closed link stays open to send the goodbye.
	goodbyeDelay = 100 * time.Millisecond
	// sendQueueLength is the maximum number of frames queued on a link.
	sendQueueLength = 512
)

// The reasons for which a link ends.
var (
	ErrTimeout   = errors.New("timed out waiting for a frame from the peer")
	ErrReplaced  = errors.New("the link was replaced by another link to the peer")
	ErrUnwanted  = errors.New("the link is no longer wanted")
	ErrQueueFull = errors.New("the send queue of the link is full")
	ErrNoHello   = errors.New("the first frame is not a hello with a member name")
)

// A Handler handles the events of links. Its methods are called from the
// links' goroutines.
type Handler interface {
	// Hello returns the first frame to send on a link. It is marked as joining
	// if only a sample of members is requested.
	Hello(joining bool) *messenger.Frame
	// Heartbeat returns the current heartbeat.
	Heartbeat() *messenger.Heartbeat
	// Admit returns the frames to send in response to the hello of an incoming
	// link. It reports whether the link stays open after them.
	Admit(ctx context.Context, hello *messenger.Hello) (response []*messenger.Frame, ok bool)
	// Up is called when a link is up.
	Up(link *Link)
	// Frame handles one received frame.
	Frame(link *Link, frame *messenger.Frame)
	// Quiet is called when no frame was received for quietShare of the receive
	// timeout.
	Quiet(link *Link)
	// Down is called when a link that was up has ended, with the reason.
	Down(link *Link, err error)
	// Invalid is called when a frame to or from a peer could not be encoded or decoded,
	// and the records at fault were left out. The direction is "in" or "out".
	Invalid(peer, direction string, err error)
}

// stream is one end of a drpc stream of frames.
type stream interface {
	Send(frame *messenger.Frame) error
	Recv() (*messenger.Frame, error)
}

// A Link sends frames to and receives frames from one neighbour.
type Link struct {
	hello           *messenger.Hello
	dialed          bool
	queue           chan *messenger.Frame
	cancel          context.CancelCauseFunc
	localInterval   atomic.Int64
	peerInterval    atomic.Int64
	intervalChanged chan struct{}
	// closeReason is the reason for which this end closed the link. It takes
	// precedence over errors that follow.
	closeReason atomic.Pointer[error]
}

// Peer returns the neighbour's fact as of when the link was opened.
func (l *Link) Peer() *messenger.Fact {
	return l.hello.GetSelf()
}

// Head returns the neighbour's head as of when the link was opened.
func (l *Link) Head() *messenger.Head {
	return l.hello.GetHead()
}

// Dialed reports whether this process opened the link.
func (l *Link) Dialed() bool {
	return l.dialed
}

// Send queues a frame. If the queue is full, the link is closed. The lost facts
// are recovered by the comparison of digests when the next link opens.
func (l *Link) Send(frame *messenger.Frame) {
	select {
	case l.queue <- frame:
	default:
		l.cancel(ErrQueueFull)
	}
}

// RequestInterval sets the heartbeat interval that this process requests. Both
// ends use the shorter of the two requested intervals.
func (l *Link) RequestInterval(interval time.Duration) {
	if l.localInterval.Swap(int64(interval)) == int64(interval) {
		return
	}
	l.signalIntervalChange()
}

// signalIntervalChange makes transmit send a heartbeat at once and apply the new
// interval.
func (l *Link) signalIntervalChange() {
	select {
	case l.intervalChanged <- struct{}{}:
	default:
	}
}

// interval returns the time between the heartbeats that this end sends.
func (l *Link) interval() time.Duration {
	return time.Duration(min(l.localInterval.Load(), l.peerInterval.Load()))
}

// onHeartbeat applies the interval that the neighbour requests, and returns the
// receive timeout for the interval at which the neighbour sends.
func (l *Link) onHeartbeat(heartbeat *messenger.Heartbeat) time.Duration {
	requested := time.Duration(heartbeat.GetWishMilliseconds()) * time.Millisecond
	if requested < FastHeartbeat || requested > SlowHeartbeat {
		requested = SlowHeartbeat
	}
	if l.peerInterval.Swap(int64(requested)) > int64(requested) {
		l.signalIntervalChange()
	}
	interval := time.Duration(heartbeat.GetIntervalMilliseconds()) * time.Millisecond
	interval = min(max(interval, FastHeartbeat), SlowHeartbeat)
	return fastReceiveTimeout * interval / FastHeartbeat
}

// Close sends a goodbye and then ends the link. The reason is passed to the
// handler.
func (l *Link) Close(reason error) {
	l.closeReason.Store(&reason)
	l.Send(&messenger.Frame{
		Body: &messenger.Frame_Goodbye{
			Goodbye: &messenger.Goodbye{},
		},
	})
	time.AfterFunc(goodbyeDelay, func() { l.cancel(reason) })
}

// run sends and receives frames until ctx ends, and returns the reason.
func (l *Link) run(ctx context.Context, s stream, handler Handler, count *counter.Counter) error {
	receiveTimer := time.AfterFunc(slowReceiveTimeout, func() {
		l.cancel(ErrTimeout)
	})
	defer receiveTimer.Stop()
	quietTimer := time.AfterFunc(quietTime(slowReceiveTimeout), func() {
		handler.Quiet(l)
	})
	defer quietTimer.Stop()
	handler.Up(l)
	go l.receive(s, handler, receiveTimer, quietTimer)
	go l.transmit(ctx, s, handler, count)
	<-ctx.Done()
	err := context.Cause(ctx)
	if reason := l.closeReason.Load(); reason != nil {
		err = *reason
	}
	handler.Down(l, err)
	return err
}

// quietTime returns the time without a frame after which a link counts as quiet.
func quietTime(timeout time.Duration) time.Duration {
	return time.Duration(quietShare * float64(timeout))
}

// receive passes received frames to the handler, and restarts the timers after
// each.
func (l *Link) receive(s stream, handler Handler, receiveTimer, quietTimer *time.Timer) {
	timeout := slowReceiveTimeout
	for {
		frame, err := s.Recv()
		if err != nil {
			l.cancel(errors.Wrapf(err, "linker %s: receive", l.Peer().GetName()))
			return
		}
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			timeout = l.onHeartbeat(heartbeat)
		}
		receiveTimer.Reset(timeout)
		quietTimer.Reset(quietTime(timeout))
		if frame.GetGoodbye() != nil {
			l.cancel(ErrUnwanted)
			return
		}
		handler.Frame(l, frame)
	}
}

// transmit sends queued frames. A heartbeat that is due is sent before them.
func (l *Link) transmit(ctx context.Context, s stream, handler Handler, count *counter.Counter) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		frame := l.nextFrame(ctx, timer, handler)
		if frame == nil {
			return
		}
		if err := s.Send(frame); err != nil {
			l.cancel(errors.Wrapf(err, "linker %s: send", l.Peer().GetName()))
			return
		}
		count.CountSent(kindOf(frame), proto.Size(frame))
	}
}

// nextFrame waits for the next frame to send. It returns nil when ctx ends.
func (l *Link) nextFrame(ctx context.Context, timer *time.Timer, handler Handler) *messenger.Frame {
	select {
	case <-timer.C:
		return l.heartbeat(timer, handler)
	case <-l.intervalChanged:
		return l.heartbeat(timer, handler)
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return l.heartbeat(timer, handler)
	case <-l.intervalChanged:
		return l.heartbeat(timer, handler)
	case frame := <-l.queue:
		return frame
	}
}

// heartbeat returns a heartbeat, and restarts the timer for the next one.
func (l *Link) heartbeat(timer *time.Timer, handler Handler) *messenger.Frame {
	interval := l.interval()
	timer.Reset(interval)
	heartbeat := proto.CloneOf(handler.Heartbeat())
	heartbeat.IntervalMilliseconds = uint32(interval.Milliseconds())
	heartbeat.WishMilliseconds = uint32(time.Duration(l.localInterval.Load()).Milliseconds())
	return &messenger.Frame{
		Body: &messenger.Frame_Heartbeat{
			Heartbeat: heartbeat,
		},
	}
}

// kindOf returns the metric label of a frame.
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
