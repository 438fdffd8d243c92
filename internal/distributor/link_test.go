package distributor

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// fleetSize is the number of members, sourceCount how many of them are sources with
	// links that do not limit, and fleetLinks how many neighbors each has.
	fleetSize   = 190
	sourceCount = 10
	fleetLinks  = 6
	// thinLink is the rate of the links of the others, in bits a second.
	thinLink = 1e6
	// linkDelay is the delay of a link that is idle.
	linkDelay = 5 * time.Millisecond
	// largeValues is the size of the values of a version, which do not compress further. It
	// is that of 1,600 compressed routes with random names.
	largeValues = 36 << 10
)

// transfer is a frame that is being sent or received over a thin link.
type transfer struct {
	delivery
	remaining float64
	due       time.Time
}

// thinFleet is a fleet whose members share their links among the frames that they send and
// among those that they receive.
type thinFleet struct {
	*network
	transfers []*transfer
	sent      int
}

func (f *thinFleet) take(from int, effects Effects) {
	f.enqueue(from, effects)
	for _, d := range f.frames {
		size := proto.Size(d.frame)
		f.sent += size
		f.transfers = append(f.transfers, &transfer{
			delivery:  d,
			remaining: float64(size),
			due:       f.now.Add(linkDelay),
		})
	}
	f.frames = nil
}

func (f *thinFleet) advance() {
	f.now = f.now.Add(linkDelay)
	sending, receiving := map[int]int{}, map[int]int{}
	for _, t := range f.transfers {
		sending[t.from]++
		receiving[t.to]++
	}
	capacity := thinLink / 8 * linkDelay.Seconds()
	current := f.transfers
	f.transfers = nil
	var done []*transfer
	for _, t := range current {
		share := capacity / float64(receiving[t.to])
		if t.from >= sourceCount {
			share = min(share, capacity/float64(sending[t.from]))
		}
		t.remaining -= share
		if t.remaining > 0 || t.due.After(f.now) {
			f.transfers = append(f.transfers, t)
			continue
		}
		done = append(done, t)
	}
	for _, t := range done {
		f.deliver(t.delivery)
		f.take(t.to, Effects{})
	}
	for i, m := range f.members {
		f.take(i, m.Tick(f.now))
	}
}

// TestLargeVersionOverThinLinks guards against a large version that reaches the last
// members of a fleet late, because members on thin links send it to several neighbors at
// once, and these ask others before the response can have arrived (CONFIG).
func TestLargeVersionOverThinLinks(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			f := &thinFleet{
				network: newNetwork(t, 0, seed),
			}
			for i := range fleetSize {
				m := New(failingAsserter{TB: t})
				if i >= sourceCount {
					m.SetLinkRate(thinLink)
				}
				f.members = append(f.members, m)
			}
			random := rand.New(rand.NewPCG(seed, 7))
			linked := map[[2]int]bool{}
			for i := range f.members {
				for range fleetLinks / 2 {
					j := random.IntN(fleetSize)
					if i == j || linked[[2]int{i, j}] {
						continue
					}
					linked[[2]int{i, j}], linked[[2]int{j, i}] = true, true
					f.take(i, f.members[i].OnPeerUp(fmt.Sprint(j), &messenger.Head{}, f.now))
					f.take(j, f.members[j].OnPeerUp(fmt.Sprint(i), &messenger.Head{}, f.now))
				}
			}
			s := &source{
				pieces: map[string][2]string{},
			}
			accept := func(values string) time.Duration {
				manifest, pieces := s.change("team", values)
				for i := range sourceCount {
					f.take(i, f.members[i].Store(manifest, pieces))
				}
				began := f.now
				for !f.converged(manifest) && f.now.Sub(began) < time.Minute {
					f.advance()
				}
				return f.now.Sub(began)
			}
			accept("small")
			f.sent = 0
			values := &strings.Builder{}
			for values.Len() < largeValues {
				fmt.Fprintf(values, "%x\n", random.Uint64())
			}
			took := accept(values.String())
			t.Logf("held by all after %s, %d KiB sent, %d a member", took, f.sent>>10, f.sent/fleetSize)
			is.True(took <= inForceTime)
		})
	}
}
