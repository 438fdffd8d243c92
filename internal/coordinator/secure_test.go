package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

// TestSecure checks that a secured fact is stored by two other members when Secure
// returns, and that a member which starts again under the name learns its
// departures.
func TestSecure(t *testing.T) {
	const members = 6
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var all []*overlayMember
	var names []string
	seed := ""
	for i := range members {
		names = append(names, fmt.Sprintf("member-%02d", i))
		m, address := startMember(ctx, is, &group, names[i], fmt.Sprint("zone-", i%3), seed)
		if seed == "" {
			seed = address
		}
		all = append(all, m)
	}
	last, lastName := all[members-1], names[members-1]
	deadline := time.Now().Add(convergeTimeout)
	for !last.hasFacts(ctx, names, 1) {
		is.True(time.Now().Before(deadline)) // the overlay forms
		waiter.Pause(ctx, pollInterval)
	}
	departures := []*messenger.Departure{{
		Id:      "target",
		Started: 100,
		Left:    true,
	}}
	last.sequencer.Post(func() { last.coordinator.SetTargets(nil, departures) })
	is.NoErr(last.coordinator.Secure(ctx))
	stored := 0
	for _, m := range all[:members-1] {
		is.NoErr(m.sequencer.Do(ctx, func() {
			stored += len(m.coordinator.announcer.Fact(lastName).GetDepartures())
		}))
	}
	is.True(stored >= secureCopies)

	restarted, _ := startMemberWithBoot(ctx, is, &group, lastName, "zone-2", seed, 2)
	deadline = time.Now().Add(convergeTimeout)
	learned := false
	for !learned {
		is.True(time.Now().Before(deadline)) // the departures are learned
		waiter.Pause(ctx, pollInterval)
		is.NoErr(restarted.sequencer.Do(ctx, func() {
			learned = slices.ContainsFunc(restarted.departures, func(d *messenger.Departure) bool { return d.GetId() == "target" })
		}))
	}
}

// TestSecureAlone checks that a member whose seeds cannot be reached secures
// nothing, and that one without seeds has nobody to wait for.
func TestSecureAlone(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	isolated, _ := startMember(ctx, is, &group, "isolated", "zone-0", "127.0.0.1:1")
	is.True(isolated.coordinator.Secure(ctx) != nil)
	alone, _ := startMember(ctx, is, &group, "alone", "zone-0", "")
	is.NoErr(alone.coordinator.Secure(ctx))
}

// TestKeepers checks that a process in a zone that is cut off reaches a member of
// its own zone among the first that it asks.
func TestKeepers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	m, _ := startMember(ctx, is, &group, "self", "zone-0", "")
	facts := []*messenger.Fact{{Name: "left", Boot: 1}, {Name: "suspected", Boot: 1}, {Name: "replica", Boot: 1, Control: true}}
	for i := range 9 {
		facts = append(facts, &messenger.Fact{
			Name: fmt.Sprint("node-", i),
			Boot: 1,
			Zone: fmt.Sprint("zone-", i%3),
		})
	}
	var keepers []*messenger.Fact
	is.NoErr(m.sequencer.Do(ctx, func() {
		m.coordinator.merge(facts, "")
		m.coordinator.merge([]*messenger.Fact{
			{Name: "left", Boot: 1, Sequence: 1, State: messenger.MemberState_MEMBER_LEFT},
			{Name: "suspected", Boot: 1, State: messenger.MemberState_MEMBER_SUSPECT},
		}, "")
		keepers = m.coordinator.keepers()
	}))
	is.Equal(len(keepers), 11)
	is.Equal(keepers[0].GetName(), "replica")
	is.True(keepers[1].GetZone() != "zone-0")
	is.Equal(keepers[2].GetZone(), "zone-0")
	is.Equal(keepers[10].GetName(), "suspected")
}
