package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/responder"
	"github.com/fireflymoor/fireflymoor/internal/sampler"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	startTimeout = 90 * time.Second
	// batchSize is the number of nodes that are started before waiting for
	// them to become ready.
	batchSize      = 20
	requestTimeout = 8 * time.Second
	targetSlots    = 20
	// shortKeyWindow is how long idempotency keys are stored in measurements
	// that resend no call. A newly started fleet queries for lost claims
	// during one window, and that traffic would distort the measurement.
	shortKeyWindow = 2 * time.Second
)

// fleetOptions are the flags of all commands that start a fleet.
type fleetOptions struct {
	Root   string `default:"." type:"existingdir" help:"Root of the source tree to build the programs from."`
	Keep   bool   `help:"Keep the folder with the settings and logs."`
	Output string `type:"path" help:"File for the result as JSON."`
}

// fleet is a started system with stand-in targets, which run inside this process
// or as separate processes.
type fleet struct {
	*launcher.Cluster

	folder          string
	controls        []*launcher.Process
	nodes           []*launcher.Process
	targetProcesses []*launcher.Process
	client          *administrator.Client
	version         uint64
	localTargets    sync.WaitGroup
	// serving ends when the targets inside this process are to stop.
	serving context.Context
	stop    context.CancelFunc
}

// fleetShape is the composition of a fleet.
type fleetShape struct {
	zones    []string
	replicas int
	nodes    int
	services int
	level    string
	relay    func(listen, to string) error
	// targetsAsProcesses runs each target as a separate process, where each
	// call takes targetDelay.
	targetsAsProcesses bool
	targetDelay        time.Duration
	// limits has the calls per second that the first targets state to accept.
	limits []float64
	// deadly lets targets end at calls with deadly paths.
	deadly bool
	// keyWindow is how long idempotency keys are stored, or 0 for the default.
	keyWindow time.Duration
}

func zoneNames(n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, fmt.Sprintf("zone-%c", 'a'+i))
	}
	return names
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%d", i+1)
}

// startFleet builds the programs, starts a fleet, and returns once its
// configuration is in force on every node.
func startFleet(ctx context.Context, options fleetOptions, shape fleetShape) (*fleet, error) {
	folder, err := os.MkdirTemp("", "fireflybench")
	if err != nil {
		return nil, errors.Wrap(err, "bench: create a folder")
	}
	program, bench, err := launcher.Build(ctx, options.Root, folder, false)
	if err != nil {
		return nil, err
	}
	cluster, err := launcher.New(launcher.Spec{
		Program:  program,
		Bench:    bench,
		Folder:   filepath.Join(folder, "run"),
		Zones:    shape.zones,
		Replicas: shape.replicas,
		Level:    shape.level,
		Relay:    shape.relay,

		KeyWindow: shape.keyWindow,
	})
	if err != nil {
		return nil, err
	}
	serving, stop := context.WithCancel(ctx)
	f := &fleet{
		Cluster: cluster,
		folder:  folder,
		client:  cluster.Client(requestTimeout),
		serving: serving,
		stop:    stop,
	}
	if err := f.start(ctx, shape); err != nil {
		f.shutdown(options.Keep)
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, shape fleetShape) error {
	for i := range shape.replicas {
		p, err := f.StartReplica(i)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, p)
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := launcher.WaitUntil(starting, "the replicated log is bootstrapped", func() bool {
		return f.client.Bootstrap(starting) == nil
	})
	if err != nil {
		return err
	}
	if err := f.submitChange(starting, shape.services, 2000); err != nil {
		return err
	}
	for i := range shape.nodes {
		if err := f.addNode(shape, i); err != nil {
			return err
		}
		if err := f.waitBatchReady(starting, i+1); err != nil {
			return err
		}
	}
	return f.waitInForce(starting)
}

// waitBatchReady waits after each batch of started nodes until all of the batch
// are ready. All processes share the cores of this machine. If the whole fleet
// started at once, the cores would be the bottleneck and distort the measurement.
func (f *fleet) waitBatchReady(ctx context.Context, started int) error {
	if started%batchSize != 0 {
		return nil
	}
	return launcher.WaitUntil(ctx, "a batch of nodes is ready", func() bool {
		for _, n := range f.nodes[started-batchSize:] {
			if !launcher.Ready(n.IP) {
				return false
			}
		}
		return true
	})
}

// addNode starts node i and its target. Consecutive nodes are assigned to the
// zones in rotation.
func (f *fleet) addNode(shape fleetShape, i int) error {
	node, err := f.StartNode(i%len(shape.zones), i/len(shape.zones)+1)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, node)
	if shape.targetsAsProcesses {
		var options []string
		if i < len(shape.limits) {
			options = []string{"--limit", strconv.FormatFloat(shape.limits[i], 'f', -1, 64)}
		}
		if shape.deadly {
			options = append(options, "--deadly")
		}
		target, err := f.StartTarget(node, serviceName(i%shape.services), targetSlots, shape.targetDelay, options...)
		f.targetProcesses = append(f.targetProcesses, target)
		return err
	}
	return f.addTarget(node, serviceName(i%shape.services), node.IP+":0")
}

