package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	convergeTimeout = 20 * time.Second
	pollInterval    = 10 * time.Millisecond
	testSlots       = 18
)

// overlayMember is a member of an overlay that runs within the test process.
type overlayMember struct {
	messenger.DRPCOverlayUnimplementedServer
	coordinator *Coordinator
	sequencer   *sequencer.Sequencer
	registry    *prometheus.Registry
	// departures are those that the member learned.
	departures []*messenger.Departure
}

// Link implements messenger.DRPCOverlayServer.
func (m *overlayMember) Link(s messenger.DRPCOverlay_LinkStream) error {
	return m.coordinator.Linker().Accept(s.Context(), s)
}

// VersionStored implements Watcher.
func (m *overlayMember) VersionStored() {}

// MembersChanged implements Watcher.
func (m *overlayMember) MembersChanged() {}

// DeparturesLearned implements Watcher.
func (m *overlayMember) DeparturesLearned(departures []*messenger.Departure) {
	m.departures = departures
}

func startMember(ctx context.Context, is *is.I, group *sync.WaitGroup, name, zone, seed string) (*overlayMember, string) {
	return startMemberWithBoot(ctx, is, group, name, zone, seed, 1)
}

func startMemberWithBoot(ctx context.Context, is *is.I, group *sync.WaitGroup, name, zone, seed string, boot uint64) (*overlayMember, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	m := &overlayMember{
		sequencer: sequencer.New(),
		registry:  prometheus.NewRegistry(),
	}
	count := counter.New(m.registry)
	var seeds []string
	if seed != "" {
		seeds = []string{seed}
	}
	m.coordinator = New(Options{
		Self: &messenger.Fact{
			Name:           name,
			Zone:           zone,
			Boot:           boot,
			Sequence:       1,
			OverlayAddress: address,
		},
		Seeds:     seeds,
		Sequencer: m.sequencer,
		Asserter:  asserter.New(zerolog.Nop(), prometheus.NewRegistry()),
		Dialer:    dialer.New(address, count),
		Random:    rand.New(rand.NewPCG(1, uint64(len(name)))),
		Log:       zerolog.Nop(),
		Watcher:   m,
	}, time.Now())
	mux := linker.NewMux()
	is.NoErr(messenger.DRPCRegisterOverlay(mux, m))
	group.Go(func() { m.sequencer.Run(ctx) })
	group.Go(func() { m.coordinator.Run(ctx) })
	group.Go(func() {
		_ = linker.Serve(ctx, listener, linker.ServerOptions{
			Mux:     mux,
			Counter: count,
			OnPanic: failOnPanic,
		})
	})
	return m, address
}

// hasFacts reports whether the member knows facts of all names with at least the
// given sequence number.
func (m *overlayMember) hasFacts(ctx context.Context, names []string, sequence uint64) bool {
	current := true
	err := m.sequencer.Do(ctx, func() {
		for _, name := range names {
			current = current && m.coordinator.announcer.Fact(name).GetSequence() >= sequence
		}
	})
	return err == nil && current
}

// linksSettled reports whether the member has links to all its neighbours, and
// has dialed no others.
func (m *overlayMember) linksSettled(ctx context.Context) bool {
	settled := false
	err := m.sequencer.Do(ctx, func() {
		wanted := map[string]bool{}
		for _, f := range m.coordinator.announcer.Neighbours() {
			wanted[f.GetName()] = m.coordinator.links[f.GetName()] != nil
		}
		settled = true
		for _, linked := range wanted {
			settled = settled && linked
		}
		for name, link := range m.coordinator.links {
			settled = settled && (wanted[name] || !link.Dialed())
		}
	})
	return err == nil && settled
}

// sentBytes returns the number of bytes of messages of a kind that the member
// has sent.
func (m *overlayMember) sentBytes(is *is.I, kind string) float64 {
	families, err := m.registry.Gather()
	is.NoErr(err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if family.GetName() == "fireflymoor_sent_message_bytes_total" && label.GetValue() == kind {
					return metric.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
}

// TestFloodSendsFewCopies guards against facts being sent in full over too many
// links. Each of 24 members in 3 zones changes its targets in turn, as when an
// overlay forms. All members must receive each change, and at most three full
// facts may be sent for each member and change.
func TestFloodSendsFewCopies(t *testing.T) {
	const (
		members   = 24
		maxCopies = 3
	)
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var all []*overlayMember
	var names []string
	seed := ""
	for i := range members {
		name := fmt.Sprintf("member-%02d", i)
		m, address := startMember(ctx, is, &group, name, fmt.Sprint("zone-", i%3), seed)
		if seed == "" {
			seed = address
		}
		all = append(all, m)
		names = append(names, name)
	}
	converge := func(sequence uint64) {
		deadline := time.Now().Add(convergeTimeout)
		for _, m := range all {
			for !m.hasFacts(ctx, names, sequence) {
				is.True(time.Now().Before(deadline)) // all members receive all changes
				waiter.Pause(ctx, pollInterval)
			}
		}
	}
	sent := func() float64 {
		total := 0.0
		for _, m := range all {
			total += m.sentBytes(is, "facts")
		}
		return total
	}
	converge(1)
	deadline := time.Now().Add(convergeTimeout)
	for _, m := range all {
		for !m.linksSettled(ctx) {
			is.True(time.Now().Before(deadline)) // links opened while the overlay formed are closed
			waiter.Pause(ctx, pollInterval)
		}
	}
	before := sent()
	var size int
	for i, m := range all {
		is.NoErr(m.sequencer.Do(ctx, func() {
			m.coordinator.SetTargets([]*messenger.Target{{
				Id:      names[i] + "/target",
				Service: "service",
				Slots:   testSlots,
			}}, nil)
			size = proto.Size(m.coordinator.announcer.Self())
		}))
	}
	converge(2)
	copies := (sent() - before) / float64(size*members)
	t.Logf("a fact is sent %.1f times", copies)
	is.True(copies <= maxCopies*members)
}

// failOnPanic lets a panic in a call end the test.
func failOnPanic(value any, _ []byte) {
	panic(value)
}
