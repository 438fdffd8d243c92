package limiter

import (
	"context"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// class is a kind of calls whose part of the slots is limited while others wait.
type class int

const (
	classOrdinary class = iota
	classNested
	classBulk
)

// class returns the class of a ticket.
func (t Ticket) class() class {
	switch {
	case t.Rank < 0:
		return classNested
	case t.Bulk:
		return classBulk
	}
	return classOrdinary
}

// waiter is a call that waits for a slot.
type waiter struct {
	rank  int
	class class
	// flow is the call's tenant and rank, or nil if the order is that of arrival.
	flow *flow
	// arrived is the virtual time at the call's arrival, start its start tag and cost
	// the difference to its finish tag.
	arrived, start, cost float64
	// softDeadline is when the call should begin. The call is admitted if that is
	// likely, and refused later if calls queued before it make it unlikely. Zero
	// means never.
	softDeadline time.Time
	// hardDeadline is when the call must begin. An admitted call whose soft
	// deadline passes keeps waiting until its hard deadline, because a late start
	// is better than a late refusal. Zero means never.
	hardDeadline time.Time
	result       chan error
}

// enqueue adds a call to the queue at the position of its rank and share, unless the
// call is not likely to begin in time there. It refuses the calls behind it that are
// no longer likely to begin in time.
func (l *Limiter) enqueue(ctx context.Context, ticket Ticket, f *flow) (*waiter, error) {
	now := l.now()
	w := l.newWaiter(ctx, ticket, now)
	l.tag(w, f, ticket)
	position := l.position(w)
	if wait := l.expectedWait(position); 0 < ticket.MaxWait && ticket.MaxWait < wait {
		f.sendBack()
		return nil, &fireflymoor.BusyError{
			Wait: wait,
		}
	}
	if l.meanHold == 0 {
		l.meanHold = ticket.Objective / initialHoldDivisor
	}
	if wait := l.expectedWait(l.grantsBefore(w, l.waiting[:position])); hasPassed(w.softDeadline, now.Add(wait)) {
		return nil, &fireflymoor.BusyError{
			Wait: wait,
		}
	}
	if position >= l.queue {
		return nil, ErrFull
	}
	l.waiting = slices.Insert(l.waiting, position, w)
	l.refuseLate(now, position+1)
	l.grantSlots()
	return w, nil
}

// position returns the position in the queue of a call that is about to wait.
func (l *Limiter) position(w *waiter) int {
	position := len(l.waiting)
	for position > 0 && !l.waiting[position-1].before(w) {
		position--
	}
	return position
}

// maxWait returns how long a call of a rank may wait if it is to be answered
// within its objective.
func (l *Limiter) maxWait(rank int, objective time.Duration) time.Duration {
	return max((objective-l.meanHoldByRank[rank])/waitDivisor, objective/minWaitDivisor)
}

// earlier returns the earlier of two times, or b if a is zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// hasPassed reports whether a time is before now. A zero time means never.
func hasPassed(at, now time.Time) bool {
	return !at.IsZero() && now.After(at)
}

func (l *Limiter) newWaiter(ctx context.Context, ticket Ticket, now time.Time) *waiter {
	w := &waiter{
		rank:   ticket.Rank,
		class:  ticket.class(),
		result: make(chan error, 1),
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := deadline.Sub(now)
		w.hardDeadline = now.Add(max(remaining-l.meanHoldByRank[ticket.Rank], remaining/minWaitDivisor))
	}
	w.softDeadline = w.hardDeadline
	if ticket.Objective > 0 {
		w.softDeadline = earlier(w.softDeadline, now.Add(l.maxWait(ticket.Rank, ticket.Objective)))
	}
	if l.rate.isSet() {
		w.softDeadline = earlier(w.softDeadline, now.Add(maxRateWait))
	}
	return w
}

// grantsBefore returns how many calls get a slot before a call, given those ahead of
// it. For calls that are not nested it counts nested calls only up to their limit.
func (l *Limiter) grantsBefore(w *waiter, ahead []*waiter) int {
	switch {
	case w.rank < 0 && l.rate.isSet():
		return len(ahead) + min(len(ahead), countOthers(l.waiting))
	case w.rank < 0:
		return len(ahead)
	}
	others := countOthers(ahead)
	nested := min(len(ahead)-others, l.maxNested())
	if l.rate.isSet() {
		nested = min(nested, others+1)
	}
	return others + nested
}

// countOthers returns how many of the calls are not nested.
func countOthers(calls []*waiter) int {
	others := 0
	for _, w := range calls {
		if w.rank >= 0 {
			others++
		}
	}
	return others
}

// maxNested returns how many slots nested calls may hold while other calls wait.
func (l *Limiter) maxNested() int {
	return max(l.slots/nestedDivisor, 1)
}

// expectedWait returns how long a call at a position in the queue is likely to
// wait for a slot and for the rate. The calls before it take the slots that are free.
func (l *Limiter) expectedWait(position int) time.Duration {
	before := max(position+1-max(l.slots-l.inFlight, 0), 0)
	wait := l.meanHold * time.Duration(before) / time.Duration(max(l.slots, 1))
	return max(wait, l.rate.wait(position+1, l.now()))
}

// refuseLate refuses the calls from a position on that are not likely to begin in
// time, and the calls that exceed the length of the queue.
func (l *Limiter) refuseLate(now time.Time, from int) {
	kept := l.waiting[:from]
	var refused []*flow
	for _, w := range l.waiting[from:] {
		wait := l.expectedWait(l.grantsBefore(w, kept))
		slack := w.softDeadline.Sub(now) / slackDivisor
		switch {
		case hasPassed(w.softDeadline, now.Add(wait-slack)):
			w.result <- &fireflymoor.BusyError{
				Wait: wait,
			}
		case len(kept) >= l.queue:
			w.result <- ErrFull
		default:
			kept = append(kept, w)
			continue
		}
		if w.flow != nil && !slices.Contains(refused, w.flow) {
			refused = append(refused, w.flow)
		}
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	for _, f := range refused {
		l.retag(f)
	}
}

// maxBulk returns how many slots bulk calls may hold while other calls wait.
func (l *Limiter) maxBulk() int {
	return max(l.slots/bulkDivisor, 1)
}

// dequeue removes and returns the call that gets the next slot: the first one whose
// class does not hold its part of the slots, or else the first one. While there is a
// rate, nested calls get at most every other token, as they may hold few slots then.
func (l *Limiter) dequeue() *waiter {
	index := max(0, slices.IndexFunc(l.waiting, func(w *waiter) bool {
		switch w.class {
		case classNested:
			mayRepeat := !l.rate.isSet() || !l.nestedLast
			return l.nested < l.maxNested() && mayRepeat
		case classBulk:
			return l.bulk < l.maxBulk()
		}
		return true
	}))
	w := l.waiting[index]
	l.waiting = slices.Delete(l.waiting, index, index+1)
	return w
}
