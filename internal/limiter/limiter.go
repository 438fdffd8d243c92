// Package limiter implements admission control for a target: it bounds the
// number of calls in flight and keeps the other calls in a queue ordered by
// rank, and within a rank by fair shares of the tenants. A call that cannot begin in time is refused on arrival, or as soon as
// that becomes known.
package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

// Errors returned for refused calls.
var (
	ErrFull     = errors.New("all slots and the queue are full")
	ErrDraining = fireflymoor.ErrDraining
	ErrDeadline = errors.New("the deadline passed in the queue")
)

const (
	// holdSmoothing is the weight of the newest call in the moving averages of
	// the time for which calls hold a slot.
	holdSmoothing = 0.1
	// minWaitDivisor divides the time that a call has left or its objective to
	// give the wait that it is always allowed, because calls of one rank do not
	// all take equally long.
	minWaitDivisor = 8
	// waitDivisor divides a call's spare time, which is its objective less the
	// mean hold time of its rank, to give the wait that it is allowed. In a
	// sustained overload every call waits about that long, so most calls finish
	// in time only if most of the spare time is left for calls that take longer
	// than average.
	waitDivisor = 3
	// slackDivisor divides the time until a queued call's soft deadline to give
	// the amount by which its expected wait may exceed that deadline when more
	// urgent calls are queued before it. The expected wait is only an estimate.
	slackDivisor = 4
	// initialHoldDivisor divides a call's objective to estimate the hold time
	// before any call has ended. Operators set the objective of a route to a
	// multiple of the time that the work takes.
	initialHoldDivisor = 3
	// nestedDivisor divides the slots to give the number that nested calls, with
	// ranks below 0, may hold while other calls wait. Nested calls go first
	// because their parents hold slots at other targets, but they are not always
	// the most urgent calls. The limit applies to slots held at one time rather
	// than to slots granted, because nested calls are short.
	nestedDivisor = 2
	// bulkDivisor divides the slots to give the number that bulk calls may hold while
	// other calls wait. Nested calls may then hold more than their usual part.
	bulkDivisor = 3
	// maxDrainWait is how long a call may still wait when its target begins to
	// drain. The target accepts work for about 2 s after that.
	maxDrainWait = 1500 * time.Millisecond
)

// A Ticket describes a call that requests a slot.
type Ticket struct {
	// Rank orders the waiting calls. The lowest rank goes first. Ranks below 0
	// are those of nested calls, which calls in progress make.
	Rank int
	// Objective is the time within which the call should be answered, or 0 if only
	// its deadline matters.
	Objective time.Duration
	// Tenant is the name of the tenant on whose behalf the call is made, or empty.
	Tenant string
	// Weight is the tenant's share of the slots, relative to other tenants.
	Weight float64
	// Bulk is set for calls with large responses that can wait. Ranks below 0 take
	// precedence over it.
	Bulk bool
	// MaxWait is the longest expected wait with which the call is queued, or 0 if
	// there is no such bound. A call that would wait longer is refused, because it can
	// be tried at another target.
	MaxWait time.Duration
}

// A Limiter bounds the number of calls in flight and waiting at one target.
type Limiter struct {
	now      func() time.Time
	lock     sync.Mutex
	slots    int
	queue    int
	inFlight int
	// waiting is ordered by rank, then by start tag, and then by arrival.
	waiting []*waiter
	// sharer holds the shares of the tenants. It is nil until a call has a tenant.
	sharer *sharer
	// meanHold is the moving average of the time for which calls hold a slot. It
	// is 0 if there is no estimate yet.
	meanHold time.Duration
	// meanHoldByRank has the same average for the calls of each rank.
	meanHoldByRank map[int]time.Duration
	// nested is the number of slots that nested calls hold.
	nested int
	// bulk is the number of slots that bulk calls hold.
	bulk int
	// rate bounds the calls per second that get a slot.
	rate rateLimit
	// wake grants slots when the next token of the rate is there. It is nil as long as no
	// call has waited for one.
	wake *time.Timer
	// nestedLast is set if the last call that got a slot was nested.
	nestedLast bool
	draining   bool
	// idle is closed when the limiter drains and its last call has ended.
	idle chan struct{}
}

// New returns a new Limiter that admits up to slots calls at a time and queues
// up to queue further calls.
func New(slots, queue int) *Limiter {
	return &Limiter{
		now:            time.Now,
		slots:          slots,
		queue:          queue,
		meanHoldByRank: map[int]time.Duration{},
		idle:           make(chan struct{}),
	}
}

// Resize changes the number of slots and the length of the queue.
func (l *Limiter) Resize(slots, queue int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.slots = slots
	l.queue = queue
	l.grantSlots()
}

// SetRate sets how many calls per second get a slot, or no such bound if it is 0.
func (l *Limiter) SetRate(perSecond float64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.rate.set(perSecond, l.now())
	l.grantSlots()
}

// Acquire acquires a slot, if necessary by waiting in the queue until ctx is
// done. If it returns nil, the caller must call Release exactly once. Otherwise
// it returns ErrFull, ErrDraining, ErrDeadline or a *fireflymoor.BusyError.
func (l *Limiter) Acquire(ctx context.Context, ticket Ticket) error {
	l.lock.Lock()
	if l.draining {
		l.lock.Unlock()
		return ErrDraining
	}
	f := l.offer(ticket)
	// While there is a rate, calls may wait although slots are free.
	if l.inFlight < l.slots && len(l.waiting) == 0 && l.rate.take(l.now()) {
		l.nestedLast = ticket.class() == classNested
		l.occupySlot(ticket.class())
		l.grantAtOnce(f, ticket)
		l.lock.Unlock()
		return nil
	}
	w, err := l.enqueue(ctx, ticket, f)
	l.lock.Unlock()
	if err != nil {
		return err
	}
	return l.wait(ctx, w)
}

