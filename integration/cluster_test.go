package integration

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"

	// The programs that the tests start are built from it, so a result that
	// go test has cached must not outlive a change of it.
	_ "github.com/fireflymoor/fireflymoor/internal/runner"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	startTime = 20 * time.Second
	// inForce is the letter's bound on a change.
	inForce = 4 * time.Second
)

var (
	program string
	bench   string
)

func TestMain(m *testing.M) {
	os.Exit(build(m))
}

func build(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fireflymoor")
	if err != nil {
		panic(err)
	}
	defer func() {
		_ = os.RemoveAll(folder)
	}()
	program, bench, err = launcher.Build(context.Background(), "..", folder, os.Getenv("FIREFLYMOOR_RACE") != "")
	if err != nil {
		panic(err)
	}
	return m.Run()
}

// mesh is a started cluster with the sample accepted.
type mesh struct {
	*launcher.Cluster

	t        *testing.T
	is       *is.I
	zones    []string
	controls []*launcher.Process
	nodes    []*launcher.Process
	targets  []*launcher.Process
	client   *administrator.Client
	relayer  *relayer.Relayer
	version  uint64
}

type shape struct {
	zones    []string
	replicas int
	// services has for each node of a zone the service beside it.
	services []string
	delay    time.Duration
	relay    bool
	// window is how long idempotency keys are remembered, or 0.
	window time.Duration
}

var lima = shape{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"catalogo", "reservas", "cobros"},
}

func start(t *testing.T, s shape) *mesh {
	t.Helper()
	folder := t.TempDir()
	relayer := relayer.New()
	var relay func(listen, to string) error
	if s.relay {
		relay = func(listen, to string) error { return relayer.Relay(t.Context(), listen, to) }
	}
	cluster, err := launcher.New(launcher.Spec{
		Program:  program,
		Bench:    bench,
		Folder:   folder,
		Zones:    s.zones,
		Replicas: s.replicas,
		Relay:    relay,

		KeyWindow: s.window,
	})
	m := &mesh{
		Cluster: cluster,
		t:       t,
		is:      is.New(t),
		zones:   s.zones,
		relayer: relayer,
	}
	m.is.NoErr(err)
	t.Cleanup(func() { m.end() })
	m.client = cluster.Client(6 * time.Second)
	for i := range s.replicas {
		p, err := cluster.StartReplica(i)
		m.is.NoErr(err)
		m.controls = append(m.controls, p)
	}
	for zone := range s.zones {
		for host, service := range s.services {
			node, err := cluster.StartNode(zone, host+1)
			m.is.NoErr(err)
			target, err := cluster.StartTarget(node, service, 20, s.delay)
			m.is.NoErr(err)
			m.nodes = append(m.nodes, node)
			m.targets = append(m.targets, target)
		}
	}
	m.until("the log starts", startTime, func() bool {
		return m.client.Bootstrap(context.Background()) == nil
	})
	m.accept(sample(t, "mesh.template"), sample(t, "mesh.values"))
	m.untilInForce(startTime)
	m.until("all targets are known", startTime, func() bool {
		targets, err := m.client.Targets(context.Background())
		return err == nil && len(targets) == len(m.targets)
	})
	m.until("all nodes are ready", startTime, func() bool {
		for _, n := range m.nodes {
			if !launcher.Ready(n.IP) {
				return false
			}
		}
		return true
	})
	return m
}

// end stops everything and fails the test if a process violated an invariant.
func (m *mesh) end() {
	killed := m.Stop()
	for _, name := range killed {
		m.t.Errorf("%s did not stop", name)
	}
	for _, p := range append(append([]*launcher.Process{}, m.controls...), m.nodes...) {
		for _, violation := range auditor.CheckLog(p) {
			m.t.Error(violation)
		}
	}
	if m.t.Failed() {
		m.keepLogs()
	}
}

// keepLogs prints the ends of all logs of a failed test.
func (m *mesh) keepLogs() {
	for _, p := range append(append([]*launcher.Process{}, m.controls...), m.nodes...) {
		log := p.Log()
		m.t.Logf("--- %s\n%s", p.Name, log[max(0, len(log)-4000):])
	}
}

func sample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../examples/lima/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func (m *mesh) until(what string, within time.Duration, ask func() bool) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := launcher.Until(ctx, what, ask); err != nil {
		m.t.Fatal(err)
	}
}

// accept has new inputs accepted on top of the team's version.
func (m *mesh) accept(template, values string) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	request := administrator.ChangeRequest{
		Team:     launcher.Team,
		ChangeID: uuid.NewString(),
		Parent:   m.version,
		Template: &template,
		Values:   &values,
	}
	m.until("a change is accepted", startTime, func() bool {
		response, err := m.client.Change(ctx, request)
		if err == nil {
			m.version = response.Number
		}
		return err == nil
	})
}

// change makes a small change of the values.
func (m *mesh) change() {
	m.t.Helper()
	m.accept(sample(m.t, "mesh.template"), fmt.Sprintf("%stimeout = %dms\n",
		strings.ReplaceAll(sample(m.t, "mesh.values"), "timeout = 2s\n", ""), 2000+m.version))
}

func (m *mesh) untilInForce(within time.Duration) {
	m.t.Helper()
	m.until(fmt.Sprintf("version %d is in force", m.version), within, func() bool {
		status, err := m.client.Status(context.Background())
		if err != nil || !status.InForce(m.version) {
			return false
		}
		nodes := 0
		for _, z := range status.Zones {
			nodes += z.Nodes
		}
		return nodes == len(m.nodes)
	})
}
