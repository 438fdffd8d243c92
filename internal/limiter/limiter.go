// Package limiter holds a target's calls to its slots, with a short queue
// bounded by the callers' deadlines.
package limiter

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

// The reasons to refuse a call.
var (
	ErrFull     = errors.New("all slots and the queue are full")
	ErrDraining = fireflymoor.ErrDraining
	ErrDeadline = errors.New("the deadline passed in the queue")
)

// A Limiter counts the calls at one target.
type Limiter struct {
	lock     sync.Mutex
	slots    int
	queue    int
	inFlight int
	waiting  []chan struct{}
	draining bool
	idle     chan struct{}
}

// New returns a new Limiter with a number of slots and of waiting calls.
func New(slots, queue int) *Limiter {
	return &Limiter{
		slots: slots,
		queue: queue,
		idle:  make(chan struct{}),
	}
}

// Resize changes the number of slots and of waiting calls.
func (l *Limiter) Resize(slots, queue int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.slots = slots
	l.queue = queue
	l.wake()
}

// Acquire takes a slot, waiting in the queue while ctx lasts. After a nil
// error Release must be called once.
func (l *Limiter) Acquire(ctx context.Context) error {
	l.lock.Lock()
	if l.draining {
		l.lock.Unlock()
		return ErrDraining
	}
	if l.inFlight < l.slots {
		l.inFlight++
		l.lock.Unlock()
		return nil
	}
	if len(l.waiting) >= l.queue {
		l.lock.Unlock()
		return ErrFull
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	l.lock.Unlock()
	return l.wait(ctx, turn)
}

func (l *Limiter) wait(ctx context.Context, turn chan struct{}) error {
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	for i, waiting := range l.waiting {
		if waiting == turn {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return ErrDeadline
		}
	}
	l.release()
	return ErrDeadline
}

// Release gives a slot back.
func (l *Limiter) Release() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.release()
}

func (l *Limiter) release() {
	l.inFlight--
	l.wake()
	if l.draining && l.inFlight == 0 && len(l.waiting) == 0 {
		l.close()
	}
}

// wake hands free slots to the calls that wait longest.
func (l *Limiter) wake() {
	for l.inFlight < l.slots && len(l.waiting) > 0 {
		l.inFlight++
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
}

// Drain refuses new calls. The channel is closed once all others have ended.
func (l *Limiter) Drain() <-chan struct{} {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.draining = true
	if l.inFlight == 0 && len(l.waiting) == 0 {
		l.close()
	}
	return l.idle
}

func (l *Limiter) close() {
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// Load returns the share of slots in use. It is more than 1 while calls wait.
func (l *Limiter) Load() float64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return float64(l.inFlight+len(l.waiting)) / float64(max(l.slots, 1))
}

// InFlight returns the number of calls at the target.
func (l *Limiter) InFlight() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.inFlight
}
