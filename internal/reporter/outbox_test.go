package reporter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLostReport loses a report twice, as happens when a network partition has
// broken the connections to its receiver. The report must be sent again well
// before the time by which a version must be reported in force everywhere, and
// only to the receiver that lacks it.
func TestLostReport(t *testing.T) {
	is := is.New(t)
	const inForce = 4 * time.Second
	began := time.Unix(1, 0)
	o := NewOutbox()
	o.Put([]string{"a", "b"}, began)
	is.Equal(o.Due(began), []string{"a", "b"})
	is.Equal(len(o.Due(began)), 0) // both are in flight
	o.Done("a", true, began)
	now := began
	for range 2 {
		o.Done("b", false, now)
		is.Equal(len(o.Due(now)), 0)
		for len(o.Due(now)) == 0 {
			now = now.Add(10 * time.Millisecond)
		}
	}
	is.True(now.Sub(began) < inForce/4)
	o.Done("b", true, now)
	is.Equal(len(o.Due(now.Add(time.Hour))), 0)
}

// TestNewerReport puts a newer report while an older one is in flight. The newer
// report must be sent next, but not to a receiver that was removed.
func TestNewerReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	o := NewOutbox()
	o.Put([]string{"a", "b"}, now)
	is.Equal(len(o.Due(now)), 2)
	o.Put([]string{"a"}, now)
	o.Done("a", true, now)
	o.Done("b", false, now)
	is.Equal(o.Due(now), []string{"a"})
	o.Done("a", true, now)
	is.Equal(len(o.Due(now.Add(time.Hour))), 0)
}
