package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/sampler"
)

// slopesCommand measures the resource usage of control traffic as a function of
// the size of the fleet.
type slopesCommand struct {
	fleetOptions
	Nodes    []int         `default:"12,25,50,100,200" help:"Numbers of nodes to measure."`
	Services int           `default:"3" help:"Number of services in the configuration."`
	Zones    int           `default:"3" help:"Number of availability zones."`
	Idle     time.Duration `default:"15s" help:"Duration of the measurement without changes."`
	Changes  int           `default:"20" help:"Changes to measure, at one per second."`
	Restarts int           `default:"5" help:"Nodes to kill and restart."`
	Plot     string        `type:"path" help:"File for a plot as PNG."`
}

// roleCost is the mean resource usage of a process of one role.
type roleCost struct {
	// IdleCore is the processor usage without changes, in percent of a core.
	IdleCore float64 `json:"idle-core-percent"`
	// IdleIn and IdleOut are the bytes per second without changes.
	IdleIn  float64 `json:"idle-in-bytes-per-second"`
	IdleOut float64 `json:"idle-out-bytes-per-second"`
	// Resident is the resident memory, in MiB.
	Resident float64 `json:"resident-mib"`
	// ChangeMilliseconds is the processor time per change beyond idle usage.
	ChangeMilliseconds float64 `json:"change-processor-ms"`
	// ChangeIn and ChangeOut are the bytes per change beyond idle traffic.
	ChangeIn  float64 `json:"change-in-bytes"`
	ChangeOut float64 `json:"change-out-bytes"`
	// RestartIn and RestartOut are the bytes per restart of a node beyond idle
	// traffic.
	RestartIn  float64 `json:"restart-in-bytes"`
	RestartOut float64 `json:"restart-out-bytes"`
	// Kinds are the bytes per second sent without changes, by message kind.
	Kinds map[string]float64 `json:"idle-sent-by-kind"`
}

// sizeResult is the result of measuring a fleet of one size.
type sizeResult struct {
	Nodes    int      `json:"nodes"`
	Services int      `json:"services"`
	Node     roleCost `json:"node"`
	Control  roleCost `json:"control"`
	// Rendered is the size of the rendered form, in bytes.
	Rendered int `json:"rendered-bytes"`
	// Convergence is the time from sending a change until it was in force on
	// all nodes, in milliseconds: median, 99th percentile and maximum.
	Convergence [3]int64 `json:"convergence-ms"`
}

const (
	// settleTime is the wait for the traffic of starts and restarts to end.
	settleTime = 4 * time.Second
	mebibyte   = 1 << 20
	percent    = 100
	replicas   = 3
)

// Run runs the command.
func (c *slopesCommand) Run(ctx context.Context) error {
	var results []sizeResult
	for _, nodes := range c.Nodes {
		result, err := c.measure(ctx, nodes)
		if err != nil {
			return err
		}
		results = append(results, result)
		printSizes(results)
	}
	printFits(results)
	if err := writeJSON(c.Output, results); err != nil {
		return err
	}
	if c.Plot == "" {
		return nil
	}
	return plotSizes(c.Plot, results)
}

func (c *slopesCommand) measure(ctx context.Context, nodes int) (sizeResult, error) {
	fmt.Fprintf(os.Stderr, "%s: starting %d nodes on %d cores\n", time.Now().Format(time.TimeOnly), nodes, runtime.NumCPU())
	result := sizeResult{
		Nodes:    nodes,
		Services: c.Services,
	}
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:    zoneNames(c.Zones),
		replicas: replicas,
		nodes:    nodes,
		services: c.Services,
		level:    "info",

		keyWindow: shortKeyWindow,
	})
	if err != nil {
		return result, err
	}
	defer f.shutdown(c.Keep)
	time.Sleep(settleTime)
	m := &measurement{
		fleet:  f,
		result: &result,
	}
	for _, step := range []func(context.Context, *slopesCommand) error{m.measureIdle, m.measureChanges, m.measureRestarts} {
		if err := step(ctx, c); err != nil {
			return result, err
		}
	}
	team, err := f.client.Team(ctx, launcher.Team)
	result.Rendered = len(team.Rendered)
	return result, err
}

// measurement collects the result of measuring one fleet.
type measurement struct {
	*fleet
	result *sizeResult
}

// measureDuring runs work and returns the mean usage of a node process and of a
// control process during it.
func (m *measurement) measureDuring(work func() error) (node, control sampler.Usage, err error) {
	nodesBefore, err := usageOf(m.nodes)
	if err != nil {
		return node, control, err
	}
	controlsBefore, err := usageOf(m.controls)
	if err != nil {
		return node, control, err
	}
	if err := work(); err != nil {
		return node, control, err
	}
	controlsAfter, err := usageOf(m.controls)
	if err != nil {
		return node, control, err
	}
	nodesAfter, err := usageOf(m.nodes)
	return mean(nodesBefore, nodesAfter), mean(controlsBefore, controlsAfter), err
}

