package target

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// published is what a registry last published.
type published struct {
	targets    []*messenger.Target
	departures []*messenger.Departure
}

func newPublishingRegistry(secure func(ctx context.Context) error) (*Registry, *published) {
	p := &published{}
	r := NewRegistry("node", time.Second, zerolog.Nop(), func(targets []*messenger.Target, departures []*messenger.Departure) {
		p.targets = targets
		p.departures = departures
	}, secure)
	return r, p
}

// TestRestore guards against late announcements that a node takes for news after
// its restart. The notices may be learned before or after such an announcement.
func TestRestore(t *testing.T) {
	is := is.New(t)
	r, before := newPublishingRegistry(nil)
	announce(r, "a", 100, 5, true)
	announce(r, "b", 200, 5, false)
	r.HandleLeave("b", 200, time.Unix(1, 0))
	r.HandleLeave("unknown", 300, time.Unix(1, 0))
	is.Equal(len(before.departures), 3)

	for _, first := range []bool{true, false} {
		restarted, after := newPublishingRegistry(nil)
		restore := func() { restarted.Restore(before.departures, time.Unix(1, 0)) }
		if first {
			restore()
		}
		announce(restarted, "b", 200, 4, false)
		announce(restarted, "unknown", 300, 0, false)
		if !first {
			restore()
		}
		is.Equal(len(after.targets), 0)
		is.Equal(after.departures, before.departures) // others keep them for the next restart

		announce(restarted, "a", 100, 4, false)
		is.Equal(len(after.targets), 0)
		announce(restarted, "a", 100, 6, false)
		is.Equal(ids(after.targets), []string{"node/a TARGET_DRAINING"})
		announce(restarted, "b", 400, 1, false)
		is.Equal(ids(after.targets), []string{"node/b TARGET_READY"}) // a later start
	}
}

// TestLeavingNodeGivesNoNotice checks that a restarted node serves the targets that
// were drained only because the node itself was stopped.
func TestLeavingNodeGivesNoNotice(t *testing.T) {
	is := is.New(t)
	r, p := newPublishingRegistry(nil)
	announce(r, "a", 100, 1, false)
	r.DrainAll()
	is.Equal(ids(p.targets), []string{"node/a TARGET_DRAINING"})
	is.Equal(len(p.departures), 0)
}

// TestSecure guards against notices that are acknowledged while only this process
// knows them. Each notice is secured once, and again if that failed.
func TestSecure(t *testing.T) {
	is := is.New(t)
	var err error
	calls := 0
	r, _ := newPublishingRegistry(func(context.Context) error {
		calls++
		return err
	})
	announce(r, "a", 100, 1, false)
	is.NoErr(r.Secure(t.Context()))
	is.Equal(calls, 0) // there is no notice

	err = errors.New("no other member is reached")
	announce(r, "a", 100, 2, true)
	is.True(r.Secure(t.Context()) != nil)
	err = nil
	is.NoErr(r.Secure(t.Context()))
	announce(r, "a", 100, 3, true)
	is.NoErr(r.Secure(t.Context()))
	is.Equal(calls, 2)

	r.HandleLeave("a", 100, time.Unix(1, 0))
	is.NoErr(r.Secure(t.Context()))
	is.Equal(calls, 3)
}
