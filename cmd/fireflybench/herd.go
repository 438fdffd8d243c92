package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/gauger"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// herdCommand kills all nodes of a zone, then all nodes, then every process,
// starts them again at once, and measures what that costs and how long it
// takes until all is served again.
type herdCommand struct {
	fleetOptions
	Nodes int `default:"60" help:"Number of nodes."`
	Zones int `default:"3" help:"Number of availability zones."`
}

const (
	sampleInterval = 200 * time.Millisecond
	// herdTimeout bounds the wait for full service.
	herdTimeout = 90 * time.Second
)

// herdResult is what the return of one herd gave.
type herdResult struct {
	Herd string `json:"herd"`
	// Processes is the number that was killed.
	Processes int `json:"processes"`
	// Served is the time until all nodes were ready, all targets known as
	// ready and the version in force everywhere, in milliseconds.
	Served int64 `json:"served-ms"`
	// Peak is the most connections that one control replica accepted in a
	// second.
	Peak float64 `json:"peak-connections-per-second"`
	// ControlOut and ControlProcessor are what one control replica used on
	// average, in bytes and in milliseconds.
	ControlOut       float64 `json:"control-out-bytes"`
	ControlProcessor float64 `json:"control-processor-ms"`
	// NodeIn is the bytes in at a node that was not killed, or at each if
	// all were, on average.
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

		keyWindow: shortWindow,
	})
	if err != nil {
		return err
	}
	defer f.end(c.Keep)
	time.Sleep(settle)
	var zone []*launcher.Process
	for _, n := range f.nodes {
		if launcher.ZoneOf(n.IP) == 0 {
			zone = append(zone, n)
		}
	}
	everything := append(append([]*launcher.Process{}, f.controls...), f.nodes...)
	var results []herdResult
	for _, herd := range []struct {
		name      string
		processes []*launcher.Process
	}{
		{name: "all nodes of a zone", processes: zone},
		{name: "all nodes", processes: f.nodes},
		{name: "every process", processes: everything},
	} {
		result, err := f.herd(ctx, herd.name, herd.processes)
		if err != nil {
			return err
		}
		results = append(results, result)
		time.Sleep(settle)
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

// herd kills processes, starts them again, and waits for full service.
func (f *fleet) herd(ctx context.Context, name string, processes []*launcher.Process) (herdResult, error) {
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
	before := f.readAll(func(p *launcher.Process) bool { return !killed[p] })
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
	group.Go(func() { result.Peak = f.peak(sampling) })
	err := launcher.Until(waiting, "all is served again", func() bool {
		return f.served(waiting)
	})
	result.Served = time.Since(began).Milliseconds()
	stop()
	group.Wait()
	if err != nil {
		return result, err
	}
	result.fill(f, before)
	return result, nil
}

// served says whether every node is ready, every target known as ready, and
// the version in force everywhere.
func (f *fleet) served(ctx context.Context) bool {
	status, err := f.client.Status(ctx)
	if err != nil || !status.InForce(f.version) {
		return false
	}
	return f.allReady(ctx)
}

// readAll reads what the processes that match have used. The others are read
// as having used nothing.
func (f *fleet) readAll(match func(p *launcher.Process) bool) map[*launcher.Process]gauger.Usage {
	all := map[*launcher.Process]gauger.Usage{}
	for _, p := range append(append([]*launcher.Process{}, f.controls...), f.nodes...) {
		if !match(p) {
			continue
		}
		if u, err := gauger.Read(p.PID(), launcher.PlatformAddress(p.IP)); err == nil {
			all[p] = u
		}
	}
	return all
}

func (r *herdResult) fill(f *fleet, before map[*launcher.Process]gauger.Usage) {
	after := f.readAll(func(*launcher.Process) bool { return true })
	for _, p := range f.controls {
		used := after[p].Since(before[p])
		r.ControlOut += used.Out / float64(len(f.controls))
		r.ControlProcessor += float64(used.Processor.Milliseconds()) / float64(len(f.controls))
	}
	counted := 0
	for _, p := range f.nodes {
		if _, lived := before[p]; lived || r.Processes >= len(f.nodes) {
			r.NodeIn += after[p].Since(before[p]).In
			counted++
		}
	}
	r.NodeIn /= float64(max(counted, 1))
}

// peak returns the most connections that one control replica accepted in a
// second, until ctx ends.
func (f *fleet) peak(ctx context.Context) float64 {
	const perSecond = int(time.Second / sampleInterval)
	samples := make([][]float64, len(f.controls))
	most := 0.0
	for ctx.Err() == nil {
		for i, p := range f.controls {
			u, err := gauger.Read(p.PID(), launcher.PlatformAddress(p.IP))
			if err != nil {
				continue
			}
			samples[i] = append(samples[i], u.Connections)
			first := max(len(samples[i])-1-perSecond, 0)
			most = max(most, u.Connections-samples[i][first])
		}
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
	return most
}
