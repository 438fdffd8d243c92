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

	// The tests start programs that are built from this package. The import
	// makes go test discard cached results when the package changes.
	_ "github.com/fireflymoor/fireflymoor/internal/runner"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	startTimeout = 20 * time.Second
	// inForceTimeout is the required upper bound from a change being accepted
	// to its being in force on every node.
	inForceTimeout = 4 * time.Second
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

// mesh is a running cluster in which the sample configuration was accepted.
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

// topology describes the processes of a mesh.
type topology struct {
	zones    []string
	replicas int
	// services holds the service of the target beside each node of a zone.
	services []string
	delay    time.Duration
	relay    bool
	// targetOptions are further arguments of the targets.
	targetOptions []string
	// window is the retention time of idempotency keys, or 0 for the default.
	window time.Duration
	// environment holds additional environment variables of the replicas and
	// nodes, as NAME=VALUE.
	environment []string
	// maxDescriptors is the maximum number of open file descriptors of each
	// replica and node, or 0 for the limit of this process.
	maxDescriptors int
}

// allServices has one node of each service in each zone.
var allServices = topology{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"catalogo", "reservas", "cobros"},
}

func start(t *testing.T, s topology) *mesh {
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

		KeyWindow:      s.window,
		Environment:    s.environment,
		MaxDescriptors: s.maxDescriptors,
	})
	m := &mesh{
		Cluster: cluster,
		t:       t,
		is:      is.New(t),
		zones:   s.zones,
		relayer: relayer,
	}
	m.is.NoErr(err)
	t.Cleanup(func() { m.tearDown() })
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
			target, err := cluster.StartTarget(node, service, 20, s.delay, s.targetOptions...)
			m.is.NoErr(err)
			m.nodes = append(m.nodes, node)
			m.targets = append(m.targets, target)
		}
	}
	m.waitUntil("the replicated log is bootstrapped", startTimeout, func() bool {
		return m.client.Bootstrap(context.Background()) == nil
	})
	m.accept(readSample(t, "mesh.template"), readSample(t, "mesh.values"))
	m.waitInForce(startTimeout)
	m.waitUntil("all targets are known", startTimeout, func() bool {
		targets, err := m.client.Targets(context.Background())
		return err == nil && len(targets) == len(m.targets)
	})
	m.waitUntil("all nodes are ready", startTimeout, func() bool {
		for _, n := range m.nodes {
			if !launcher.Ready(n.IP) {
				return false
			}
		}
		return true
	})
	return m
}

// tearDown stops all processes and fails the test if one violated an invariant.
// After a failed test it prints the logs.
func (m *mesh) tearDown() {
	killed := m.Stop()
	for _, name := range killed {
		m.t.Errorf("%s did not exit after SIGTERM and was killed", name)
	}
	for _, p := range append(append([]*launcher.Process{}, m.controls...), m.nodes...) {
		for _, violation := range auditor.CheckLog(p) {
			m.t.Error(violation)
		}
	}
	if m.t.Failed() {
		m.printLogs()
	}
}

// printLogs prints the last 4000 bytes of each process's log.
func (m *mesh) printLogs() {
	for _, p := range append(append([]*launcher.Process{}, m.controls...), m.nodes...) {
		log := p.Log()
		m.t.Logf("--- %s\n%s", p.Name, log[max(0, len(log)-4000):])
	}
}

func readSample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../examples/lima/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func (m *mesh) waitUntil(description string, timeout time.Duration, condition func() bool) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := launcher.WaitUntil(ctx, description, condition); err != nil {
		m.t.Fatal(err)
	}
}

// accept submits new inputs with the current version as parent, until they are
// accepted.
func (m *mesh) accept(template, values string) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	request := administrator.ChangeRequest{
		Team:     launcher.Team,
		ChangeID: uuid.NewString(),
		Parent:   m.version,
		Template: &template,
		Values:   &values,
	}
	m.waitUntil("a change is accepted", startTimeout, func() bool {
		response, err := m.client.Change(ctx, request)
		if err == nil {
			m.version = response.Number
		}
		return err == nil
	})
}

// change submits a change of one value.
func (m *mesh) change() {
	m.t.Helper()
	m.accept(readSample(m.t, "mesh.template"), fmt.Sprintf("%stimeout = %dms\n",
		strings.ReplaceAll(readSample(m.t, "mesh.values"), "timeout = 2s\n", ""), 2000+m.version))
}

func (m *mesh) waitInForce(timeout time.Duration) {
	m.t.Helper()
	m.waitUntil(fmt.Sprintf("version %d is in force", m.version), timeout, func() bool {
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
