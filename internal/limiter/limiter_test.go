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
	is.NoErr(l.Acquire(t.Context()))
	is.NoErr(l.Acquire(t.Context()))
	queued := make(chan error)
	go func() { queued <- l.Acquire(t.Context()) }()
	for l.Load() < 1.5 {
		time.Sleep(time.Millisecond)
	}
	is.True(errors.Is(l.Acquire(t.Context()), ErrFull))
	l.Release()
	is.NoErr(<-queued)
	is.Equal(l.InFlight(), 2)
}

// TestDeadlineInQueue gives a waiting call up at its deadline, without losing
// a slot.
func TestDeadlineInQueue(t *testing.T) {
	is := is.New(t)
	l := New(1, 5)
	is.NoErr(l.Acquire(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(errors.Is(l.Acquire(ctx), ErrDeadline))
	l.Release()
	is.Equal(l.InFlight(), 0)
	is.NoErr(l.Acquire(t.Context()))
}

// TestDrain refuses new calls and lets those in flight end.
func TestDrain(t *testing.T) {
	is := is.New(t)
	l := New(1, 5)
	is.NoErr(l.Acquire(t.Context()))
	idle := l.Drain()
	is.True(errors.Is(l.Acquire(t.Context()), ErrDraining))
	select {
	case <-idle:
		t.Fatal("idle before the call ended")
	default:
	}
	l.Release()
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
			if l.Acquire(context.Background()) != nil {
				return
			}
			lock.Lock()
			now++
			most = max(most, now)
			lock.Unlock()
			lock.Lock()
			now--
			lock.Unlock()
			l.Release()
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
		_ = l.Acquire(context.Background())
		l.Release()
	}
}
