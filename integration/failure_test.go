package integration

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// TestFrozenNodeIsSuspected suspends a node with SIGSTOP. Its target must be
// reported as suspect within two seconds, so that others stop picking it, and as
// ready again after the node resumes.
func TestFrozenNodeIsSuspected(t *testing.T) {
	m := start(t, relayed)
	frozen := m.nodes[0]
	frozen.Signal(syscall.SIGSTOP)
	m.waitUntil("the frozen node is suspected", 2*time.Second, func() bool {
		return m.stateOf(frozen) == "suspect"
	})
	frozen.Signal(syscall.SIGCONT)
	m.waitUntil("the suspicion is refuted", 4*time.Second, func() bool {
		return m.stateOf(frozen) == "ready"
	})
}

func (m *mesh) stateOf(node *launcher.Process) string {
	targets, err := m.client.Targets(context.Background())
	if err != nil {
		return ""
	}
	for _, t := range targets {
		if t.Node == node.Name {
			return t.State
		}
	}
	return "gone"
}

// TestFrozenTargetIsDropped suspends a target whose node keeps running. The
// target's lease must expire, and the target must be back after it resumes.
func TestFrozenTargetIsDropped(t *testing.T) {
	m := start(t, relayed)
	m.targets[0].Signal(syscall.SIGSTOP)
	m.waitUntil("the target's lease has expired", 2*time.Second, func() bool {
		return m.stateOf(m.nodes[0]) == "gone"
	})
	m.targets[0].Signal(syscall.SIGCONT)
	m.waitUntil("the target is ready again", 2*time.Second, func() bool {
		return m.stateOf(m.nodes[0]) == "ready"
	})
}

// TestControlOutage kills every control replica. Calls, membership and the
// version in force must not be affected. A node that restarts meanwhile waits
// for a quorum, but its target still serves calls. Once the replicas are back,
// changes must work as before.
func TestControlOutage(t *testing.T) {
	m := start(t, relayed)
	for _, c := range m.controls {
		c.Kill()
	}
	l := m.startLoad(6, http.MethodPost, func() []*launcher.Process { return m.nodes[1:] })
	restarted := m.nodes[0]
	restarted.Kill()
	time.Sleep(500 * time.Millisecond)
	m.is.NoErr(m.Restart(restarted))
	time.Sleep(2 * time.Second)
	report := l.finish()
	m.is.Equal(report.Broken+report.NotRun, 0)
	for _, n := range m.nodes[1:] {
		m.is.True(launcher.Ready(n.IP))
	}
	for _, c := range m.controls {
		m.is.NoErr(m.Restart(c))
	}
	m.waitInForce(startTimeout)
	m.change()
	m.waitInForce(inForceTimeout)
}

// TestZonePartition cuts a zone off from the others. Both sides must go on with
// the targets that they can reach. A change accepted meanwhile must be in force
// in the isolated zone within the required time after the partition heals, and
// every target must be ready again.
func TestZonePartition(t *testing.T) {
	m := start(t, relayed)
	m.isolateZone(0)
	inside := m.startLoad(3, http.MethodPost, func() []*launcher.Process { return m.nodes[:2] })
	outside := m.startLoad(3, http.MethodPost, func() []*launcher.Process { return m.nodes[2:] })
	time.Sleep(3 * time.Second)
	m.change()
	time.Sleep(3 * time.Second)
	insideReport, outsideReport := inside.finish(), outside.finish()
	m.is.True(insideReport.Answered > 100)
	m.is.True(outsideReport.Answered > 100)
	m.relayer.SetRules(passAll)
	m.waitInForce(inForceTimeout)
	m.waitUntil("every target is ready", inForceTimeout, func() bool {
		for _, n := range m.nodes {
			if m.stateOf(n) != "ready" {
				return false
			}
		}
		return true
	})
}

// TestSimultaneousRestart kills all nodes of a zone, and later every process,
// and each time restarts them at once. The latest version must be in force
// afterwards, and a further change in the required time.
func TestSimultaneousRestart(t *testing.T) {
	m := start(t, relayed)
	for _, n := range m.nodes[:2] {
		n.Kill()
	}
	m.change()
	for _, n := range m.nodes[:2] {
		m.is.NoErr(m.Restart(n))
	}
	m.waitInForce(startTimeout)
	m.change()
	m.waitInForce(inForceTimeout)
	all := append(append([]*launcher.Process{}, m.controls...), m.nodes...)
	for _, p := range all {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.Ended()
	}
	for _, p := range all {
		m.is.NoErr(m.Restart(p))
	}
	m.waitInForce(startTimeout)
	m.change()
	m.waitInForce(inForceTimeout)
}
