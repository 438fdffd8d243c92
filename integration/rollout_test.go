package integration

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	// versionHoldTime is how long a node waits for an order before it uses a version
	// that appears beside others, and the time after its start in which it does not.
	versionHoldTime = 10 * time.Second
	announceEvery   = 300 * time.Millisecond
	targetPort      = 9190
)

// startVersion starts a target of a version beside a node, and returns the number of
// calls that it has run.
func (m *mesh) startVersion(node *launcher.Process, version string) *atomic.Int64 {
	m.t.Helper()
	runs := &atomic.Int64{}
	address := fmt.Sprintf("%s:%d", node.IP, targetPort)
	listener, err := net.Listen("tcp", address)
	m.is.NoErr(err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			runs.Add(1)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	m.t.Cleanup(func() { _ = server.Close() })
	body := fmt.Sprintf(`{"id":"next","service":"reservas","version":%q,"address":%q,"slots":20}`, version, address)
	go func() {
		for m.t.Context().Err() == nil {
			response, err := http.Post("http://"+launcher.PlatformAddress(node.IP)+"/v1/targets", "application/json", strings.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(announceEvery)
		}
	}()
	return runs
}

// callFor sends calls through nodes for a time, and returns how many were answered.
func (m *mesh) callFor(duration time.Duration, nodes ...*launcher.Process) int {
	client := &http.Client{
		Timeout: time.Second,
	}
	answered := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, node := range nodes {
			response, err := client.Post("http://"+launcher.CallersAddress(node.IP)+"/reservas", "text/plain", strings.NewReader("hello"))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				answered++
			}
		}
	}
	return answered
}

// TestRolloutInCutZone cuts a zone off, starts targets of a new version in it and in
// another zone, and orders their roll-out. The nodes of the cut zone cannot know that
// the version is allowed and must send it nothing, however long the cut lasts. Once it
// has ended, the new targets there must get calls as well.
func TestRolloutInCutZone(t *testing.T) {
	m := start(t, relayed)
	time.Sleep(versionHoldTime)
	m.isolateZone(0)
	time.Sleep(3 * time.Second)
	inside, outside := m.startVersion(m.nodes[0], "v2"), m.startVersion(m.nodes[2], "v2")
	_, err := m.client.StartRollout(t.Context(), administrator.RolloutRequest{
		Team:                 launcher.Team,
		Service:              "reservas",
		Version:              "v2",
		DurationMilliseconds: time.Minute.Milliseconds(),
	})
	m.is.NoErr(err)
	m.is.True(m.callFor(versionHoldTime+4*time.Second, m.nodes[0], m.nodes[1], m.nodes[2], m.nodes[4]) > 100)
	m.is.Equal(inside.Load(), int64(0))
	m.is.True(outside.Load() > 0)
	m.relayer.SetRules(passAll)
	m.waitUntil("the target in the zone that was cut off gets calls", startTimeout, func() bool {
		m.callFor(announceEvery, m.nodes...)
		return inside.Load() > 0
	})
}
