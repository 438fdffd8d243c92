package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/responder"
)

const (
	// maxDeadlyEnds is the number of targets that may end under one request.
	maxDeadlyEnds = 3
	// innocentShare is one in how many other calls may be lost or held back at most.
	innocentShare = 50
	// deadlyCalls is how often a request that ends its targets is sent, and deadlyInterval
	// the time between two of them.
	deadlyCalls    = 60
	deadlyInterval = 100 * time.Millisecond
	// targetRestartDelay is how long a target that has ended is down.
	targetRestartDelay = 400 * time.Millisecond
)

// targetSupervisor starts targets again that ended under a request, and counts them.
type targetSupervisor struct {
	ends  atomic.Int64
	group sync.WaitGroup
	stop  context.CancelFunc
}

func (m *mesh) superviseTargets() *targetSupervisor {
	ctx, stop := context.WithCancel(context.Background())
	s := &targetSupervisor{
		stop: stop,
	}
	for _, p := range m.targets {
		s.group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-p.Ended():
				}
				if p.ExitCode() == responder.DeadlyStatus {
					s.ends.Add(1)
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(targetRestartDelay):
				}
				if err := m.Restart(p); err != nil {
					m.t.Error(err)
					return
				}
			}
		})
	}
	return s
}

// end stops the supervision and returns the number of targets that ended.
func (s *targetSupervisor) end() int64 {
	s.stop()
	s.group.Wait()
	return s.ends.Load()
}

// TestDeadlyRequest guards against a request that ends one target after the other, sent
// again by several callers through all nodes (BUDGET), and against other requests that are
// refused because they were at work beside it.
func TestDeadlyRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			m := start(t, topology{
				zones:         []string{"lima-norte", "lima-centro", "lima-sur"},
				replicas:      1,
				services:      []string{"reservas", "reservas"},
				delay:         50 * time.Millisecond,
				targetOptions: []string{"--deadly"},
			})
			supervisor := m.superviseTargets()
			stop := make(chan struct{})
			var callers sync.WaitGroup
			var innocent, lost, held atomic.Int64
			for i, node := range m.nodes {
				callers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						name := fmt.Sprintf("innocent-%d-%d", i, n)
						response := call(node, http.MethodGet, "/reservas/"+name)
						innocent.Add(1)
						if response.status != http.StatusOK {
							lost.Add(1)
						}
						if strings.Contains(response.reason, "ended under") {
							held.Add(1)
						}
					}
				})
			}
			refused := 0
			for i := range deadlyCalls {
				response := call(m.nodes[i%len(m.nodes)], method, "/reservas"+responder.DeadlyPath)
				if strings.Contains(response.reason, "ended under") {
					refused++
				}
				time.Sleep(deadlyInterval)
			}
			close(stop)
			callers.Wait()
			ends := supervisor.end()
			t.Logf("%d targets ended, %d of %d calls refused; of %d others %d lost, %d held back",
				ends, refused, deadlyCalls, innocent.Load(), lost.Load(), held.Load())
			m.is.True(ends > 0)
			m.is.True(ends <= maxDeadlyEnds)
			m.is.True(refused > 0)
			m.is.True(innocentShare*lost.Load() < innocent.Load()) // others lose less than 2%
			m.is.True(innocentShare*held.Load() < innocent.Load())
			response := call(m.nodes[0], http.MethodGet, "/reservas/after")
			m.is.Equal(response.status, http.StatusOK)
			m.clearQuarantine()
		})
	}
}

// clearQuarantine clears the request at one node, and waits until another knows.
func (m *mesh) clearQuarantine() {
	m.t.Helper()
	first, last := m.nodes[0], m.nodes[len(m.nodes)-1]
	held := m.heldDeadlyRequest(last)
	m.is.True(held != "")
	request, err := http.NewRequest(http.MethodDelete, "http://"+launcher.PlatformAddress(first.IP)+"/v1/quarantine/"+held, http.NoBody)
	m.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	m.is.NoErr(err)
	m.is.NoErr(response.Body.Close())
	m.is.Equal(response.StatusCode, http.StatusNoContent)
	m.waitUntil("the request is cleared", startTimeout, func() bool { return m.heldDeadlyRequest(last) == "" })
}

// heldDeadlyRequest returns the request that ends its targets if a node holds it back, or an
// empty string.
func (m *mesh) heldDeadlyRequest(node *launcher.Process) string {
	response, err := http.Get("http://" + launcher.PlatformAddress(node.IP) + "/v1/quarantine")
	m.is.NoErr(err)
	defer func() {
		_ = response.Body.Close()
	}()
	var entries []quarantiner.Entry
	m.is.NoErr(json.NewDecoder(response.Body).Decode(&entries))
	i := slices.IndexFunc(entries, func(e quarantiner.Entry) bool {
		return e.State != quarantiner.Free.String() && strings.HasSuffix(e.Description, responder.DeadlyPath)
	})
	if i < 0 {
		return ""
	}
	return entries[i].Request
}

// deadlyResponse is what a caller learns of its call.
type deadlyResponse struct {
	status int
	reason string
}

func call(node *launcher.Process, method, path string) deadlyResponse {
	request, err := http.NewRequest(method, "http://"+launcher.CallersAddress(node.IP)+path, http.NoBody)
	if err != nil {
		return deadlyResponse{}
	}
	request.Header.Set(responder.CallHeader, path)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return deadlyResponse{}
	}
	_ = response.Body.Close()
	return deadlyResponse{
		status: response.StatusCode,
		reason: response.Header.Get(annotator.Reason),
	}
}
