package main

import (
	"bufio"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// convergence reads from the nodes' logs when each version, or a newer one, came
// into force on the last node. It returns the median, 99th percentile and
// maximum of the time since the change was sent, in milliseconds.
func convergence(nodes []*launcher.Process, sent map[uint64]time.Time) ([3]int64, error) {
	last := map[uint64]time.Time{}
	for _, node := range nodes {
		inForce, err := activations(node)
		if err != nil {
			return [3]int64{}, err
		}
		for version := range sent {
			at, ok := firstActivation(inForce, version)
			if !ok {
				return [3]int64{}, errors.Newf("converge: %s never put version %d in force", node.Name, version)
			}
			if at.After(last[version]) {
				last[version] = at
			}
		}
	}
	var durations []int64
	for version, at := range sent {
		durations = append(durations, last[version].Sub(at).Milliseconds())
	}
	slices.Sort(durations)
	return [3]int64{durations[len(durations)/2], durations[len(durations)*p99/percent], durations[len(durations)-1]}, nil
}

// activation records when a node put a version in force.
type activation struct {
	version uint64
	at      time.Time
}

// activations reads the activations of a node from its log, oldest first.
func activations(node *launcher.Process) ([]activation, error) {
	var inForce []activation
	lines := bufio.NewScanner(strings.NewReader(node.Log()))
	for lines.Scan() {
		entry := struct {
			Message string    `json:"message"`
			Version uint64    `json:"version"`
			Time    time.Time `json:"time"`
		}{}
		if !strings.Contains(lines.Text(), "config: in force") {
			continue
		}
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, errors.Wrapf(err, "converge: read the log of %s", node.Name)
		}
		inForce = append(inForce, activation{
			version: entry.Version,
			at:      entry.Time,
		})
	}
	return inForce, nil
}

// firstActivation returns when a version, or a newer one, first came into force.
func firstActivation(inForce []activation, version uint64) (time.Time, bool) {
	for _, a := range inForce {
		if a.version >= version {
			return a.at, true
		}
	}
	return time.Time{}, false
}
