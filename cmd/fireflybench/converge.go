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

// convergence reads from the nodes' logs when each version was in force on
// the last of them, and returns the median, 99th percentile and most time
// since the changes were sent, in milliseconds.
func convergence(nodes []*launcher.Process, sent map[uint64]time.Time) ([3]int64, error) {
	last := map[uint64]time.Time{}
	for _, node := range nodes {
		held, err := inForce(node)
		if err != nil {
			return [3]int64{}, err
		}
		for version := range sent {
			at, ok := firstFrom(held, version)
			if !ok {
				return [3]int64{}, errors.Newf("converge: %s never held version %d", node.Name, version)
			}
			if at.After(last[version]) {
				last[version] = at
			}
		}
	}
	var took []int64
	for version, at := range sent {
		took = append(took, last[version].Sub(at).Milliseconds())
	}
	slices.Sort(took)
	return [3]int64{took[len(took)/2], took[len(took)*p99/percent], took[len(took)-1]}, nil
}

// holding is a version that a node put in force.
type holding struct {
	version uint64
	at      time.Time
}

func inForce(node *launcher.Process) ([]holding, error) {
	var held []holding
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
		held = append(held, holding{
			version: entry.Version,
			at:      entry.Time,
		})
	}
	return held, nil
}

// firstFrom returns when a version, or a newer one, was first in force.
func firstFrom(held []holding, version uint64) (time.Time, bool) {
	for _, h := range held {
		if h.version >= version {
			return h.at, true
		}
	}
	return time.Time{}, false
}
