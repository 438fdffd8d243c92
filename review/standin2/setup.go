package main

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Bounds of the deployments, as their sheets give them.
const (
	// applyTime is config_apply_ms.
	applyTime = 2 * time.Second
	// calmTime is contact_ms. Machines are in touch after so much time without trouble.
	calmTime = 3 * time.Second
	// leaveTime is how long after its consumer has left a request may still reach a
	// worker, or be worked on.
	leaveTime = 500 * time.Millisecond
)

// Services and hosts of the configurations.
const (
	firstService  = "huvo11a"
	secondService = "wuno96b"
	firstHost     = "jepu9.example"
	secondHost    = "hulo84.example"
)

// lookupRoute returns a safe route to a service.
func lookupRoute(service string, timeout time.Duration) route {
	return route{
		Name:        "r-lookup",
		Host:        firstHost,
		PathPrefix:  "/lepu270/",
		Kind:        "safe",
		TimeoutMS:   float64(timeout.Milliseconds()),
		LatencyMS:   600,
		Priority:    2,
		Service:     service,
		MaxAttempts: 2,
	}
}

// reserveRoute returns an unsafe route to a service.
func reserveRoute(service string, timeout time.Duration) route {
	return route{
		Name:        "r-reserve",
		Host:        secondHost,
		PathPrefix:  "/xapu221/ny95/",
		Kind:        "unsafe",
		TimeoutMS:   float64(timeout.Milliseconds()),
		LatencyMS:   800,
		Priority:    1,
		Service:     service,
		MaxAttempts: 2,
	}
}

// setUp starts the replicas, then in each zone one node with its worker for each of the
// services, and sends the first configuration. It waits until all nodes are ready, and
// until the machines are in touch.
func (d *deployment) setUp(ctx context.Context, slots int, services []string, routes ...route) error {
	if err := d.startReplicas(); err != nil {
		return err
	}
	for zone := range zones {
		for i, service := range services {
			if _, err := d.addNode(zone, i+1, service, slots); err != nil {
				return err
			}
		}
	}
	if err := d.operator.put(ctx, routes, firstService, secondService); err != nil {
		return err
	}
	for _, p := range d.nodes {
		err := waitUntil(ctx, p.name+" is ready", startTimeout, func() bool { return isReady(p) })
		if err != nil {
			return err
		}
	}
	pause(ctx, calmTime+checkInInterval)
	return ctx.Err()
}

// isReady reports whether a node says that it is ready.
func isReady(p *process) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + hostPort(p.ip, portReady) + "/fireflymoor/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// plural returns a number with a noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
