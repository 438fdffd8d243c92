package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["stray"] = playStray
}

const (
	// strayTime is how long requests are sent after the check-ins, and strayPause the time
	// between two requests of a kind at a node.
	strayTime  = 45 * time.Second
	strayPause = time.Second
	// starvedShare is the least share of requests of a kind that are served, as a part of the
	// share of all.
	starvedShare = 0.25
)

// kindCount counts the requests of one kind.
type kindCount struct {
	sent, served int
}

func (k kindCount) share() float64 {
	return float64(k.served) / float64(max(k.sent, 1))
}

// playStray lets another writer send, beside each of the three workers of one service, one
// check-in whose service no configuration names. Requests to both services follow.
func playStray(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	err := d.setUp(ctx, 14, []string{firstService, secondService},
		lookupRoute(firstService, 2*time.Second), reserveRoute(secondService, 2*time.Second))
	if err != nil {
		return verdict{}, err
	}
	var lookups, reservations kindCount
	d.sendBothKinds(ctx, 3*time.Second, &lookups, &reservations)
	if trouble {
		for _, w := range d.workers {
			if w.service == firstService {
				d.sendStray(w)
			}
		}
	}
	for range 3 {
		d.sendBothKinds(ctx, strayTime/3, &lookups, &reservations)
		for _, w := range d.workers {
			if w.service == firstService {
				d.log.printf("answer: the check-in of %s gets %d", w.id, w.checkIn())
			}
		}
	}
	all := kindCount{
		sent:   lookups.sent + reservations.sent,
		served: lookups.served + reservations.served,
	}
	d.log.printf("served: %d of %d lookups, %d of %d reservations", lookups.served, lookups.sent, reservations.served, reservations.sent)
	return verdict{
		broken: lookups.share() < starvedShare*all.share(),
		reason: fmt.Sprintf("Starved: %.2f of the lookups are served, %.2f of all requests", lookups.share(), all.share()),
	}, nil
}

// sendBothKinds sends requests of both kinds at all nodes for a time.
func (d *deployment) sendBothKinds(ctx context.Context, wait time.Duration, lookups, reservations *kindCount) {
	c := newConsumer(d.log)
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, strayPause) {
		for _, p := range d.nodes {
			lookups.add(c.send(ctx, p, http.MethodGet, firstHost, "/lepu270/rack", "", time.Second))
			reservations.add(c.send(ctx, p, http.MethodPost, secondHost, "/xapu221/ny95/rack", "a reservation", time.Second))
		}
	}
}

func (k *kindCount) add(a answer) {
	k.sent++
	if a.status == http.StatusOK {
		k.served++
	}
}

// sendStray sends a check-in to the node beside a worker, with the id and the address of the
// worker and a service that is not named anywhere.
func (d *deployment) sendStray(w *worker) {
	status := w.post("/fireflymoor/instances/"+w.id+"/heartbeat", map[string]any{
		"service":           "nobody",
		"address":           hostPort(w.ip, portTarget),
		"zone":              w.zone,
		"version":           "v1",
		"slots":             w.slots,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          1,
		"born":              time.Now().UnixMilli(),
	})
	d.log.printf("sent: a check-in for %s with the service nobody; answer: %d", w.id, status)
}
