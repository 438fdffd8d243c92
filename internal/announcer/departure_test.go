package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// TestEarlierDepartures checks that a member keeps the departures of another one
// over any number of its restarts, until a run repeats them.
func TestEarlierDepartures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	a := New(&messenger.Fact{Name: "self", Boot: 1}, now)
	departure := &messenger.Departure{
		Id:       "target",
		Started:  100,
		Sequence: 5,
		Left:     true,
	}
	merge := func(boot, sequence uint64, departures ...*messenger.Departure) {
		a.Merge(&messenger.Fact{
			Name:       "other",
			Boot:       boot,
			Sequence:   sequence,
			Departures: departures,
		}, now)
	}
	merge(1, 1, departure)
	is.Equal(a.Earlier("other"), nil)
	merge(2, 1)
	is.Equal(a.Earlier("other").GetDepartures(), []*messenger.Departure{departure})
	merge(3, 1)
	is.Equal(a.Earlier("other").GetDepartures(), []*messenger.Departure{departure})
	is.Equal(a.Merge(a.Earlier("other"), now), nil) // is no news of the current run

	draining := &messenger.Departure{
		Id:       "target",
		Started:  100,
		Sequence: 5,
	}
	merge(3, 2, draining)
	is.True(a.Earlier("other") != nil) // it has not repeated that the target has left
	merge(3, 3, departure)
	is.Equal(a.Earlier("other"), nil)
	merge(3, 4)
	is.Equal(a.Earlier("other"), nil) // the current run has forgotten it by itself
}