// mean returns the mean difference between two readings of each process. It
// leaves out a process that has received fewer bytes at the second reading: it
// was restarted in between, and its counters began again at zero.
func mean(before, after []sampler.Usage) sampler.Usage {
	sum := sampler.Usage{
		Sent: map[string]float64{},
	}
	n := 0
	for i := range after {
		if after[i].In < before[i].In {
			continue
		}
		d := after[i].Since(before[i])
		sum.Processor += d.Processor
		sum.Resident += d.Resident
		sum.In += d.In
		sum.Out += d.Out
		for kind, bytes := range d.Sent {
			sum.Sent[kind] += bytes
		}
		n++
	}
	sum.Processor /= time.Duration(n)
	sum.Resident /= int64(n)
	sum.In /= float64(n)
	sum.Out /= float64(n)
	for kind := range sum.Sent {
		sum.Sent[kind] /= float64(n)
	}
	return sum
}

// measureIdle measures the usage without changes.
func (m *measurement) measureIdle(_ context.Context, c *slopesCommand) error {
	node, control, err := m.measureDuring(func() error {
		time.Sleep(c.Idle)
		return nil
	})
	fill := func(cost *roleCost, u sampler.Usage) {
		seconds := c.Idle.Seconds()
		cost.IdleCore = u.Processor.Seconds() / seconds * percent
		cost.IdleIn = u.In / seconds
		cost.IdleOut = u.Out / seconds
		cost.Resident = float64(u.Resident) / mebibyte
		cost.Kinds = map[string]float64{}
		for kind, bytes := range u.Sent {
			cost.Kinds[kind] = bytes / seconds
		}
	}
	fill(&m.result.Node, node)
	fill(&m.result.Control, control)
	return err
}

// measureChanges makes a change each second. It subtracts the idle usage over the
// same time, which measureIdle must have measured before.
func (m *measurement) measureChanges(ctx context.Context, c *slopesCommand) error {
	sent := map[uint64]time.Time{}
	elapsed := time.Duration(0)
	node, control, err := m.measureDuring(func() error {
		began := time.Now()
		for i := range c.Changes {
			time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second)))
			at := time.Now()
			if err := m.submitChange(ctx, c.Services, uint64(2001+i)); err != nil {
				return err
			}
			sent[m.version] = at
		}
		err := m.waitInForce(ctx)
		elapsed = time.Since(began)
		return err
	})
	if err != nil {
		return err
	}
	fill := func(cost *roleCost, u sampler.Usage) {
		changes := float64(c.Changes)
		idle := cost.IdleCore / percent * elapsed.Seconds()
		cost.ChangeMilliseconds = (u.Processor.Seconds() - idle) / changes * 1000
		cost.ChangeIn = (u.In - cost.IdleIn*elapsed.Seconds()) / changes
		cost.ChangeOut = (u.Out - cost.IdleOut*elapsed.Seconds()) / changes
	}
	fill(&m.result.Node, node)
	fill(&m.result.Control, control)
	m.result.Convergence, err = convergence(m.nodes, sent)
	return err
}

// measureRestarts kills and restarts several nodes at once. It subtracts the idle
// traffic over the same time, which measureIdle must have measured before.
func (m *measurement) measureRestarts(ctx context.Context, c *slopesCommand) error {
	began := time.Now()
	node, control, err := m.measureDuring(func() error {
		for i := range min(c.Restarts, len(m.nodes)) {
			m.nodes[i].Kill()
		}
		for i := range min(c.Restarts, len(m.nodes)) {
			if err := m.Restart(m.nodes[i]); err != nil {
				return err
			}
		}
		if err := m.waitInForce(ctx); err != nil {
			return err
		}
		time.Sleep(settleTime)
		return nil
	})
	elapsed := time.Since(began).Seconds()
	fill := func(cost *roleCost, u sampler.Usage) {
		cost.RestartIn = (u.In - cost.IdleIn*elapsed) / float64(c.Restarts)
		cost.RestartOut = (u.Out - cost.IdleOut*elapsed) / float64(c.Restarts)
	}
	fill(&m.result.Node, node)
	fill(&m.result.Control, control)
	return errors.Wrap(err, "slopes: restarts")
}

func printSizes(results []sizeResult) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tSERVICES\tROLE\tIDLE CORE %\tIDLE IN B/s\tIDLE OUT B/s\tMiB\tCHANGE ms\tCHANGE IN B\tCHANGE OUT B\tRESTART IN B\tCONVERGED ms (p50 p99 max)")
	for _, r := range results {
		for _, role := range []struct {
			name string
			cost roleCost
		}{{name: "node", cost: r.Node}, {name: "control", cost: r.Control}} {
			fmt.Fprintf(w, "%d\t%d\t%s\t%.2f\t%.0f\t%.0f\t%.1f\t%.2f\t%.0f\t%.0f\t%.0f\t%v\n",
				r.Nodes, r.Services, role.name, role.cost.IdleCore, role.cost.IdleIn, role.cost.IdleOut,
				role.cost.Resident, role.cost.ChangeMilliseconds, role.cost.ChangeIn, role.cost.ChangeOut,
				role.cost.RestartIn, r.Convergence)
		}
	}
	_ = w.Flush()
}
