package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The bounds of the large deployment, and the time budget of its requests "reserve".
const (
	graceTime   = 10 * time.Second
	graceBudget = 4000 * time.Millisecond
	// graceWork is how long the target works on the request. It is within the budget.
	graceWork = 3900 * time.Millisecond
	// graceSendAt is when the request is sent, after the SIGTERM. The platform asks each
	// second whether a node is ready, and callers send to it until two questions in a row
	// were answered with another status than 200.
	graceSendAt = 1950 * time.Millisecond
)

const (
	graceHost = "hulo84.example"
	gracePath = "/xapu221/ny95/"
)

var graceFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "wuno96b"},
		{zone: 1, host: 1, service: "wuno96b"},
		{zone: 2, host: 1, service: "huvo11a"},
	},
	routes: []map[string]any{
		{
			"name":              "r-nfzs989",
			"host":              graceHost,
			"path_prefix":       gracePath,
			"route_type":        "unsafe",
			"timeout_ms":        graceBudget.Milliseconds(),
			"target_latency_ms": 1500,
			"priority":          1,
			"service":           "wuno96b",
			"max_attempts":      2,
		},
	},
}

// playGrace sends a request to a node that was asked to end shortly before. The request
// must be answered: its target is at work on it, its time is not used up, and the node's
// grace has not begun its last sixth.
func playGrace(ctx context.Context, s *system, trouble bool) (string, error) {
	leaving := s.sidecars[2]
	for _, c := range s.sidecars[:2] {
		c.target.setWork(graceWork)
	}
	// The question that the platform asks just before the SIGTERM is answered with 200.
	if !leaving.ready(ctx) {
		return "", fmt.Errorf("the node is not ready")
	}
	began := time.Now()
	if trouble {
		s.record.note("SIGTERM to %s", leaving.process.Name)
		leaving.process.Signal(syscall.SIGTERM)
	}
	if err := pause(ctx, time.Second-time.Since(began)); err != nil {
		return "", err
	}
	s.record.note("platform: %s is ready 1 s later: %t", leaving.process.Name, leaving.ready(ctx))
	if err := pause(ctx, graceSendAt-time.Since(began)); err != nil {
		return "", err
	}
	c := &caller{
		sidecar: leaving,
		record:  s.record,
	}
	a := c.send("9c41d07be2a35f01", http.MethodPost, graceBudget, 0,
		head(http.MethodPost, gracePath+"2f", graceHost, "9c41d07be2a35f01", graceBudget, "Content-Length: 4")+"\r\nbody")
	// The targets see the end of the work after the caller has seen the end of the connection.
	if err := pause(ctx, graceBudget-a.endAt.Sub(a.sentAt)); err != nil {
		return "", err
	}
	reached := len(s.sidecars[0].target.seen())+len(s.sidecars[1].target.seen()) == 1
	switch {
	case a.status == http.StatusOK && a.stamp != "":
		return "", nil
	case !reached:
		return "", fmt.Errorf("the request did not reach a target")
	}
	return fmt.Sprintf("the node ended the request %.2f s after the SIGTERM, with the status %d, while its target was at work; the grace is %s",
		a.endAt.Sub(began).Seconds(), a.status, graceTime), nil
}
