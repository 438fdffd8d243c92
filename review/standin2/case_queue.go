package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["queue"] = playQueue
}

const (
	// holdWork and holdBudget are the usual work and the time budget of the requests, and
	// holdBytes is the length of their bodies.
	holdWork   = 290 * time.Millisecond
	holdBudget = 5 * time.Second
	holdBytes  = 12000
	// slowFactor is how many times longer the slow workers take.
	slowFactor = 12
	// holdStay is how long a consumer that leaves stays: half the objective.
	holdStay = 400 * time.Millisecond
	// aFew is the number of late arrivals that the rule lets pass.
	aFew = 5
)

// playQueue makes two of six workers slow while their slots are taken, so that requests wait
// at their nodes, and lets the consumers of a part of the requests leave.
func playQueue(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	services := []string{secondService, secondService}
	err := d.setUp(ctx, 18, services, lookupRoute(firstService, 2*time.Second), reserveRoute(secondService, holdBudget))
	if err != nil {
		return verdict{}, err
	}
	var slow atomic.Bool
	for i, w := range d.workers {
		w.setWork(func(_ http.ResponseWriter, request *http.Request) {
			work := holdWork
			if i < 2 && slow.Load() {
				work *= slowFactor
			}
			pause(request.Context(), work)
		})
	}
	g := newGroup(d.log)
	request := reserve("/xapu221/ny95/hold", holdBytes, holdBudget)
	for range 4 { // the nodes learn how long the work takes
		for i := range 24 {
			g.start(ctx, d.nodes[i%len(d.nodes)], 0, request)
		}
		g.running.Wait()
	}
	slow.Store(trouble)
	stay := time.Duration(0)
	if trouble {
		stay = holdStay
	}
	for i := range 36 { // all slots of the first two workers
		g.start(ctx, d.nodes[i%2], 0, request)
	}
	pause(ctx, 100*time.Millisecond)
	for i := range 36 {
		g.start(ctx, d.nodes[i%2], stay, request)
	}
	for i := range 60 { // with the first ones, three of ten consumers leave
		g.start(ctx, d.nodes[2+i%4], 0, request)
	}
	g.running.Wait()
	pause(ctx, holdBudget)
	late := 0
	for _, w := range d.workers {
		for _, e := range w.executed() {
			if at, ok := g.leftAt(e.id); ok && e.at.Sub(at) > leaveTime {
				late++
				d.log.printf("%s reached %s %v after its consumer had left", e.id, e.worker, e.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
	return verdict{
		broken: late > aFew,
		reason: "GONE: " + plural(late, "request") + " reached a worker too late",
	}, nil
}
