package target

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const testAddress = "127.0.0.1:80"

func newTestRegistry() (*Registry, *[]*messenger.Target) {
	var notified []*messenger.Target
	r := NewRegistry("node", time.Second, zerolog.Nop(), func(targets []*messenger.Target, _ []*messenger.Departure) {
		notified = targets
	}, func(context.Context) error { return nil })
	return r, &notified
}

func announce(r *Registry, id string, started int64, sequence uint64, draining bool) {
	r.Announce(Announcement{
		ID:       id,
		Service:  "service",
		Address:  testAddress,
		Slots:    2,
		Started:  started,
		Sequence: sequence,
		Draining: draining,
	}, time.Unix(1, 0))
}

func ids(targets []*messenger.Target) []string {
	var ids []string
	for _, t := range targets {
		ids = append(ids, t.GetId()+" "+t.GetState().String())
	}
	return ids
}

// TestLateAnnouncements checks that announcements that arrive after later ones
// change nothing. A target that drains or has left must not come back, and an
// address must stay with the target that started last.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	r, notified := newTestRegistry()
	announce(r, "a", 100, 1, false)
	announce(r, "a", 100, 5, true)
	announce(r, "a", 100, 4, false)
	is.Equal(ids(*notified), []string{"node/a TARGET_DRAINING"})

	announce(r, "b", 200, 1, false)
	is.Equal(ids(*notified), []string{"node/b TARGET_READY"})
	announce(r, "a", 100, 6, false)
	is.Equal(ids(*notified), []string{"node/b TARGET_READY"}) // delayed by a network partition

	r.HandleLeave("b", 200, time.Unix(1, 0))
	is.Equal(len(*notified), 0)
	announce(r, "b", 200, 9, false)
	is.Equal(len(*notified), 0)
}

// TestRestartUnderSameID checks that a target can start again under the same id.
// Its sequence numbers begin again, and messages from its earlier start are
// ignored.
func TestRestartUnderSameID(t *testing.T) {
	is := is.New(t)
	r, notified := newTestRegistry()
	announce(r, "a", 100, 50, true)
	announce(r, "a", 300, 1, false)
	is.Equal(ids(*notified), []string{"node/a TARGET_READY"})
	announce(r, "a", 100, 51, true)
	r.HandleLeave("a", 100, time.Unix(1, 0))
	is.Equal(ids(*notified), []string{"node/a TARGET_READY"})
}

// TestExpiredLeaseIsNotUsed looks a target up after its lease has expired and
// before Expire has dropped it, as in a process that was suspended. It must not be
// found, and a call that waited for a slot meanwhile must not get it.
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRegistry()
	announce(r, "a", 100, 1, false)
	announced := time.Unix(1, 0)
	found, err := r.find("node/a", announced.Add(r.lease))
	is.NoErr(err)
	late := announced.Add(r.lease + time.Millisecond)
	is.True(!r.valid(found, late))
	_, err = r.find("node/a", late)
	is.Equal(err, ErrUnknown)
}
