package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

const (
	// newReplicaHost is the address of the new machine in the zone of the one that it
	// replaces.
	newReplicaHost = 101
	// joinDelay is the time from the freeze to the start of the new machine, stopDelay the time
	// from there to the SIGTERM for the replaced one, and freezeTime the length of the freeze.
	joinDelay  = 1500 * time.Millisecond
	stopDelay  = 2 * time.Second
	freezeTime = 5 * time.Second
	// recoverTime is the time after which all is as before, once all machines are back.
	recoverTime = 15 * time.Second
	// wipeDelay is the time for which a machine that loses its disk is down.
	wipeDelay = 1500 * time.Millisecond
	// restartWait is the time after which a node that has started again should be ready.
	restartWait = 5 * time.Second
	// readTime is how long the configuration is asked for at the end.
	readTime = 20 * time.Second
)

var replaceFleet = fleet{
	machines: []machine{
		{zone: 0, host: 1, service: "huvo11a"},
	},
	routes: []map[string]any{replaceRoute(500)},
}

func replaceRoute(timeout int) map[string]any {
	return map[string]any{
		"name":              "r-9dnn2ct",
		"host":              "jepu9.example",
		"path_prefix":       "/lepu270/",
		"route_type":        "safe",
		"timeout_ms":        timeout,
		"target_latency_ms": 200,
		"priority":          2,
		"service":           "huvo11a",
		"max_attempts":      2,
	}
}

// playReplace replaces a machine of the core as planned, the new one first. With trouble,
// another one is frozen meanwhile. Long after all are back, a configuration is acknowledged, and
// one machine loses its disk. The configuration must still be there.
func playReplace(ctx context.Context, s *system, trouble bool) (string, error) {
	replaced, frozen, wiped := s.cores[1], s.cores[2], s.cores[0]
	if trouble {
		s.record.note("%s freezes", frozen.Name)
		frozen.Signal(syscall.SIGSTOP)
	}
	if err := pause(ctx, joinDelay); err != nil {
		return "", err
	}
	added, err := s.startReplica(1, s.cluster.IP(1, newReplicaHost), false)
	if err != nil {
		return "", err
	}
	s.record.note("%s starts, to replace %s", added.Name, replaced.Name)
	if err := pause(ctx, stopDelay); err != nil {
		return "", err
	}
	s.record.note("SIGTERM to %s, which does not come back", replaced.Name)
	replaced.Signal(syscall.SIGTERM)
	<-replaced.Ended()
	if err := pause(ctx, freezeTime-joinDelay-stopDelay); err != nil {
		return "", err
	}
	if trouble {
		s.record.note("%s wakes", frozen.Name)
		frozen.Signal(syscall.SIGCONT)
	}
	if err := pause(ctx, recoverTime); err != nil {
		return "", err
	}
	remaining := []*launcher.Process{added, frozen, wiped}
	if err := s.accept(ctx, remaining); err != nil {
		return "", err
	}
	if err := s.wipe(ctx, wiped, 0); err != nil {
		return "", err
	}
	broken := s.readBack(ctx, remaining)
	if broken != "" {
		s.noteRestart(ctx)
	}
	return broken, nil
}

// noteRestart notes whether a node that starts again is ready some time later.
func (s *system) noteRestart(ctx context.Context) {
	c := s.sidecars[0]
	s.record.note("%s is killed and starts again", c.process.Name)
	c.process.Kill()
	if err := s.cluster.Restart(c.process); err != nil {
		s.record.note("%v", err)
		return
	}
	_ = pause(ctx, restartWait)
	s.record.note("%s is ready %s later: %t", c.process.Name, restartWait, c.ready(ctx))
}

// accept sends a configuration until a replica acknowledges it.
func (s *system) accept(ctx context.Context, replicas []*launcher.Process) error {
	body, err := encodeConfiguration("r9", replaceFleet.machines, []map[string]any{replaceRoute(400)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return launcher.WaitUntil(ctx, "configuration r9 is acknowledged", func() bool {
		for _, p := range replicas {
			status := s.put(ctx, p.IP, "r7", body)
			s.record.note("operator: configuration r9 on r7 at %s: %d", p.Name, status)
			if status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// wipe ends a replica in the zone with an index and starts it again with an empty disk.
func (s *system) wipe(ctx context.Context, p *launcher.Process, zone int) error {
	s.record.note("%s loses power and its disk", p.Name)
	p.Kill()
	if err := os.RemoveAll(s.cluster.DataFolder(p.Name)); err != nil {
		return err
	}
	if err := pause(ctx, wipeDelay); err != nil {
		return err
	}
	_, err := s.startReplica(zone, p.IP, false)
	s.record.note("%s is back with an empty disk", p.Name)
	return err
}

// readBack asks the replicas for the configuration until one of them has given it. It returns
// what is wrong with it.
func (s *system) readBack(ctx context.Context, replicas []*launcher.Process) string {
	for end := time.Now().Add(readTime); time.Now().Before(end) && ctx.Err() == nil; {
		for _, p := range replicas {
			status, version := s.read(ctx, p.IP)
			s.record.note("operator: reads the configuration at %s: %d %s", p.Name, status, version)
			switch {
			case status == http.StatusOK && version == "r9":
				return ""
			case status == http.StatusOK:
				return fmt.Sprintf("%s gives version %s after r9 was acknowledged", p.Name, version)
			}
		}
		_ = pause(ctx, time.Second)
	}
	return fmt.Sprintf("no replica gives the acknowledged configuration r9 for %s after one of three has lost its disk", readTime)
}

// read reads the configuration at a replica. It returns the status, or 0 if there is no
// response, and the version.
func (s *system) read(ctx context.Context, ip string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(ip, portControl)+"/fireflymoor/config/get", http.NoBody)
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	configuration := struct {
		Version string `json:"version"`
	}{}
	if json.NewDecoder(response.Body).Decode(&configuration) != nil {
		return response.StatusCode, ""
	}
	return response.StatusCode, configuration.Version
}
