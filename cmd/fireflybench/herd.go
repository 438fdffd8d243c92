package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/sampler"
)

// herdCommand measures reconnect surges. It kills all nodes of a zone, then all
// nodes, then every process. Each time it restarts all of them at once, and
// measures the resources used and the time until full service.
type herdCommand struct {
	fleetOptions
	Nodes int `default:"60" help:"Number of nodes."`
	Zones int `default:"3" help:"Number of availability zones."`
}

const (
	sampleInterval = 200 * time.Millisecond
	// herdTimeout is the time limit for the return to full service.
	herdTimeout = 90 * time.Second
)

// herdResult is the result of one reconnect surge.
type herdResult struct {
	// Herd is the name of the set of processes that were restarted.
	Herd string `json:"herd"`
	// Processes is the number of processes that were killed.
	Processes int `json:"processes"`
	// Served is the time until all nodes and targets were ready and the
	// version was in force on all nodes, in milliseconds.
	Served int64 `json:"served-ms"`
	// Peak is the maximum number of connections that one control replica
	// accepted in a second.
	Peak float64 `json:"peak-connections-per-second"`
	// ControlOut is the mean number of bytes that a control replica sent.
	// ControlProcessor is its mean processor time, in milliseconds.
	ControlOut       float64 `json:"control-out-bytes"`
	ControlProcessor float64 `json:"control-processor-ms"`
	// NodeIn is the mean number of bytes received by a node that was not
	// killed, or by each node if all were killed.
	NodeIn float64 `json:"node-in-bytes"`
}

// Run runs the command.
func (c *herdCommand) Run(ctx context.Context) error {
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:    zoneNames(c.Zones),
		replicas: replicas,
		nodes:    c.Nodes,
		services: 1,
		level:    "info",

		keyWindow: shortKeyWindow,
	})
	if err != nil {
		return err
	}
	defer f.shutdown(c.Keep)
	time.Sleep(settleTime)
	var zone []*launcher.Process
	for _, n := range f.nodes {
		if launcher.ZoneOf(n.IP) == 0 {
			zone = append(zone, n)
		}
	}
	all := append(append([]*launcher.Process{}, f.controls...), f.nodes...)
	var results []herdResult
	for _, surge := range []struct {
		name      string
		processes []*launcher.Process
	}{
		{name: "all nodes of a zone", processes: zone},
		{name: "all nodes", processes: f.nodes},
		{name: "every process", processes: all},
	} {
		result, err := f.restartAll(ctx, surge.name, surge.processes)
		if err != nil {
			return err
		}
		results = append(results, result)
		time.Sleep(settleTime)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HERD\tPROCESSES\tSERVED ms\tPEAK CONNECTIONS/s A REPLICA\tOUT B A REPLICA\tPROCESSOR ms A REPLICA\tIN B A NODE")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\n", r.Herd, r.Processes, r.Served, r.Peak, r.ControlOut, r.ControlProcessor, r.NodeIn)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "herd: print")
	}
	return writeJSON(c.Output, results)
}

// restartAll kills processes at once, restarts them, and waits for full service.
func (f *fleet) restartAll(ctx context.Context, name string, processes []*launcher.Process) (herdResult, error) {
	result := herdResult{
		Herd:      name,
		Processes: len(processes),
	}
	killed := map[*launcher.Process]bool{}
	var group sync.WaitGroup
	for _, p := range processes {
		killed[p] = true
		group.Go(p.Kill)
	}
	before := f.usageWhere(func(p *launcher.Process) bool { return !killed[p] })
	group.Wait()
	began := time.Now()
	for _, p := range processes {
		if err := f.Restart(p); err != nil {
			return result, err
		}
	}
	waiting, cancel := context.WithTimeout(ctx, herdTimeout)
	defer cancel()
	sampling, stop := context.WithCancel(ctx)
	group.Go(func() { result.Peak = f.peakConnections(sampling) })
	err := launcher.WaitUntil(waiting, "full service is restored", func() bool {
		return f.fullyServed(waiting)
	})
	result.Served = time.Since(began).Milliseconds()
	stop()
	group.Wait()
	if err != nil {
		return result, err
	}
	result.addUsage(f, before)
	return result, nil
}

// fullyServed reports whether all nodes and targets are ready and the version is
// in force on all nodes.
func (f *fleet) fullyServed(ctx context.Context) bool {
	status, err := f.client.Status(ctx)
	if err != nil || !status.InForce(f.version) {
		return false
	}
	return f.allReady(ctx)
}

// usageWhere reads the resource usage of the processes for which match returns
// true. It leaves out the others and those that can't be read, so that their
// usage counts as zero.
func (f *fleet) usageWhere(match func(p *launcher.Process) bool) map[*launcher.Process]sampler.Usage {
	all := map[*launcher.Process]sampler.Usage{}
	for _, p := range append(append([]*launcher.Process{}, f.controls...), f.nodes...) {
		if !match(p) {
			continue
		}
		if u, err := sampler.Read(p.PID(), launcher.PlatformAddress(p.IP)); err == nil {
			all[p] = u
		}
	}
	return all
}

// addUsage sets the usage per replica and per node since before was read. A
// process that is missing in before was restarted, so its usage counts from
// zero.
func (r *herdResult) addUsage(f *fleet, before map[*launcher.Process]sampler.Usage) {
	after := f.usageWhere(func(*launcher.Process) bool { return true })
	for _, p := range f.controls {
		used := after[p].Since(before[p])
		r.ControlOut += used.Out / float64(len(f.controls))
		r.ControlProcessor += float64(used.Processor.Milliseconds()) / float64(len(f.controls))
	}
	counted := 0
	for _, p := range f.nodes {
		if _, survived := before[p]; survived || r.Processes >= len(f.nodes) {
			r.NodeIn += after[p].Since(before[p]).In
			counted++
		}
	}
	r.NodeIn /= float64(max(counted, 1))
}

// peakConnections samples the control replicas until ctx ends, and returns the
// maximum number of connections that one of them accepted in a second.
func (f *fleet) peakConnections(ctx context.Context) float64 {
	const perSecond = int(time.Second / sampleInterval)
	samples := make([][]float64, len(f.controls))
	maxRate := 0.0
	for ctx.Err() == nil {
		for i, p := range f.controls {
			u, err := sampler.Read(p.PID(), launcher.PlatformAddress(p.IP))
			if err != nil {
				continue
			}
			samples[i] = append(samples[i], u.Connections)
			oldest := max(len(samples[i])-1-perSecond, 0)
			maxRate = max(maxRate, u.Connections-samples[i][oldest])
		}
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
	return maxRate
}
