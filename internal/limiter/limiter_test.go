package limiter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlotsAndQueue never has more calls at the target than it has slots, and
// refuses what the queue does not hold.
func TestSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	l := New(2, 1)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	queued := make(chan error)
	go func() { queued <- l.Acquire(t.Context(), Ticket{}) }()
	for l.Load() < 1.5 {
		time.Sleep(time.Millisecond)
	}
	is.True(errors.Is(l.Acquire(t.Context(), Ticket{}), ErrFull))
	l.Release(Ticket{}, time.Millisecond)
	is.NoErr(<-queued)
	is.Equal(l.InFlight(), 2)
}

// TestDeadlineInQueue gives a waiting call up at its deadline, without losing
// a slot.
func TestDeadlineInQueue(t *testing.T) {
	is := is.New(t)
	l := New(1, 5)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(errors.Is(l.Acquire(ctx, Ticket{}), ErrDeadline))
	l.Release(Ticket{}, time.Millisecond)
	is.Equal(l.InFlight(), 0)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
}

// TestDrain refuses new calls and lets those in flight end.
func TestDrain(t *testing.T) {
	is := is.New(t)
	l := New(1, 5)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	idle := l.Drain()
	is.True(errors.Is(l.Acquire(t.Context(), Ticket{}), ErrDraining))
	select {
	case <-idle:
		t.Fatal("idle before the call ended")
	default:
	}
	l.Release(Ticket{}, time.Millisecond)
	<-idle
}

// TestCrowd lets many calls through few slots and counts them.
func TestCrowd(t *testing.T) {
	is := is.New(t)
	l := New(3, 1000)
	var group sync.WaitGroup
	var lock sync.Mutex
	most, now := 0, 0
	for range 300 {
		group.Go(func() {
			if l.Acquire(context.Background(), Ticket{}) != nil {
				return
			}
			lock.Lock()
			now++
			most = max(most, now)
			lock.Unlock()
			lock.Lock()
			now--
			lock.Unlock()
			l.Release(Ticket{}, time.Millisecond)
		})
	}
	group.Wait()
	is.True(most <= 3)
	is.Equal(l.InFlight(), 0)
}

func BenchmarkAcquire(b *testing.B) {
	l := New(20, 40)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.Acquire(context.Background(), Ticket{})
		l.Release(Ticket{}, time.Millisecond)
	}
}
