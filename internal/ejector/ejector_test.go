package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestEjection checks that a failing target is ejected for longer each time, and
// that no more targets are ejected than the share allows.
func TestEjection(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	var targets []fireflymoor.Target
	for i := range 10 {
		targets = append(targets, fireflymoor.Target{ID: fmt.Sprint(i)})
	}
	e := New()
	for range failuresToEject {
		e.RecordFailure("0", now)
	}
	is.Equal(len(e.Filter(targets, 30, now)), 9)
	is.Equal(len(e.Filter(targets, 30, now.Add(initialEjection))), 10)
	e.RecordFailure("0", now.Add(initialEjection))
	is.Equal(len(e.Filter(targets, 30, now.Add(2*initialEjection))), 9) // twice as long
	for i := range 10 {
		for range failuresToEject {
			e.RecordFailure(fmt.Sprint(i), now)
		}
	}
	is.Equal(len(e.Filter(targets, 30, now)), 7)
	is.Equal(len(e.Filter(targets[:1], 30, now)), 1) // 30% of one target is less than one
	e.RecordSuccess("0")
	is.Equal(len(e.Filter(targets[:1], 100, now)), 1)
}

// TestNeverAllEjected checks that one target is left, also with a share of 100.
func TestNeverAllEjected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	e := New()
	var targets []fireflymoor.Target
	for i := range 4 {
		id := fmt.Sprint(i)
		targets = append(targets, fireflymoor.Target{
			ID: id,
		})
		for range failuresToEject {
			e.RecordFailure(id, now)
		}
	}
	is.Equal(len(e.Filter(targets, 100, now)), 1)
	is.Equal(len(e.Filter(nil, 100, now)), 0)
}

// TestRecordsAreRemoved lets many targets fail that then are gone. Their records
// must not stay.
func TestRecordsAreRemoved(t *testing.T) {
	is := is.New(t)
	e := New()
	for i := range 10 * maxRecords {
		e.RecordFailure(fmt.Sprint(i), time.Unix(int64(i), 0))
	}
	is.True(len(e.targets) <= maxRecords)
}
