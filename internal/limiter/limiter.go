// Package limiter holds a target's calls to its slots, with a queue in the
// order in which calls should be served. A call that could not begin in time
// is refused when it arrives, or as soon as that is known.
package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

// The reasons to refuse a call.
var (
	ErrFull     = errors.New("all slots and the queue are full")
	ErrDraining = fireflymoor.ErrDraining
	ErrDeadline = errors.New("the deadline passed in the queue")
)

const (
	// holdShare is the share of the newest call in the time that calls hold a
	// slot.
	holdShare = 0.1
	// leastPatience is the part of a call's time that it may wait in any case:
	// calls of one rank do not all take the same time.
	leastPatience = 8
	// waitShare is the part of a call's spare time that it may wait. In a lasting
	// overload the wait is always that long, so that most calls are in time
	// only if most of the spare time is left for work that takes longer than
	// others'.
	waitShare = 3
	// pushSlack is the part of a call's patience by which it may be late when
	// more urgent calls are put before it: the wait is an estimate.
	pushSlack = 4
	// guessedHold is the part of a call's time that it is taken to hold a slot
	// before any call has ended: operators set a route's objective to some
	// times the work.
	guessedHold = 3
	// nestedShare is the part of the slots that nested calls, of ranks below 0,
	// may hold while others wait. Their parents hold slots elsewhere, but these
	// are not always the most urgent calls. It is of the slots held, not of those
	// handed out: nested calls are short.
	nestedShare = 2
	// drainWait is how long a call may still wait when its target begins to
	// drain. A target takes work for some two seconds after.
	drainWait = 1500 * time.Millisecond
)

// A Ticket is what a call says of itself to get a slot.
type Ticket struct {
	// Rank is the call's place among those that wait. The lowest goes first.
	// Those of ranks below 0 are calls that running calls make.
	Rank int
	// Within is the time within which the call should be answered, or 0 if
	// any time before its deadline will do.
	Within time.Duration
}

// A Limiter counts the calls at one target.
type Limiter struct {
	now      func() time.Time
	lock     sync.Mutex
	slots    int
	queue    int
	inFlight int
	// waiting is in the order in which calls get slots.
	waiting []*waiter
	// hold is how long calls have held a slot lately, or 0 if none has ended,
	// and holdOf is the same for the calls of each rank.
	hold   time.Duration
	holdOf map[int]time.Duration
	// nested is the number of slots that nested calls hold.
	nested   int
	draining bool
	idle     chan struct{}
}

// New returns a new Limiter with a number of slots and of waiting calls.
func New(slots, queue int) *Limiter {
	return &Limiter{
		now:    time.Now,
		slots:  slots,
		queue:  queue,
		holdOf: map[int]time.Duration{},
		idle:   make(chan struct{}),
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
func (l *Limiter) Acquire(ctx context.Context, ticket Ticket) error {
	l.lock.Lock()
	if l.draining {
		l.lock.Unlock()
		return ErrDraining
	}
	if l.inFlight < l.slots {
		l.take(ticket.Rank)
		l.lock.Unlock()
		return nil
	}
	w, err := l.enqueue(ctx, ticket)
	l.lock.Unlock()
	if err != nil {
		return err
	}
	return l.wait(ctx, w)
}

// wait waits for a slot, and no longer than the call can use one.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	var late <-chan time.Time
	at, ok := ctx.Deadline()
	if !w.last.IsZero() && (!ok || w.last.Before(at)) {
		timer := time.NewTimer(w.last.Sub(l.now()))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case err := <-w.result:
		return err
	case <-late:
	case <-ctx.Done():
	}
	return l.giveUp(ctx, w)
}

// giveUp takes a call out of the queue. One that has been given a slot
// meanwhile gives it back if its caller is gone.
func (l *Limiter) giveUp(ctx context.Context, w *waiter) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		if ctx.Err() != nil {
			return ErrDeadline
		}
		return &fireflymoor.BusyError{
			Wait: l.waitAt(i),
		}
	}
	err := <-w.result
	if err == nil && ctx.Err() != nil {
		l.release(w.rank)
		return ErrDeadline
	}
	return err
}

// Release gives the slot of a ticket back, which was held for a time.
func (l *Limiter) Release(ticket Ticket, held time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.hold = average(l.hold, held)
	l.holdOf[ticket.Rank] = average(l.holdOf[ticket.Rank], held)
	l.release(ticket.Rank)
}

// average moves an average towards the newest value.
func average(before, newest time.Duration) time.Duration {
	if before == 0 {
		return newest
	}
	return before + time.Duration(holdShare*float64(newest-before))
}

// take gives a slot to a call of a rank.
func (l *Limiter) take(rank int) {
	l.inFlight++
	if rank < 0 {
		l.nested++
	}
}

func (l *Limiter) release(rank int) {
	l.inFlight--
	if rank < 0 {
		l.nested--
	}
	l.wake()
	if l.draining && l.inFlight == 0 && len(l.waiting) == 0 {
		l.close()
	}
}

// wake hands free slots to the calls that are first in the queue and can still
// use one.
func (l *Limiter) wake() {
	now := l.now()
	for l.inFlight < l.slots && len(l.waiting) > 0 {
		w := l.next()
		if passed(w.last, now) {
			w.result <- &fireflymoor.BusyError{}
			continue
		}
		l.take(w.rank)
		w.result <- nil
	}
}

// Drain refuses new calls, and those that wait too long for a target that
// leaves. The channel is closed once all others have ended.
func (l *Limiter) Drain() <-chan struct{} {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !l.draining {
		l.draining = true
		now := l.now()
		for _, w := range l.waiting {
			w.soon = earlier(w.soon, now.Add(drainWait))
			w.last = earlier(w.last, now.Add(drainWait))
		}
		l.refuseLate(now, 0)
	}
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
