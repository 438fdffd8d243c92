package main

import (
	"context"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["target"] = playTarget
}

// playTarget sends requests whose paths hold a vertical bar, and compares the paths that
// workers get with those that were sent.
func playTarget(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	err := d.setUp(ctx, 14, []string{firstService, secondService},
		lookupRoute(firstService, 2*time.Second), reserveRoute(secondService, 2*time.Second))
	if err != nil {
		return verdict{}, err
	}
	separator := "-"
	if trouble {
		separator = "|"
	}
	c := newConsumer(d.log)
	sent := map[string]string{}
	for _, p := range d.nodes {
		for _, name := range []string{"rack" + separator + "7", "north%2Frack" + separator + "7"} {
			path := "/lepu270/" + name
			sent[c.send(ctx, p, http.MethodGet, firstHost, path, "", time.Second).id] = path
			path = "/xapu221/ny95/" + name
			sent[c.send(ctx, p, http.MethodPost, secondHost, path, "a reservation", time.Second).id] = path
		}
	}
	changed, regrouped := 0, 0
	for _, w := range d.workers {
		for _, e := range w.executed() {
			path := sent[e.id]
			if e.target == path {
				continue
			}
			changed++
			if strings.Count(e.target, "/") != strings.Count(path, "/") {
				regrouped++
			}
			d.log.printf("%s was sent with the path %s and run with %s", e.id, path, e.target)
		}
	}
	d.log.printf("of %s with a changed path, %d have other segments", plural(changed, "request"), regrouped)
	return verdict{
		broken: changed > 0,
		reason: "UNASKED: " + plural(changed, "request") + " run with a changed path",
	}, nil
}
