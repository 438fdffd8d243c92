package target

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const testAddress = "127.0.0.1:80"

func newTestRegistry() (*Registry, *[]*messenger.Target) {
	var told []*messenger.Target
	r := NewRegistry("node", time.Second, zerolog.Nop(), func(targets []*messenger.Target) {
		told = targets
	})
	return r, &told
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

// TestLateAnnouncements has announcements arrive after later ones. They change
// nothing: a target that drains or is gone does not come back, and the address
// stays with the latest start.
func TestLateAnnouncements(t *testing.T) {
	is := is.New(t)
	r, told := newTestRegistry()
	announce(r, "a", 100, 1, false)
	announce(r, "a", 100, 5, true)
	announce(r, "a", 100, 4, false)
	is.Equal(ids(*told), []string{"node/a TARGET_DRAINING"})

	announce(r, "b", 200, 1, false)
	is.Equal(ids(*told), []string{"node/b TARGET_READY"})
	announce(r, "a", 100, 6, false)
	is.Equal(ids(*told), []string{"node/b TARGET_READY"}) // held up behind a cut

	r.Leave("b", 200, time.Unix(1, 0))
	is.Equal(len(*told), 0)
	announce(r, "b", 200, 9, false)
	is.Equal(len(*told), 0)
}

// TestSameIDStartsAgain has a target start again under the id that it had. Its
// numbers begin anew, and what its earlier start says does not count.
func TestSameIDStartsAgain(t *testing.T) {
	is := is.New(t)
	r, told := newTestRegistry()
	announce(r, "a", 100, 50, true)
	announce(r, "a", 300, 1, false)
	is.Equal(ids(*told), []string{"node/a TARGET_READY"})
	announce(r, "a", 100, 51, true)
	r.Leave("a", 100, time.Unix(1, 0))
	is.Equal(ids(*told), []string{"node/a TARGET_READY"})
}
