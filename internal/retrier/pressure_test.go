package retrier

import (
	"testing"

	"github.com/matryer/is"
)

// TestRefusalRate has a service refuse all tries, and then none. Calls to it are
// limited to one try, and then get the initial number again. Calls to other
// services are not affected.
func TestRefusalRate(t *testing.T) {
	is := is.New(t)
	r := NewRefusalRate()
	is.Equal(r.MaxTries("service", 3), 3)
	r.Record("service", true)
	is.Equal(r.MaxTries("service", 3), 3) // one refusal does not lower the limit
	for range 100 {
		r.Record("service", true)
	}
	is.Equal(r.MaxTries("service", 3), 1)
	is.Equal(r.MaxTries("other", 3), 3)
	for range 100 {
		r.Record("service", false)
	}
	is.Equal(r.MaxTries("service", 3), 3)
}
