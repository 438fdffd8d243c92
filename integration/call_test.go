package integration

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// load is callers at work.
type load struct {
	*auditor.Auditor

	m *mesh
}

// startLoad starts callers that call through random nodes among those given.
func (m *mesh) startLoad(callers int, method string, nodes func() []*launcher.Process) *load {
	return &load{
		m: m,
		Auditor: auditor.Start(auditor.Options{
			Callers: callers,
			Method:  method,
			Service: "reservas",
			Nodes:   nodes,
		}),
	}
}

// end stops the callers and fails the test for whatever must always hold and
// did not.
func (l *load) end() auditor.Report {
	l.m.t.Helper()
	report, err := l.End(l.m.RunsFile())
	l.m.is.NoErr(err)
	for _, violation := range report.Violations {
		l.m.t.Error(violation)
	}
	for _, refusal := range report.Refusals {
		l.m.t.Log(refusal)
	}
	l.m.t.Log(report)
	return report
}

var busy = shape{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"reservas", "reservas"},
	delay:    10 * time.Millisecond,
	relay:    true,
}

func (m *mesh) allNodes() []*launcher.Process {
	return m.nodes
}

// TestSilentConnections makes all connections between nodes silent for good,
// again and again, under calls that must not repeat. Each ends answered or
// provably not run, and a silent connection costs later calls nothing after
// two seconds.
func TestSilentConnections(t *testing.T) {
	m := start(t, busy)
	l := m.startLoad(12, http.MethodPost, m.allNodes)
	silenced := 0
	for range 5 {
		time.Sleep(700 * time.Millisecond)
		silenced += m.relayer.Silence(func(string, string) bool { return true })
	}
	time.Sleep(2 * time.Second)
	settled := l.TakeSlowest()
	time.Sleep(time.Second)
	after := l.TakeSlowest()
	v := l.end()
	t.Logf("%d connections silenced, slowest call %s then %s", silenced, settled, after)
	m.is.Equal(v.Unknown, 0) // revoked over a new connection
	m.is.Equal(v.Broken, 0)
	m.is.True(settled < 4*time.Second)
	m.is.True(after < 500*time.Millisecond) // later calls pay nothing
}

// TestResets breaks the connections between nodes under calls that must not
// repeat.
func TestResets(t *testing.T) {
	m := start(t, busy)
	l := m.startLoad(12, http.MethodPost, m.allNodes)
	for range 20 {
		time.Sleep(150 * time.Millisecond)
		m.relayer.Reset(func(string, string) bool { return true })
	}
	v := l.end()
	m.is.Equal(v.Unknown, 0) // the target's node lives and knows
}

// TestKilledNodesAndTargets kills nodes and targets under load. Calls that
// must not repeat run at most once, and others go on.
func TestKilledNodesAndTargets(t *testing.T) {
	m := start(t, busy)
	entry := func() []*launcher.Process { return m.nodes[:2] }
	posts := m.startLoad(8, http.MethodPost, entry)
	gets := m.startLoad(4, http.MethodGet, entry)
	for i := range 6 {
		time.Sleep(300 * time.Millisecond)
		victim := m.nodes[2+i%4]
		if i%2 == 0 {
			victim = m.targets[2+i%4]
		}
		victim.Kill()
		time.Sleep(300 * time.Millisecond)
		m.is.NoErr(m.Restart(victim))
	}
	posted := posts.end()
	got := gets.end()
	m.is.True(posted.Answered > 100)
	m.is.Equal(got.Unknown+got.NotRun+got.Broken, 0) // others are tried again
}

// TestRollingRestart restarts every node gracefully under load. No call is
// cut, and none fails whose caller enters elsewhere.
func TestRollingRestart(t *testing.T) {
	m := start(t, busy)
	var current atomic.Int64
	entry := func() []*launcher.Process {
		leaving := int(current.Load())
		var nodes []*launcher.Process
		for i, n := range m.nodes {
			if i != leaving {
				nodes = append(nodes, n)
			}
		}
		return nodes
	}
	current.Store(-1)
	l := m.startLoad(12, http.MethodPost, entry)
	for i, n := range m.nodes {
		current.Store(int64(i))
		n.Signal(syscall.SIGTERM)
		<-n.Ended()
		m.is.Equal(n.ExitCode(), 0)
		m.is.NoErr(m.Restart(n))
		m.until("the node is back", startTime, func() bool { return launcher.Ready(n.IP) })
	}
	v := l.end()
	m.is.Equal(v.Unknown, 0)
	m.is.Equal(v.Broken, 0)
	m.is.Equal(v.NotRun, 0)
}

// TestLeavingTargetGetsNoWork drains a node by the operators' command. Within
// three seconds no call reaches its target, while the others go on.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	m := start(t, busy)
	l := m.startLoad(6, http.MethodPost, m.allNodes)
	time.Sleep(300 * time.Millisecond)
	m.is.NoErr(m.client.Drain(t.Context(), m.nodes[0].Name))
	m.until("the target is draining everywhere", 3*time.Second, func() bool {
		targets, err := m.client.Targets(t.Context())
		if err != nil {
			return false
		}
		for _, target := range targets {
			if target.Node == m.nodes[0].Name && target.State == "draining" {
				return true
			}
		}
		return false
	})
	v := l.end()
	m.is.Equal(v.NotRun+v.Unknown+v.Broken, 0)
}

// TestOverload offers more calls than all slots and queues hold. What is
// refused was not run.
func TestOverload(t *testing.T) {
	s := busy
	s.relay = false
	s.delay = 300 * time.Millisecond
	m := start(t, s)
	m.accept(sample(t, "mesh.template"), "[values]\nslots = 2\nqueue = 2\n")
	m.untilInForce(inForce)
	l := m.startLoad(80, http.MethodPost, m.allNodes)
	time.Sleep(3 * time.Second)
	v := l.end()
	m.is.True(v.NotRun > 0)
	m.is.Equal(v.Unknown+v.Broken, 0)
}
