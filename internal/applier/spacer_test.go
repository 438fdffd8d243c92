package applier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStorm has versions come each 60 ms that take 70 ms each to put in force,
// as on a small instance. Putting them in force takes a quarter of the time at
// most, and the newest is never older than the platform allows.
func TestStorm(t *testing.T) {
	is := is.New(t)
	const (
		gap    = 60 * time.Millisecond
		cost   = 70 * time.Millisecond
		length = 10 * time.Second
	)
	s := &Spacer{}
	began := time.Unix(1, 0)
	now, spent, stale := began, time.Duration(0), began
	for now.Sub(began) < length {
		now = now.Add(gap)
		if s.Wait(now) > 0 {
			is.True(now.Sub(stale) < time.Second)
			continue
		}
		s.Applied(now, now.Add(cost))
		now = now.Add(cost)
		spent += cost
		stale = now
	}
	is.True(spent < length/4)
	is.True((&Spacer{}).Wait(now) == 0) // the first one does not wait
}