// addTarget starts a stand-in target inside this process.
func (f *fleet) addTarget(node *launcher.Process, service, address string) error {
	target, err := responder.New(responder.Options{
		ID:      service,
		Service: service,
		Address: address,
		Node:    launcher.PlatformAddress(node.IP),
		Slots:   targetSlots,
	})
	if err != nil {
		return err
	}
	f.localTargets.Go(func() { _ = target.Run(f.serving) })
	return nil
}

// configurationInputs returns a template with a service and a route section for
// each service, and the values, which set the timeout of all routes.
func configurationInputs(services int, milliseconds uint64) (template, values string) {
	template = `parameter timeout duration default=2s
---
`
	for i := range services {
		name := serviceName(i)
		template += fmt.Sprintf("[service %s]\nslots = 20\nqueue = 40\n\n[route %s]\npath-prefix = /%s\nservice = %s\ntimeout = {{ value \"timeout\" }}\nretries = 2\nidempotent = GET HEAD OPTIONS\n\n",
			name, name, name, name)
	}
	return template, fmt.Sprintf("[values]\ntimeout = %dms\n", milliseconds)
}

// submitChange sends a change of the configuration repeatedly until it is
// accepted, and records its version.
func (f *fleet) submitChange(ctx context.Context, services int, milliseconds uint64) error {
	template, values := configurationInputs(services, milliseconds)
	request := administrator.ChangeRequest{
		Team:     launcher.Team,
		ChangeID: uuid.NewString(),
		Parent:   f.version,
		Template: &template,
		Values:   &values,
	}
	return launcher.WaitUntil(ctx, "a change is accepted", func() bool {
		response, err := f.client.Change(ctx, request)
		if err == nil {
			f.version = response.Number
		}
		return err == nil
	})
}

// waitInForce waits until the last accepted version is in force on all nodes.
func (f *fleet) waitInForce(ctx context.Context) error {
	return launcher.WaitUntil(ctx, fmt.Sprintf("version %d is in force on all nodes", f.version), func() bool {
		status, err := f.client.Status(ctx)
		if err != nil || !status.InForce(f.version) {
			return false
		}
		nodes := 0
		for _, z := range status.Zones {
			nodes += z.Nodes
		}
		return nodes == len(f.nodes)
	})
}

// waitKeysServed waits until every node serves calls with an idempotency key.
func (f *fleet) waitKeysServed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return launcher.WaitUntil(ctx, "calls with an idempotency key are served", func() bool {
		for _, node := range f.nodes {
			name := uuid.NewString()
			path := "/" + serviceName(0) + "/" + name
			response := auditor.Call(node, http.MethodPost, path, name, "", annotator.IdempotencyKey, name)
			if response.Outcome != fireflymoor.Answered.String() {
				return false
			}
		}
		return true
	})
}

// usageOf reads the resource usage of each process.
func usageOf(processes []*launcher.Process) ([]sampler.Usage, error) {
	all := make([]sampler.Usage, 0, len(processes))
	for _, p := range processes {
		u, err := sampler.Read(p.PID(), launcher.PlatformAddress(p.IP))
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// shutdown stops all processes and targets, and removes the folder unless keep is
// set.
func (f *fleet) shutdown(keep bool) {
	f.stop()
	f.localTargets.Wait()
	for _, name := range f.Stop() {
		fmt.Fprintln(os.Stderr, "killed after the stop timeout:", name)
	}
	if keep {
		fmt.Fprintln(os.Stderr, "kept", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}
