package reporter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLostReport loses a report twice, as it does when the connections to its
// receiver died in a cut. It is sent again long before a version must be seen
// in force everywhere, and to nobody who has it.
func TestLostReport(t *testing.T) {
	is := is.New(t)
	const inForce = 4 * time.Second
	began := time.Unix(1, 0)
	o := NewOutbox()
	o.Put([]string{"a", "b"}, began)
	is.Equal(o.Due(began), []string{"a", "b"})
	is.Equal(len(o.Due(began)), 0) // on their way
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

// TestNewerReport puts a newer report while an older one is on its way. The
// newer one follows; a receiver that is gone gets none.
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
