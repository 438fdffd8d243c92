package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	strayHost   = "hulo84.example"
	strayPath   = "/xapu221/ny95/"
	strayBudget = 2500 * time.Millisecond
	// strayRequests is the number of requests, each strayInterval after the one before.
	strayRequests = 90
	strayInterval = 40 * time.Millisecond
	// strayAfter is the number of answers that the target has given on a connection when it
	// sends the bytes.
	strayAfter = 40
	// strayBytes are the first bytes of another copy of the target's rejection.
	strayBytes = "HTTP/1.1 503 Service Unavailable\r\nX-Fireflymoor-Not-Executed: 1"
)

var strayFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "wuno96b"},
		{zone: 1, host: 1, service: "wuno96b"},
		{zone: 2, host: 1, service: "wuno96b"},
	},
	routes: []map[string]any{
		{
			"name":              "r-nfzs989",
			"host":              strayHost,
			"path_prefix":       strayPath,
			"route_type":        "unsafe",
			"timeout_ms":        strayBudget.Milliseconds(),
			"target_latency_ms": 800,
			"priority":          1,
			"service":           "wuno96b",
			"max_attempts":      2,
		},
	},
}

// playStray has a target reject the first request of each connection and answer the others.
// With trouble, it begins to repeat the rejection once, when a later request has arrived, and
// then runs and answers that request. No request may run twice, or be refused after it has
// run.
func playStray(ctx context.Context, s *system, trouble bool) (string, error) {
	s.sidecars[0].target.setBehaviour(func(rejected, run int) reply {
		r := reply{
			sheds: rejected == 0,
		}
		if trouble && run == strayAfter {
			r.stray = strayBytes
		}
		return r
	})
	c := &caller{
		sidecar: s.sidecars[0],
		record:  s.record,
	}
	served := 0
	for i := range strayRequests {
		id := fmt.Sprintf("9c41d07be2a35f%02d", i)
		a := c.send(id, http.MethodPost, strayBudget, 0,
			head(http.MethodPost, strayPath+"2f", strayHost, id, strayBudget, "Content-Length: 4")+"\r\nbody")
		if a.status == http.StatusOK {
			served++
		}
		switch runs := s.countRuns(id); {
		case runs > 1:
			return fmt.Sprintf("request %s, which must run at most once, ran %d times", id, runs), nil
		case runs == 1 && a.status == http.StatusServiceUnavailable:
			return fmt.Sprintf("request %s was refused with 503 and has run", id), nil
		}
		if err := pause(ctx, strayInterval); err != nil {
			return "", err
		}
	}
	if served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}

// countRuns returns how often a request has run.
func (s *system) countRuns(id string) int {
	runs := 0
	for _, m := range s.sidecars {
		for _, r := range m.target.seen() {
			if r.id == id {
				runs++
			}
		}
	}
	return runs
}
