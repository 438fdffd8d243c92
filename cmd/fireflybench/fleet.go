package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/gauger"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/responder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	startTimeout   = 90 * time.Second
	batch          = 20
	requestTimeout = 8 * time.Second
	targetSlots    = 20
	// shortWindow is how long keys are remembered where nothing is sent
	// again. A fleet that has just started asks after lost claims for one
	// window, which would show in what it is measured for.
	shortWindow = 2 * time.Second
)

// fleetOptions are the flags of all commands that start a fleet.
type fleetOptions struct {
	Root   string `default:"." type:"existingdir" help:"Root of the sources, to build the programs from."`
	Keep   bool   `help:"Keep the folder of settings and logs."`
	Output string `type:"path" help:"File for the result as JSON."`
}

// fleet is a started system with stand-in targets, inside this process or
// apart.
type fleet struct {
	*launcher.Cluster

	folder   string
	controls []*launcher.Process
	nodes    []*launcher.Process
	apart    []*launcher.Process
	client   *administrator.Client
	version  uint64
	targets  sync.WaitGroup
	serving  context.Context
	stop     context.CancelFunc
}

// fleetShape says what a fleet is made of.
type fleetShape struct {
	zones    []string
	replicas int
	nodes    int
	services int
	level    string
	relay    func(listen, to string) error
	// apart gives each target a process of its own, whose calls take delay.
	apart bool
	delay time.Duration
	// keyWindow is how long idempotency keys are remembered, or 0.
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

// startFleet builds and starts a fleet, and has its configuration in force.
func startFleet(ctx context.Context, options fleetOptions, shape fleetShape) (*fleet, error) {
	folder, err := os.MkdirTemp("", "fireflybench")
	if err != nil {
		return nil, errors.Wrap(err, "bench: make a folder")
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
		f.end(options.Keep)
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
	err := launcher.Until(starting, "the log starts", func() bool {
		return f.client.Bootstrap(starting) == nil
	})
	if err != nil {
		return err
	}
	if err := f.accept(starting, shape.services, 2000); err != nil {
		return err
	}
	for i := range shape.nodes {
		if err := f.addNode(shape, i); err != nil {
			return err
		}
		if err := f.settleBatch(starting, i+1); err != nil {
			return err
		}
	}
	return f.untilInForce(starting)
}

// settleBatch waits after each batch of started nodes until all are ready:
// all processes share this machine's cores, and a fleet that starts at once
// would measure them.
func (f *fleet) settleBatch(ctx context.Context, started int) error {
	if started%batch != 0 {
		return nil
	}
	return launcher.Until(ctx, "a batch of nodes is ready", func() bool {
		for _, n := range f.nodes[started-batch:] {
			if !launcher.Ready(n.IP) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) addNode(shape fleetShape, i int) error {
	node, err := f.StartNode(i%len(shape.zones), i/len(shape.zones)+1)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, node)
	if shape.apart {
		target, err := f.StartTarget(node, serviceName(i%shape.services), targetSlots, shape.delay)
		f.apart = append(f.apart, target)
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
	f.targets.Go(func() { _ = target.Run(f.serving) })
	return nil
}

// inputs returns a template of one section a service, and values that a
// change alters.
func inputs(services int, milliseconds uint64) (template, values string) {
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

// accept has inputs accepted.
func (f *fleet) accept(ctx context.Context, services int, milliseconds uint64) error {
	template, values := inputs(services, milliseconds)
	request := administrator.ChangeRequest{
		Team:     launcher.Team,
		ChangeID: uuid.NewString(),
		Parent:   f.version,
		Template: &template,
		Values:   &values,
	}
	return launcher.Until(ctx, "a change is accepted", func() bool {
		response, err := f.client.Change(ctx, request)
		if err == nil {
			f.version = response.Number
		}
		return err == nil
	})
}

func (f *fleet) untilInForce(ctx context.Context) error {
	return launcher.Until(ctx, fmt.Sprintf("version %d is in force everywhere", f.version), func() bool {
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

// untilKeys waits until every node serves calls with an idempotency key.
func (f *fleet) untilKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return launcher.Until(ctx, "calls with a key are served", func() bool {
		for _, node := range f.nodes {
			name := uuid.NewString()
			path := "/" + serviceName(0) + "/" + name
			a := auditor.Call(node, http.MethodPost, path, name, "", labeler.IdempotencyKey, name)
			if a.Outcome != fireflymoor.Answered.String() {
				return false
			}
		}
		return true
	})
}

// usage reads what each process has used.
func usage(processes []*launcher.Process) ([]gauger.Usage, error) {
	all := make([]gauger.Usage, 0, len(processes))
	for _, p := range processes {
		u, err := gauger.Read(p.PID(), launcher.PlatformAddress(p.IP))
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// end stops everything and leaves nothing behind.
func (f *fleet) end(keep bool) {
	f.stop()
	f.targets.Wait()
	for _, name := range f.Stop() {
		fmt.Fprintln(os.Stderr, "had to kill", name)
	}
	if keep {
		fmt.Fprintln(os.Stderr, "kept", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}
