package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
)

const (
	// fleetZones is the number of zones of the users' large deployment. Links have
	// nodeBandwidth, and those of control replicas replicaBandwidth, in bytes per
	// second.
	fleetZones       = 5
	fleetSeeds       = 3
	nodeBandwidth    = 1e6 / 8
	replicaBandwidth = 170e6 / 8
	// startDeadline is the required time from a cold start of all processes to a
	// fleet in which all know each other.
	startDeadline = 8 * time.Second
	// calmBytesPerSecond is the required limit of control traffic of a node after
	// the start.
	calmBytesPerSecond = 21_000
)

// simulatedFleet is an overlay in one process on a simulated network, with a fake
// clock.
type simulatedFleet struct {
	ctx       context.Context
	network   *simulatedNetwork
	names     []string
	addresses []string
	members   []*overlayMember
}

// startFleet starts all members at once. Each announces its target 300 ms later.
func startFleet(ctx context.Context, is *is.I, group *sync.WaitGroup, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		ctx: ctx,
	}
	f.network = newSimulatedNetwork(func(address string) float64 {
		if slices.Contains(f.addresses[:fleetSeeds], address) {
			return replicaBandwidth
		}
		return nodeBandwidth
	})
	for i := range fleetSize {
		f.names = append(f.names, fmt.Sprintf("sidecar-zone-%d-%d", i%fleetZones, i))
		f.addresses = append(f.addresses, fmt.Sprintf("10.%d.0.%d:7600", i%fleetZones, i))
	}
	for i := range fleetSize {
		f.members = append(f.members, f.start(is, group, i, rand.NewPCG(seed, uint64(i))))
	}
	return f
}

func (f *simulatedFleet) start(is *is.I, group *sync.WaitGroup, i int, source rand.Source) *overlayMember {
	m := &overlayMember{
		sequencer: sequencer.New(),
		registry:  prometheus.NewRegistry(),
	}
	count := counter.New(m.registry)
	m.coordinator = New(Options{
		Self: &messenger.Fact{
			Name:           f.names[i],
			Zone:           fmt.Sprint("zone-", i%fleetZones),
			Boot:           uint64(time.Now().UnixNano()),
			Sequence:       1,
			OverlayAddress: f.addresses[i],
			CallAddress:    f.addresses[i],
			Team:           "mesh",
		},
		Seeds:     f.addresses[:fleetSeeds],
		Sequencer: m.sequencer,
		Asserter:  asserter.New(zerolog.Nop(), prometheus.NewRegistry()),
		Dialer:    dialer.NewFunc(f.network.dialFrom(f.addresses[i]), count),
		Random:    rand.New(source),
		Log:       zerolog.Nop(),
		Watcher:   m,
	}, time.Now())
	mux := linker.NewMux()
	is.NoErr(messenger.DRPCRegisterOverlay(mux, m))
	listener := f.network.listen(f.addresses[i])
	group.Go(func() { m.sequencer.Run(f.ctx) })
	group.Go(func() { m.coordinator.Run(f.ctx) })
	group.Go(func() {
		_ = linker.Serve(f.ctx, listener, linker.ServerOptions{
			Mux:     mux,
			Counter: count,
			OnPanic: failOnPanic,
		})
	})
	time.AfterFunc(300*time.Millisecond, func() {
		m.sequencer.Post(func() {
			m.coordinator.SetTargets([]*messenger.Target{{
				Id:      f.names[i] + "/target",
				Service: "catalogo",
				Slots:   testSlots,
			}}, nil)
		})
	})
	return m
}

// complete returns the number of members that know the targets of all members,
// and that of the members which are suspected anywhere.
func (f *simulatedFleet) complete() (complete, suspected int) {
	for _, m := range f.members {
		if m.hasFacts(f.ctx, f.names, 2) {
			complete++
		}
		_ = m.sequencer.Do(f.ctx, func() { suspected += len(m.coordinator.announcer.Suspects()) })
	}
	return complete, suspected
}

// byKind returns the mean number of bytes of messages of each kind that a member
// has sent, as text.
func (f *simulatedFleet) byKind(is *is.I) string {
	text := ""
	for _, kind := range []string{"hello", "heartbeat", "facts", "digest", "fact-keys", "offer", "fact-request"} {
		total := 0.0
		for _, m := range f.members {
			total += m.sentBytes(is, kind)
		}
		text += fmt.Sprintf(" %s %.0f", kind, total/fleetSize)
	}
	return text
}

// sent returns the number of bytes that each node has sent.
func (f *simulatedFleet) sent() []int {
	var sent []int
	for _, address := range f.addresses[fleetSeeds:] {
		sent = append(sent, f.network.sentBytes(address))
	}
	return sent
}

// TestColdStart starts the users' large deployment at once on links of 1 Mbit/s: a
// thundering herd. All members must know all targets in time, no live member may be
// suspected, and the links must be almost idle afterwards.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		f := startFleet(ctx, is, &group, 1)
		began := time.Now()
		complete, suspected := 0, 0
		for complete < fleetSize && time.Since(began) < startDeadline {
			time.Sleep(100 * time.Millisecond)
			complete, suspected = f.complete()
			is.Equal(suspected, 0)
		}
		t.Logf("%d of %d members know all targets after %s; at most %d bytes sent", complete, fleetSize, time.Since(began), slices.Max(f.sent()))
		t.Logf("bytes by kind:%s", f.byKind(is))
		is.Equal(complete, fleetSize)
		time.Sleep(startDeadline - time.Since(began))
		before := f.sent()
		const calm = 10 * time.Second
		time.Sleep(calm)
		complete, suspected = f.complete()
		is.Equal(complete, fleetSize)
		is.Equal(suspected, 0)
		most := 0
		for i, sent := range f.sent() {
			most = max(most, sent-before[i])
		}
		t.Logf("afterwards at most %.0f bytes/s", float64(most)/calm.Seconds())
		is.True(float64(most) < calmBytesPerSecond*calm.Seconds())
	})
}

// TestSilentLosses cuts off four fifths of the members of one zone at once, without a
// sign: a gray failure of many. All other members must suspect exactly these, also
// though each sees several neighbours fail, and the overlay must be quiet then.
func TestSilentLosses(t *testing.T) {
	const (
		lost          = fleetSize / fleetZones * 4 / 5
		detectionTime = 15 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		f := startFleet(ctx, is, &group, 1)
		time.Sleep(startDeadline)
		var gone []string
		remaining := &simulatedFleet{
			ctx: ctx,
		}
		for i, name := range f.names {
			if i%fleetZones == 1 && len(gone) < lost && i >= fleetSeeds {
				gone = append(gone, f.addresses[i])
				continue
			}
			remaining.names = append(remaining.names, name)
			remaining.members = append(remaining.members, f.members[i])
		}
		f.network.isolate(gone)
		began := time.Now()
		complete, suspected := 0, 0
		for suspected < lost*len(remaining.members) && time.Since(began) < detectionTime {
			time.Sleep(100 * time.Millisecond)
			_, suspected = remaining.complete()
		}
		t.Logf("%d of %d suspicions known after %s", suspected, lost*len(remaining.members), time.Since(began))
		time.Sleep(detectionTime)
		complete, suspected = remaining.complete()
		is.Equal(suspected, lost*len(remaining.members))
		is.Equal(complete, len(remaining.members))
	})
}
