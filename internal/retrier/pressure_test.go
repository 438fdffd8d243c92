package retrier

import (
	"testing"

	"github.com/matryer/is"
)

// TestPressure has a service refuse all tries, and then none. Calls to it are
// limited to one try, and then get the initial number again. Calls to other
// services are not affected.
func TestPressure(t *testing.T) {
	is := is.New(t)
	p := NewPressure()
	is.Equal(p.MaxTries("service", 3), 3)
	p.Record("service", true)
	is.Equal(p.MaxTries("service", 3), 3) // one refusal does not lower the limit
	for range 100 {
		p.Record("service", true)
	}
	is.Equal(p.MaxTries("service", 3), 1)
	is.Equal(p.MaxTries("other", 3), 3)
	for range 100 {
		p.Record("service", false)
	}
	is.Equal(p.MaxTries("service", 3), 3)
}
