package integration

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// load is a set of callers that send calls until it is finished.
type load struct {
	*auditor.Auditor

	m *mesh
}

// startLoad starts callers that send each call through a random one of nodes.
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

// waitForAnswers waits until n more calls have been answered.
func (l *load) waitForAnswers(n int) {
	l.m.t.Helper()
	before := l.Answered()
	l.m.waitUntil(fmt.Sprintf("%d more calls are answered", n), startTimeout, func() bool {
		return l.Answered() >= before+n
	})
}

// finish stops the callers and fails the test on each violated invariant.
func (l *load) finish() auditor.Report {
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

// relayed has two nodes of one service in each zone, with all connections
// between processes passing through the relayer.
var relayed = topology{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"reservas", "reservas"},
	delay:    10 * time.Millisecond,
	relay:    true,
}

func (m *mesh) allNodes() []*launcher.Process {
	return m.nodes
}

// TestUnresponsiveConnections repeatedly makes all open connections between
// nodes drop every byte from then on, while callers send non-idempotent calls.
// Each call must be answered or provably not run. Two seconds after the last
// fault, later calls must no longer be delayed by the dead connections.
func TestUnresponsiveConnections(t *testing.T) {
	m := start(t, relayed)
	l := m.startLoad(12, http.MethodPost, m.allNodes)
	blackholed := 0
	for range 5 {
		time.Sleep(700 * time.Millisecond)
		blackholed += m.relayer.Blackhole(func(string, string) bool { return true })
	}
	time.Sleep(2 * time.Second)
	slowestBefore := l.TakeSlowest()
	time.Sleep(time.Second)
	slowestAfter := l.TakeSlowest()
	report := l.finish()
	t.Logf("%d connections blackholed, slowest call %s during the faults and %s afterwards", blackholed, slowestBefore, slowestAfter)
	m.is.Equal(report.Unknown, 0) // revoked over a new connection
	m.is.Equal(report.Broken, 0)
	m.is.True(slowestBefore < 4*time.Second)
	m.is.True(slowestAfter < 500*time.Millisecond) // later calls are not delayed
}

// TestConnectionResets closes the connections between nodes while callers send
// non-idempotent calls. No outcome may be unknown.
func TestConnectionResets(t *testing.T) {
	m := start(t, relayed)
	l := m.startLoad(12, http.MethodPost, m.allNodes)
	for range 20 {
		time.Sleep(150 * time.Millisecond)
		m.relayer.Reset(func(string, string) bool { return true })
	}
	report := l.finish()
	m.is.Equal(report.Unknown, 0) // the target's node is up and reports the outcome
}

// TestKilledNodesAndTargets kills nodes and targets under load. Non-idempotent
// calls must run at most once, and idempotent calls must all succeed.
func TestKilledNodesAndTargets(t *testing.T) {
	m := start(t, relayed)
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
	postReport := posts.finish()
	getReport := gets.finish()
	m.is.True(postReport.Answered > 100)
	m.is.Equal(getReport.Unknown+getReport.NotRun+getReport.Broken, 0) // idempotent calls are retried
}

// TestRollingRestart restarts every node gracefully under load, while callers
// enter through the other nodes. No call may be interrupted or fail.
func TestRollingRestart(t *testing.T) {
	m := start(t, relayed)
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
		m.waitUntil("the node is ready again", startTimeout, func() bool { return launcher.Ready(n.IP) })
	}
	report := l.finish()
	m.is.Equal(report.Unknown, 0)
	m.is.Equal(report.Broken, 0)
	m.is.Equal(report.NotRun, 0)
}

// TestDrainingTarget drains a node through the administration API. Within
// three seconds its target must be reported as draining, so that it gets no more
// calls, and no call may fail.
func TestDrainingTarget(t *testing.T) {
	m := start(t, relayed)
	l := m.startLoad(6, http.MethodPost, m.allNodes)
	time.Sleep(300 * time.Millisecond)
	m.is.NoErr(m.client.Drain(t.Context(), m.nodes[0].Name))
	m.waitUntil("the target is reported as draining", 3*time.Second, func() bool {
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
	report := l.finish()
	m.is.Equal(report.NotRun+report.Unknown+report.Broken, 0)
}

// TestOverload offers more calls than all slots and queues hold. Refused calls
// must not have run.
func TestOverload(t *testing.T) {
	s := relayed
	s.relay = false
	s.delay = 300 * time.Millisecond
	m := start(t, s)
	m.accept(readSample(t, "mesh.template"), "[values]\nslots = 2\nqueue = 2\n")
	m.waitInForce(inForceTimeout)
	l := m.startLoad(80, http.MethodPost, m.allNodes)
	time.Sleep(3 * time.Second)
	report := l.finish()
	m.is.True(report.NotRun > 0)
	m.is.Equal(report.Unknown+report.Broken, 0)
}
