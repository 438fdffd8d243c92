package limiter

import (
	"context"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

// waiter is a call that waits for a slot.
type waiter struct {
	rank int
	// soon is when the call should begin. It is admitted if that is likely, and
	// given up if others before it make it unlikely.
	soon time.Time
	// last is when the call must begin. One that was admitted is not given up
	// before: it is better late than refused late. Zero stands for never.
	last   time.Time
	result chan error
}

// enqueue puts a call in its place, unless it could not begin in time there.
// It refuses the calls behind it that now cannot.
func (l *Limiter) enqueue(ctx context.Context, ticket Ticket) (*waiter, error) {
	now := l.now()
	if l.hold == 0 {
		l.hold = ticket.Within / guessedHold
	}
	w := l.newWaiter(ctx, ticket, now)
	place := len(l.waiting)
	for place > 0 && l.waiting[place-1].rank > w.rank {
		place--
	}
	if wait := l.waitAt(l.turn(w, l.waiting[:place])); passed(w.soon, now.Add(wait)) {
		return nil, &fireflymoor.BusyError{
			Wait: wait,
		}
	}
	if place >= l.queue {
		return nil, ErrFull
	}
	l.waiting = slices.Insert(l.waiting, place, w)
	l.refuseLate(now, place+1)
	return w, nil
}

// patience returns how long a call of a rank may wait, to be answered within a
// time.
func (l *Limiter) patience(rank int, within time.Duration) time.Duration {
	return max((within-l.holdOf[rank])/waitShare, within/leastPatience)
}

// earlier returns the earlier of two times, of which the first may be zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// passed says whether a time that may be zero is before now.
func passed(at, now time.Time) bool {
	return !at.IsZero() && now.After(at)
}

func (l *Limiter) newWaiter(ctx context.Context, ticket Ticket, now time.Time) *waiter {
	w := &waiter{
		rank:   ticket.Rank,
		result: make(chan error, 1),
	}
	if at, ok := ctx.Deadline(); ok {
		left := at.Sub(now)
		w.last = now.Add(max(left-l.holdOf[ticket.Rank], left/leastPatience))
	}
	w.soon = w.last
	if ticket.Within > 0 {
		w.soon = earlier(w.soon, now.Add(l.patience(ticket.Rank, ticket.Within)))
	}
	return w
}

// turn returns how many calls get a slot before one, of those ahead of it.
// Nested calls leave the others their share.
func (l *Limiter) turn(w *waiter, ahead []*waiter) int {
	if w.rank < 0 {
		return len(ahead)
	}
	others := 0
	for _, a := range ahead {
		if a.rank >= 0 {
			others++
		}
	}
	return others + min(len(ahead)-others, l.nestedMost())
}

// nestedMost returns how many slots nested calls may hold while others wait.
func (l *Limiter) nestedMost() int {
	return max(l.slots/nestedShare, 1)
}

// waitAt returns how long a call at a place in the queue is likely to wait.
func (l *Limiter) waitAt(place int) time.Duration {
	return l.hold * time.Duration(place+1) / time.Duration(max(l.slots, 1))
}

// refuseLate refuses the calls from a place on that cannot begin in time, and
// those that are more than the queue takes.
func (l *Limiter) refuseLate(now time.Time, from int) {
	kept := l.waiting[:from]
	for _, w := range l.waiting[from:] {
		wait := l.waitAt(l.turn(w, kept))
		slack := w.soon.Sub(now) / pushSlack
		switch {
		case passed(w.soon, now.Add(wait-slack)):
			w.result <- &fireflymoor.BusyError{
				Wait: wait,
			}
		case len(kept) >= l.queue:
			w.result <- ErrFull
		default:
			kept = append(kept, w)
		}
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
}

// next takes the call out of the queue that gets the next slot.
func (l *Limiter) next() *waiter {
	at := 0
	if l.nested >= l.nestedMost() {
		at = max(0, slices.IndexFunc(l.waiting, func(w *waiter) bool { return w.rank >= 0 }))
	}
	w := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return w
}
