package verifier

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	testInterval = 100 * time.Millisecond
	testDuration = 30 * time.Millisecond
)

// log is a log of accepted versions. A query takes testDuration and reads the newest
// version at its start.
type log struct {
	newest  atomic.Uint64
	queries atomic.Int64
	err     error
}

func (l *log) query(context.Context) (uint64, error) {
	l.queries.Add(1)
	newest := l.newest.Load()
	time.Sleep(testDuration)
	return newest, l.err
}

// TestNoStaleResult guards against results that are older than the call: a version that
// is accepted while a query is in progress may be unknown to it, and calls that arrive
// after that must wait for the next query.
func TestNoStaleResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &log{}
		l.newest.Store(1)
		v := New(l.query, func() time.Duration { return testInterval })
		for range 200 {
			accepted := l.newest.Load()
			go func() {
				number, err := v.Newest(t.Context())
				is.NoErr(err)
				is.True(number >= accepted)
			}()
			time.Sleep(7 * time.Millisecond)
			l.newest.Add(1)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(l.queries.Load() <= int64(200*7*time.Millisecond/testInterval)+2) // queries are spaced
	})
}

// TestFloodOfCalls guards against clients that send invalid keys without end: the
// number of waiting calls must be bounded, and one query must serve them all.
func TestFloodOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &log{}
		l.newest.Store(1)
		v := New(l.query, func() time.Duration { return testInterval })
		served, refused := 0, 0
		for range 3 * maxWaiting {
			go func() {
				_, err := v.Newest(t.Context())
				v.lock.Lock()
				defer v.lock.Unlock()
				if errors.Is(err, ErrBusy) {
					refused++
				} else {
					served++
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(served, maxWaiting)
		is.Equal(refused, 2*maxWaiting)
		is.True(l.queries.Load() <= 2)
		_, err := v.Newest(t.Context()) // the places are free again
		is.NoErr(err)
	})
}

// TestNoResult checks that a call gets an error when the query fails and when its own
// time is over, and that later calls are served.
func TestNoResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &log{err: errors.New("no quorum")}
		l.newest.Store(1)
		v := New(l.query, func() time.Duration { return testInterval })
		_, err := v.Newest(t.Context())
		is.Equal(err, l.err)
		ctx, cancel := context.WithTimeout(t.Context(), testInterval/2)
		defer cancel()
		_, err = v.Newest(ctx)
		is.Equal(err, ErrTimeout)
		l.err = nil
		number, err := v.Newest(t.Context())
		is.NoErr(err)
		is.Equal(number, uint64(1))
	})
}
