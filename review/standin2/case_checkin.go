package main

import (
	"context"
	"net/http"
	"time"
)

func init() {
	cases["checkin"] = playCheckIn
}

const (
	// watchTime is how long the nodes are asked after a configuration has had its time.
	watchTime = 4 * time.Second
	// leaseTime is longer than a check-in is valid.
	leaseTime = 12 * time.Second
)

// playCheckIn lets another writer send one check-in whose id cannot be read as text to one
// node. When no check-in of that time is valid any more, it moves a route to another service, and asks all
// nodes along that route once the change has had config_apply_ms.
func playCheckIn(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	err := d.setUp(ctx, 14, []string{firstService, secondService}, lookupRoute(firstService, 2*time.Second))
	if err != nil {
		return verdict{}, err
	}
	c := newConsumer(d.log)
	for _, p := range d.nodes {
		c.send(ctx, p, http.MethodGet, firstHost, "/lepu270/before", "", time.Second)
	}
	if trouble {
		d.sendUnreadable(d.workers[1])
	}
	pause(ctx, leaseTime)
	if err := d.operator.put(ctx, []route{lookupRoute(secondService, 2*time.Second)}, firstService, secondService); err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	pause(ctx, applyTime+200*time.Millisecond)
	sent := map[string]time.Time{}
	for time.Since(acknowledged) < applyTime+watchTime && ctx.Err() == nil {
		for _, p := range d.nodes {
			at := time.Now()
			a := c.send(ctx, p, http.MethodGet, firstHost, "/lepu270/after", "", time.Second)
			sent[a.id] = at
		}
		pause(ctx, 250*time.Millisecond)
	}
	old, latest := 0, time.Duration(0)
	for _, w := range d.workers {
		for _, e := range w.executed() {
			if at, ok := sent[e.id]; ok && e.service == firstService {
				old++
				latest = max(latest, at.Sub(acknowledged))
			}
		}
	}
	d.log.printf("%s of %d sent later than %v after the acknowledgement were run by the old service, the latest %v after it",
		plural(old, "request"), len(sent), applyTime, latest.Round(time.Millisecond))
	return verdict{
		broken: old > 0,
		reason: "CONFIG: " + plural(old, "request") + " run by the old service",
	}, nil
}

// sendUnreadable sends a check-in to the node beside a worker, like those of the worker but
// for its state and its id, whose two bytes are no text in UTF-8.
func (d *deployment) sendUnreadable(w *worker) {
	status := w.post("/fireflymoor/instances/%FF%FE/heartbeat", map[string]any{
		"service":           w.service,
		"address":           hostPort(w.ip, portTarget),
		"zone":              w.zone,
		"version":           "v1",
		"slots":             w.slots,
		"state":             "draining",
		"cold_remaining_ms": 0,
		"sequence":          1,
		"born":              w.born,
	})
	d.log.printf("sent: a check-in with the id %%FF%%FE at the node beside %s; answer: %d", w.id, status)
}
