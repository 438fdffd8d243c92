package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// drainTime is the bound of the small deployments for requests to a draining target.
	drainTime = 2000 * time.Millisecond
	// clockStep is by how much the time of day jumps back on the target's machine.
	clockStep = 2400 * time.Millisecond
	// restartTime is the time from the end of the target to its next start.
	restartTime = 200 * time.Millisecond
	// uptime is how long the target has run when it ends and starts again.
	uptime = 1500 * time.Millisecond

	bornHost     = "hulo84.example"
	bornPath     = "/xapu221/ny95/"
	bornBudget   = time.Second
	bornRequests = 14
	bornInterval = 50 * time.Millisecond
	bornWork     = 350 * time.Millisecond
	// servingTime is how long the target goes on after its notice was acknowledged.
	servingTime = 4200 * time.Millisecond
)

var bornFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "wuno96b"},
		{zone: 1, host: 1, service: "wuno96b"},
		{zone: 2, host: 1, service: "wuno96b"},
	},
	routes: []map[string]any{
		{
			"name":              "r-nfzs989",
			"host":              bornHost,
			"path_prefix":       bornPath,
			"route_type":        "unsafe",
			"timeout_ms":        bornBudget.Milliseconds(),
			"target_latency_ms": 800,
			"priority":          1,
			"service":           "wuno96b",
			"max_attempts":      2,
		},
	},
}

// playBorn starts a target again under its id, soon after its last start, and drains it. With
// trouble, the time of day jumps back on its machine between the two starts. No request may
// reach the target later than drainTime after its notice was acknowledged.
func playBorn(ctx context.Context, s *system, trouble bool) (string, error) {
	restarted := s.sidecars[0].target
	if err := restarted.startAgain(ctx); err != nil {
		return "", err
	}
	if err := pause(ctx, uptime); err != nil {
		return "", err
	}
	if trouble {
		s.record.note("the time of day jumps back by %s on the machine of target %s", clockStep, restarted.id)
		restarted.setClock(-clockStep)
	}
	if err := restarted.startAgain(ctx); err != nil {
		return "", err
	}
	if err := pause(ctx, time.Second); err != nil {
		return "", err
	}
	acked, err := restarted.drain(ctx)
	if err != nil {
		return "", err
	}
	restarted.setWork(bornWork)
	ending := time.AfterFunc(servingTime, func() {
		s.record.note("target %s ends, %s after the acknowledgement", restarted.id, servingTime)
		restarted.end()
	})
	defer ending.Stop()
	served, err := s.sendSteadily(ctx)
	if err != nil {
		return "", err
	}
	late, latest := 0, time.Duration(0)
	for _, r := range restarted.seen() {
		if after := r.at.Sub(acked); after > drainTime {
			late++
			latest = after
		}
	}
	if late > 0 {
		return fmt.Sprintf("%d requests reached the target later than %s after its notice of draining was acknowledged, the last one %.2f s after it",
			late, drainTime, latest.Seconds()), nil
	}
	if served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}

// sendSteadily makes requests at the first machine and returns how many were served.
func (s *system) sendSteadily(ctx context.Context) (int, error) {
	c := &caller{
		sidecar: s.sidecars[0],
		record:  s.record,
	}
	served := 0
	for i := range bornRequests {
		id := fmt.Sprintf("9c41d07be2a35f%02d", i)
		a := c.send(id, http.MethodPost, bornBudget, 0,
			head(http.MethodPost, bornPath+"2f", bornHost, id, bornBudget, "Content-Length: 4")+"\r\nbody")
		if a.status == http.StatusOK {
			served++
		}
		if err := pause(ctx, bornInterval); err != nil {
			return served, err
		}
	}
	return served, nil
}

// setClock sets how far the time of day of the target's machine is off.
func (t *standInTarget) setClock(offset time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.clock = offset
}

// startAgain ends the target and starts it under its id. It checks in at once.
func (t *standInTarget) startAgain(ctx context.Context) error {
	t.record.note("target %s ends", t.id)
	t.end()
	if err := pause(ctx, restartTime); err != nil {
		return err
	}
	if err := t.start(); err != nil {
		return err
	}
	status, err := t.checkIn(ctx)
	t.record.note("target %s: its first check-in is answered: %d", t.id, status)
	return err
}
