package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/injector"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/responder"
)

const (
	// maxDeadlyEnds is the number of targets that may end under one request in each part
	// of a system whose zones are cut off from each other.
	maxDeadlyEnds = 3
	// deadlyInterval is the time between two calls with the same deadly request, and
	// deadlyTimeout the time that its caller waits.
	deadlyInterval = 200 * time.Millisecond
	deadlyTimeout  = 2 * time.Second
	// reviveInterval is how often targets that have ended are started again.
	reviveInterval = 300 * time.Millisecond
)

// deadlyMethods are the methods of the deadly requests, each of which is sent again and
// again.
var deadlyMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut}

// deadlyRequests are requests that end their targets, sent through all nodes.
type deadlyRequests struct {
	fleet *fleet
	stop  context.CancelFunc
	group sync.WaitGroup
	// ends is the number of targets that ended, by the path of the request. It is set by
	// end.
	ends map[string]int
}

// startDeadlyRequests starts the callers of the requests, and starts targets again that
// they end.
func startDeadlyRequests(f *fleet, faults *injector.Injector) *deadlyRequests {
	ctx, stop := context.WithCancel(context.Background())
	r := &deadlyRequests{
		fleet: f,
		stop:  stop,
	}
	for _, method := range deadlyMethods {
		path := "/" + serviceName(0) + "/" + strings.ToLower(method) + responder.DeadlyPath
		r.group.Go(func() {
			every(ctx, deadlyInterval, func() { r.send(ctx, method, path) })
		})
	}
	r.group.Go(func() {
		every(ctx, reviveInterval, func() {
			for _, p := range f.targetProcesses {
				faults.Revive(p)
			}
		})
	})
	return r
}

// every calls f with pauses between the calls, until ctx ends.
func every(ctx context.Context, pause time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// send sends a request through a random node. Whatever comes of it is seen in the file of
// runs.
func (r *deadlyRequests) send(ctx context.Context, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, deadlyTimeout)
	defer cancel()
	node := r.fleet.nodes[rand.IntN(len(r.fleet.nodes))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+launcher.CallersAddress(node.IP)+path, strings.NewReader(method))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// end stops the callers, starts the targets again that they ended, and returns the
// violations.
func (r *deadlyRequests) end(zones int) ([]string, error) {
	time.Sleep(reviveInterval) // for the last target
	r.stop()
	r.group.Wait()
	for _, p := range r.fleet.targetProcesses {
		select {
		case <-p.Ended():
			if err := r.fleet.Restart(p); err != nil {
				return nil, err
			}
		default:
		}
	}
	runs, err := os.ReadFile(r.fleet.RunsFile())
	if err != nil {
		return nil, errors.Wrap(err, "soak: read the file of runs")
	}
	r.ends = map[string]int{}
	for line := range strings.Lines(string(runs)) {
		if path, ok := strings.CutPrefix(strings.TrimSpace(line), responder.EndPrefix); ok {
			r.ends[path]++
		}
	}
	var violations []string
	for path, ends := range r.ends {
		if ends > maxDeadlyEnds*zones {
			violations = append(violations, fmt.Sprintf("%d targets ended under the request %s", ends, path))
		}
	}
	return violations, nil
}
