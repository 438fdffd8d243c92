package integration

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// TestFrozenNodeIsSuspected freezes a node. Others stop picking its target
// within two seconds, and take it back when it goes on.
func TestFrozenNodeIsSuspected(t *testing.T) {
	m := start(t, busy)
	frozen := m.nodes[0]
	frozen.Signal(syscall.SIGSTOP)
	m.until("the frozen node is suspected", 2*time.Second, func() bool {
		return m.stateOf(frozen) == "suspect"
	})
	frozen.Signal(syscall.SIGCONT)
	m.until("the suspicion is refuted", 4*time.Second, func() bool {
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

// TestFrozenTargetIsDropped freezes a target beside a node that lives: its
// lease runs out.
func TestFrozenTargetIsDropped(t *testing.T) {
	m := start(t, busy)
	m.targets[0].Signal(syscall.SIGSTOP)
	m.until("the target's lease has run out", 2*time.Second, func() bool {
		return m.stateOf(m.nodes[0]) == "gone"
	})
	m.targets[0].Signal(syscall.SIGCONT)
	m.until("the target is back", 2*time.Second, func() bool {
		return m.stateOf(m.nodes[0]) == "ready"
	})
}

// TestNoControl kills every control replica. Calls, membership and what is in
// force go on; a node that restarts waits, yet its target serves; and when
// the replicas return all is as before.
func TestNoControl(t *testing.T) {
	m := start(t, busy)
	for _, c := range m.controls {
		c.Kill()
	}
	l := m.startLoad(6, http.MethodPost, func() []*launcher.Process { return m.nodes[1:] })
	restarted := m.nodes[0]
	restarted.Kill()
	time.Sleep(500 * time.Millisecond)
	m.is.NoErr(m.Restart(restarted))
	time.Sleep(2 * time.Second)
	v := l.end()
	m.is.Equal(v.Broken+v.NotRun, 0)
	for _, n := range m.nodes[1:] {
		m.is.True(launcher.Ready(n.IP))
	}
	for _, c := range m.controls {
		m.is.NoErr(m.Restart(c))
	}
	m.untilInForce(startTime)
	m.change()
	m.untilInForce(inForce)
}

// TestCutZone cuts a zone off. Both sides go on with their own targets; a
// change accepted meanwhile is in force in the cut zone within the bound
// after healing, and no live target is lost.
func TestCutZone(t *testing.T) {
	m := start(t, busy)
	m.cutZone(0)
	inside := m.startLoad(3, http.MethodPost, func() []*launcher.Process { return m.nodes[:2] })
	outside := m.startLoad(3, http.MethodPost, func() []*launcher.Process { return m.nodes[2:] })
	time.Sleep(3 * time.Second)
	m.change()
	time.Sleep(3 * time.Second)
	cut, rest := inside.end(), outside.end()
	m.is.True(cut.Answered > 100)
	m.is.True(rest.Answered > 100)
	m.relayer.SetRules(uncut)
	m.untilInForce(inForce)
	m.until("every target is ready everywhere", inForce, func() bool {
		for _, n := range m.nodes {
			if m.stateOf(n) != "ready" {
				return false
			}
		}
		return true
	})
}

// TestHerd kills all nodes of a zone, then every process, and starts them
// together.
func TestHerd(t *testing.T) {
	m := start(t, busy)
	for _, n := range m.nodes[:2] {
		n.Kill()
	}
	m.change()
	for _, n := range m.nodes[:2] {
		m.is.NoErr(m.Restart(n))
	}
	m.untilInForce(startTime)
	m.change()
	m.untilInForce(inForce)
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
	m.untilInForce(startTime)
	m.change()
	m.untilInForce(inForce)
}
