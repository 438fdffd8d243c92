package balancer_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

// release is the end of a call at a target.
type release struct {
	at     time.Time
	target int
	done   func()
}

type releases []release

func (r releases) Len() int           { return len(r) }
func (r releases) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r releases) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *releases) Push(x any)        { *r = append(*r, x.(release)) }

func (r *releases) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// TestUnevenZones has as many calls begin in each of three zones, which have 9,
// 7 and 6 targets: 85% of all slots, and more than the smallest zone's. Each
// of 60 proxies calls a target about once a second, so that none knows which is
// full. The zones share the load: the smallest refuses less than three times
// the largest's part of the tries.
func TestUnevenZones(t *testing.T) {
	const (
		proxies = 60
		slots   = 18
		calls   = 30_000
		hold    = 200 * time.Millisecond
		used    = 0.85
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	zones := []string{"a", "b", "c"}
	var targets []fireflymoor.Target
	for zone, count := range []int{9, 7, 6} {
		for range count {
			targets = append(targets, fireflymoor.Target{
				ID:      string(rune('A' + len(targets))),
				Service: "service",
				Zone:    zones[zone],
				Slots:   slots,
			})
		}
	}
	var trackers []*tracker.Tracker
	for i := range proxies {
		trackers = append(trackers, tracker.New("proxy", zones[i%len(zones)]))
	}
	gap := float64(hold) / (used * slots * float64(len(targets)))
	now := time.Unix(1, 0)
	inFlight := make([]int, len(targets))
	running := &releases{}
	refused, counted := map[string]float64{}, map[string]float64{}
	pick := balancer.NewTwoChoices()
	for i := range calls {
		now = now.Add(time.Duration(random.ExpFloat64() * gap))
		for len(*running) > 0 && (*running)[0].at.Before(now) {
			ended := heap.Pop(running).(release)
			ended.done()
			inFlight[ended.target]--
		}
		proxy := trackers[random.IntN(proxies)]
		candidates := make([]fireflymoor.Candidate, 0, len(targets))
		for _, target := range targets {
			candidates = append(candidates, proxy.Candidate(target, 0, now))
		}
		chosen, _ := pick.Pick(candidates, now)
		index := int(chosen.Target.ID[0] - 'A')
		late := i > calls/3
		if late {
			counted[chosen.Target.Zone]++
		}
		if inFlight[index] == slots {
			proxy.Refused(chosen.Target, now)
			if late {
				refused[chosen.Target.Zone]++
			}
			continue
		}
		inFlight[index]++
		took := time.Duration(random.ExpFloat64() * float64(hold))
		end := proxy.Begin(chosen.Target, now)
		ends := now.Add(took)
		load := float64(inFlight[index]) / slots
		heap.Push(running, release{
			at:     ends,
			target: index,
			done: func() {
				end()
				proxy.Answered(chosen.Target, "route", took, ends)
				proxy.SetLoad(chosen.Target, load, ends)
			},
		})
	}
	share := func(zone string) float64 { return refused[zone] / counted[zone] }
	t.Logf("refused: %.3f of zone a, %.3f of b, %.3f of c", share("a"), share("b"), share("c"))
	is.True(share("c") < 3*share("a"))
}
