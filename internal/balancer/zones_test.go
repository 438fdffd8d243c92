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

// callEnd is the scheduled end of a call at a target.
type callEnd struct {
	at     time.Time
	target int
	done   func()
}

type callEnds []callEnd

func (c callEnds) Len() int           { return len(c) }
func (c callEnds) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c callEnds) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callEnds) Push(x any)        { *c = append(*c, x.(callEnd)) }

func (c *callEnds) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// TestUnevenZones sends the same number of calls from each of three zones, which
// have 9, 7 and 6 targets. The calls take 85% of all slots, and those from the
// smallest zone exceed its slots. Each of 60 proxies calls a target about once a
// second, so that no proxy can detect from its own calls which target is full. The
// zones must share the load: the fraction of tries that the smallest zone refuses
// must be less than three times that of the largest zone.
func TestUnevenZones(t *testing.T) {
	const (
		proxies         = 60
		slots           = 18
		calls           = 100_000
		hold            = 200 * time.Millisecond
		meanUtilization = 0.85
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
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
	interval := float64(hold) / (meanUtilization * slots * float64(len(targets)))
	now := time.Unix(1, 0)
	inFlight := make([]int, len(targets))
	running := &callEnds{}
	refused, tries := map[string]float64{}, map[string]float64{}
	twoChoices := balancer.NewTwoChoices()
	for i := range calls {
		now = now.Add(time.Duration(rng.ExpFloat64() * interval))
		for len(*running) > 0 && (*running)[0].at.Before(now) {
			ended := heap.Pop(running).(callEnd)
			ended.done()
			inFlight[ended.target]--
		}
		proxy := trackers[rng.IntN(proxies)]
		candidates := make([]fireflymoor.Candidate, 0, len(targets))
		for _, target := range targets {
			candidates = append(candidates, proxy.Candidate(target, 0, now))
		}
		chosen, _ := twoChoices.Pick(candidates, now)
		index := int(chosen.Target.ID[0] - 'A')
		warmedUp := i > calls/3
		if warmedUp {
			tries[chosen.Target.Zone]++
		}
		if inFlight[index] == slots {
			proxy.RecordRefusal(chosen.Target, now)
			if warmedUp {
				refused[chosen.Target.Zone]++
			}
			continue
		}
		inFlight[index]++
		duration := time.Duration(rng.ExpFloat64() * float64(hold))
		end := proxy.Begin(chosen.Target, now)
		endsAt := now.Add(duration)
		load := float64(inFlight[index]) / slots
		heap.Push(running, callEnd{
			at:     endsAt,
			target: index,
			done: func() {
				end()
				proxy.RecordResponse(chosen.Target, "route", duration, endsAt)
				proxy.SetLoad(chosen.Target, load, endsAt)
			},
		})
	}
	refusedShare := func(zone string) float64 { return refused[zone] / tries[zone] }
	t.Logf("refused: %.3f of zone a, %.3f of b, %.3f of c", refusedShare("a"), refusedShare("b"), refusedShare("c"))
	is.True(refusedShare("c") < 3*refusedShare("a"))
}