// wait waits for a slot until the hard deadline of the call or until ctx is
// done.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	var expired <-chan time.Time
	deadline, ok := ctx.Deadline()
	if !w.hardDeadline.IsZero() && (!ok || w.hardDeadline.Before(deadline)) {
		timer := time.NewTimer(w.hardDeadline.Sub(l.now()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case err := <-w.result:
		return err
	case <-expired:
	case <-ctx.Done():
	}
	return l.abandon(ctx, w)
}

// abandon removes a call from the queue. If the call was granted a slot in the
// meantime and ctx is done, abandon frees the slot.
func (l *Limiter) abandon(ctx context.Context, w *waiter) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.retag(w.flow)
		if ctx.Err() != nil {
			return ErrDeadline
		}
		return &fireflymoor.BusyError{
			Wait: l.expectedWait(i),
		}
	}
	err := <-w.result
	if err == nil && ctx.Err() != nil {
		l.rate.giveBack()
		l.freeSlot(w.class)
		return ErrDeadline
	}
	return err
}

// Release frees the slot that a ticket has held for the given time.
func (l *Limiter) Release(ticket Ticket, held time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.meanHold = movingAverage(l.meanHold, held)
	l.meanHoldByRank[ticket.Rank] = movingAverage(l.meanHoldByRank[ticket.Rank], held)
	if l.sharer != nil {
		f := l.sharer.flow(ticket)
		f.meanHold = movingAverage(f.meanHold, held)
	}
	l.freeSlot(ticket.class())
}

// Return frees the slot of a call that was not sent to the target, whose time says
// nothing of how long calls hold a slot, and which does not count towards the rate.
func (l *Limiter) Return(ticket Ticket) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.rate.giveBack()
	l.freeSlot(ticket.class())
}

// movingAverage returns the exponentially weighted moving average with the newest
// value included. A zero average counts as unset.
func movingAverage(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(holdSmoothing*float64(newest-mean))
}

// occupySlot counts a slot as held by a call of a class.
func (l *Limiter) occupySlot(c class) {
	l.inFlight++
	l.count(c, 1)
}

// count adds by to the number of slots that calls of a class hold.
func (l *Limiter) count(c class, by int) {
	switch c {
	case classNested:
		l.nested += by
	case classBulk:
		l.bulk += by
	}
}

// freeSlot frees a slot held by a call of a class and grants it to a waiting
// call.
func (l *Limiter) freeSlot(c class) {
	l.inFlight--
	l.count(c, -1)
	l.grantSlots()
	if l.draining && l.inFlight == 0 && len(l.waiting) == 0 {
		l.closeIdle()
	}
}

// grantSlots grants free slots, as far as the rate permits, to the waiting calls whose
// turn it is and refuses calls whose hard deadline has passed.
func (l *Limiter) grantSlots() {
	now := l.now()
	for l.inFlight < l.slots && len(l.waiting) > 0 {
		if wait := l.rate.wait(1, now); wait > 0 {
			l.wakeAfter(wait)
			return
		}
		w := l.dequeue()
		if hasPassed(w.hardDeadline, now) {
			w.result <- &fireflymoor.BusyError{}
			l.retag(w.flow)
			continue
		}
		l.rate.take(now)
		l.nestedLast = w.class == classNested
		l.occupySlot(w.class)
		if w.flow != nil {
			w.flow.grant(w.start, w.cost)
		}
		w.result <- nil
	}
}

// wakeAfter makes grantSlots run after a time, in place of any earlier request to do so.
func (l *Limiter) wakeAfter(wait time.Duration) {
	if l.wake != nil {
		l.wake.Reset(wait)
		return
	}
	l.wake = time.AfterFunc(wait, func() {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.grantSlots()
	})
}

// Drain refuses new calls, and waiting calls that are not likely to begin while
// the draining target still accepts work. The returned channel is closed once
// all other calls have ended.
func (l *Limiter) Drain() <-chan struct{} {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !l.draining {
		l.draining = true
		now := l.now()
		for _, w := range l.waiting {
			w.softDeadline = earlier(w.softDeadline, now.Add(maxDrainWait))
			w.hardDeadline = earlier(w.hardDeadline, now.Add(maxDrainWait))
		}
		l.refuseLate(now, 0)
	}
	if l.inFlight == 0 && len(l.waiting) == 0 {
		l.closeIdle()
	}
	return l.idle
}

func (l *Limiter) closeIdle() {
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// Load returns the number of calls in flight and waiting as a multiple of the
// number of slots. It is usually above 1 while calls wait, and at least 1 if the rate
// admits no call at this moment.
func (l *Limiter) Load() float64 {
	load, _ := l.Report(0)
	return load
}

// Report returns the load without a number of calls that are about to end, and the
// moving average of the time for which calls hold a slot. The time is 0 before any
// call has ended.
func (l *Limiter) Report(ending int) (load float64, hold time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	load = float64(max(l.inFlight+len(l.waiting)-ending, 0)) / float64(max(l.slots, 1))
	return max(load, l.rate.load(len(l.waiting), l.now())), l.meanHold
}

// InFlight returns the number of calls that hold a slot.
func (l *Limiter) InFlight() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.inFlight
}
