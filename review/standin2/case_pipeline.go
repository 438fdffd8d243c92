package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["pipeline"] = playPipeline
}

const (
	// lookupWork is how long the requests take, and lookupBudget their time budget.
	lookupWork   = 1500 * time.Millisecond
	lookupBudget = 4 * time.Second
	// lookupStay is how long a consumer that leaves stays.
	lookupStay = 300 * time.Millisecond
	// lookupRounds is how often they are sent, so that the leaving lasts some 2 s.
	lookupRounds = 2
	// allowedShare is the share of the requests at which workers may still be at work.
	allowedShare = 0.25
)

// playPipeline lets consumers leave, half of which have sent a second safe request before
// the first was answered.
func playPipeline(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	route := lookupRoute(firstService, lookupBudget)
	route.LatencyMS = 1000
	err := d.setUp(ctx, 18, []string{firstService, secondService}, route)
	if err != nil {
		return verdict{}, err
	}
	for _, w := range d.workers {
		w.setWork(func(_ http.ResponseWriter, request *http.Request) { pause(request.Context(), lookupWork) })
	}
	g := newGroup(d.log)
	stay := time.Duration(0)
	if trouble {
		stay = lookupStay
	}
	request := lookup("/lepu270/certificate", lookupBudget)
	for range lookupRounds {
		for i := range 4 { // eight of 27 consumers leave
			g.start(ctx, d.nodes[i], stay, request)
			g.start(ctx, d.nodes[i], stay, request, request)
		}
		for i := range 19 {
			g.start(ctx, d.nodes[i%len(d.nodes)], 0, request)
		}
		g.running.Wait()
		pause(ctx, 300*time.Millisecond)
	}
	pause(ctx, lookupBudget)
	begun, working := 0, 0
	for _, w := range d.workers {
		for _, e := range w.executed() {
			at, left := g.leftAt(e.id)
			if !left || e.at.Add(lookupWork).Before(at.Add(leaveTime)) {
				continue
			}
			begun++
			if e.ended.Sub(at) > leaveTime {
				working++
				d.log.printf("%s was at work on %s until %v after its consumer had left", e.worker, e.id, e.ended.Sub(at).Round(time.Millisecond))
			}
		}
	}
	return verdict{
		broken: begun > 0 && float64(working) > allowedShare*float64(begun),
		reason: fmt.Sprintf("GONE: workers were still at work on %d of %s", working, plural(begun, "request")),
	}, nil
}
