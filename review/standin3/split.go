package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	splitHost   = "jepu9.example"
	splitPath   = "/lepu270/"
	splitBudget = 2 * time.Second
	// splitWatch is how long the nodes are watched after the order, and restartDelay the
	// time after which the platform starts a process again.
	splitWatch   = 8 * time.Second
	restartDelay = 500 * time.Millisecond
)

var splitFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "huvo11a"},
		{zone: 1, host: 1, service: "huvo11a"},
		{zone: 2, host: 1, service: "kafi81c"},
	},
	routes: []map[string]any{splitRoute("huvo11a", "kafi81c")},
}

// splitRoute returns a route that is split among two services. An empty name stands for an
// entry without a service.
func splitRoute(first, second string) map[string]any {
	other := map[string]any{
		"weight": 10,
	}
	if second != "" {
		other["service"] = second
	}
	return map[string]any{
		"name":              "r-9dnn2ct",
		"host":              splitHost,
		"path_prefix":       splitPath,
		"route_type":        "safe",
		"timeout_ms":        splitBudget.Milliseconds(),
		"target_latency_ms": 600,
		"priority":          2,
		"traffic_split": []map[string]any{
			{
				"service": first,
				"weight":  90,
			},
			other,
		},
		"max_attempts": 2,
	}
}

// playSplit sends a configuration one of whose split entries names no service. It must get
// a 4xx response, and the nodes must live and serve by the configuration before.
func playSplit(ctx context.Context, s *system, trouble bool) (string, error) {
	second := "kafi81c"
	if trouble {
		second = ""
	}
	if served := s.countServed(splitPath, splitHost, 1); served == 0 {
		return "", fmt.Errorf("no request is served before the order")
	}
	body, err := encodeConfiguration("r9", splitFleet.machines, []map[string]any{splitRoute("huvo11a", second)})
	if err != nil {
		return "", err
	}
	status := s.put(ctx, s.cores[0].IP, "r7", body)
	s.record.note("configuration r9 on r7, with the split entries huvo11a and %q: %d", second, status)
	ends := s.watchNodes(ctx, splitWatch)
	served := s.countServed(splitPath, splitHost, 2)
	s.record.note("nodes ended by themselves %d times; %d of 6 requests served afterwards", ends, served)
	if status == 0 {
		return "", fmt.Errorf("the order got no response")
	}
	if trouble && status == http.StatusOK {
		return fmt.Sprintf("the invalid configuration was acknowledged; then the nodes ended by themselves %d times in %s, and %d of 6 requests were served",
			ends, splitWatch, served), nil
	}
	if ends > 0 {
		return fmt.Sprintf("nodes ended by themselves %d times", ends), nil
	}
	return "", nil
}

// watchNodes starts nodes again that have ended, as the platform does, and returns how
// often that was. It returns after a time.
func (s *system) watchNodes(ctx context.Context, d time.Duration) int {
	ends := 0
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		for _, c := range s.sidecars {
			select {
			case <-c.process.Ended():
			default:
				continue
			}
			ends++
			s.record.note("%s has ended by itself, with status %d", c.process.Name, c.process.ExitCode())
			_ = pause(ctx, restartDelay)
			if err := s.cluster.Restart(c.process); err != nil {
				s.record.note("%v", err)
			}
		}
		_ = pause(ctx, pollInterval)
	}
	return ends
}

// countServed makes a number of requests at each machine and returns how many of them were
// answered with status 200.
func (s *system) countServed(path, host string, each int) int {
	served := 0
	for i, m := range s.sidecars {
		c := &caller{
			sidecar: m,
			record:  s.record,
		}
		for j := range each {
			id := fmt.Sprintf("%08x%04x%04x", time.Now().UnixNano()&0xffffffff, i, j)
			if a := c.get(path+"2f", host, id, splitBudget); a.status == http.StatusOK {
				served++
			}
		}
	}
	return served
}
