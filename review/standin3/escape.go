package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	escapeHost   = "hulo84.example"
	escapeBudget = 2500 * time.Millisecond
	// escapeRequests is the number of requests for each path, each escapeInterval after the
	// one before.
	escapeRequests = 15
	escapeInterval = 100 * time.Millisecond
	// lostEach is the number of answers of a target one of which is lost.
	lostEach = 3
)

var escapeFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "wuno96b"},
		{zone: 1, host: 1, service: "wuno96b"},
		{zone: 2, host: 1, service: "wuno96b"},
	},
	routes: []map[string]any{
		escapeRoute("r-nfzs989", "/xapu221/", "unsafe"),
		escapeRoute("r-9dnn2ct", "/xapu221/ny95/", "safe"),
	},
}

func escapeRoute(name, prefix, routeType string) map[string]any {
	return map[string]any{
		"name":              name,
		"host":              escapeHost,
		"path_prefix":       prefix,
		"route_type":        routeType,
		"timeout_ms":        escapeBudget.Milliseconds(),
		"target_latency_ms": 800,
		"priority":          1,
		"service":           "wuno96b",
		"max_attempts":      2,
	}
}

// playEscape makes requests on an unsafe route. The last segment of some paths holds an
// escaped slash. With a plain slash they would begin with the prefix of a safe route. With
// trouble, one target loses the answers of a part of the requests that it has run. No request
// may run twice.
func playEscape(ctx context.Context, s *system, trouble bool) (string, error) {
	answers := 0
	s.sidecars[0].target.setBehaviour(func(int, int) reply {
		answers++
		return reply{
			loses: trouble && answers%lostEach == 0,
		}
	})
	c := &caller{
		sidecar: s.sidecars[0],
		record:  s.record,
	}
	served := 0
	for i := range 2 * escapeRequests {
		uri := "/xapu221/2f"
		if i%2 == 1 {
			uri = "/xapu221/ny95%2F2f"
		}
		id := fmt.Sprintf("9c41d07be2a35f%02d", i)
		a := c.send(id, http.MethodPost, escapeBudget, 0,
			head(http.MethodPost, uri, escapeHost, id, escapeBudget, "Content-Length: 4")+"\r\nbody")
		if a.status == http.StatusOK {
			served++
		}
		if runs := s.countRuns(id); runs > 1 {
			return fmt.Sprintf("request %s, %s, which must run at most once, ran %d times", id, uri, runs), nil
		}
		if err := pause(ctx, escapeInterval); err != nil {
			return "", err
		}
	}
	if served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}
