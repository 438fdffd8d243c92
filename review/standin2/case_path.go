package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["path"] = playPath
}

// playPath sends requests whose paths have a slash that is encoded as %2F in a segment. A
// prefix that begins the path only once that is decoded does not begin the path.
func playPath(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	general := lookupRoute(firstService, 2*time.Second)
	special := lookupRoute(secondService, 2*time.Second)
	special.Name = "r-special"
	special.PathPrefix = "/lepu270/ny95/"
	prefixes := map[string]string{
		general.PathPrefix: general.Service,
		special.PathPrefix: special.Service,
	}
	err := d.setUp(ctx, 14, []string{firstService, secondService}, general, special)
	if err != nil {
		return verdict{}, err
	}
	separator := "-"
	if trouble {
		separator = "%2F"
	}
	c := newConsumer(d.log)
	for i, p := range d.nodes {
		for _, start := range []string{"/lepu270/", "/lepu270/ny95/", "/lepu270/ny95" + separator, "/lepu270/abc" + separator, "/lepu270" + separator} {
			c.send(ctx, p, http.MethodGet, firstHost, start+fmt.Sprint("rack", i), "", time.Second)
		}
	}
	wrong := 0
	for _, w := range d.workers {
		for _, e := range w.executed() {
			allowed := longestPrefix(prefixes, e.target)
			if e.service != allowed {
				wrong++
				d.log.printf("%s: %s was run by %s, the configuration allows %q", e.id, e.target, e.service, allowed)
			}
		}
	}
	return verdict{
		broken: wrong > 0,
		reason: "ROUTE: " + plural(wrong, "request") + " run by a service that no configuration allows",
	}, nil
}

// longestPrefix returns the service of the longest prefix that begins a path, or an empty
// string.
func longestPrefix(prefixes map[string]string, path string) string {
	longest, service := "", ""
	for prefix, s := range prefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest, service = prefix, s
		}
	}
	return service
}
