package retrier

import (
	"testing"

	"github.com/matryer/is"
)

// TestPressure has a service refuse all tries, and then none. Calls to it are
// worth one try, and as many as before soon after. Those to others are not
// touched.
func TestPressure(t *testing.T) {
	is := is.New(t)
	p := NewPressure()
	is.Equal(p.Tries("service", 3), 3)
	p.Note("service", true)
	is.Equal(p.Tries("service", 3), 3) // one refusal says little
	for range 100 {
		p.Note("service", true)
	}
	is.Equal(p.Tries("service", 3), 1)
	is.Equal(p.Tries("other", 3), 3)
	for range 100 {
		p.Note("service", false)
	}
	is.Equal(p.Tries("service", 3), 3)
}
