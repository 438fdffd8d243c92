package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/pacer"
)

// latencyCommand measures the latency that nodes add, compared with a direct
// call.
type latencyCommand struct {
	fleetOptions
	Rate   int           `default:"330" help:"Calls a second on each path."`
	Rounds int           `default:"5" help:"Rounds over all paths."`
	For    time.Duration `default:"3s" help:"Duration of each path in a round."`
}

// callPath is one path on which a call reaches a target.
type callPath struct {
	name    string
	url     string
	options []pacer.Option
}

// callPathResult is the latency on one path, in microseconds, with one value a
// round.
type callPathResult struct {
	Way    string  `json:"way"`
	P50    []int64 `json:"p50"`
	P99    []int64 `json:"p99"`
	Failed int     `json:"failed"`
}

const (
	p50             = 50
	p99             = 99
	warmUp          = 500 * time.Millisecond
	latencyNodes    = 4
	latencyServices = 4
)

// Run runs the command.
func (c *latencyCommand) Run(ctx context.Context) error {
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:    zoneNames(1),
		replicas: 1,
		nodes:    latencyNodes,
		services: latencyServices,
		level:    "info",

		keyWindow: shortKeyWindow,
	})
	if err != nil {
		return err
	}
	defer f.shutdown(c.Keep)
	if err := f.waitKeysServed(ctx); err != nil {
		return err
	}
	paths, err := f.callPaths()
	if err != nil {
		return err
	}
	results := map[string]*callPathResult{}
	for round := range c.Rounds {
		for _, p := range paths {
			c.measure(ctx, p, results)
		}
		fmt.Fprintf(os.Stderr, "round %d of %d\n", round+1, c.Rounds)
	}
	return c.report(paths, results)
}

// callPaths sets up the paths to measure: directly to a target, through the node
// of the target's instance, and through two nodes with and without an
// idempotency key.
func (f *fleet) callPaths() ([]callPath, error) {
	direct := f.nodes[1].IP + ":9001"
	if err := f.addTarget(f.nodes[1], "direct", direct); err != nil {
		return nil, err
	}
	nodeURL := func(node int, service int) string {
		return "http://" + launcher.CallersAddress(f.nodes[node].IP) + "/" + serviceName(service) + "/x"
	}
	return []callPath{
		{
			name: "direct",
			url:  "http://" + direct + "/" + serviceName(0) + "/x",
		},
		{
			name: "one node, own target",
			url:  nodeURL(2, 2),
		},
		{
			name: "two nodes",
			url:  nodeURL(0, 2),
		},
		{
			name:    "two nodes, with a key",
			url:     nodeURL(0, 2),
			options: []pacer.Option{pacer.WithKeys()},
		},
	}, nil
}

// measure adds one round on one path to the results, after an unmeasured warm-up.
func (c *latencyCommand) measure(ctx context.Context, path callPath, results map[string]*callPathResult) {
	p := pacer.New(path.url, c.Rate, path.options...)
	p.Run(ctx, warmUp)
	result := pacer.NewResult()
	var group sync.WaitGroup
	group.Go(func() { result.Merge(p.Run(ctx, c.For)) })
	group.Wait()
	r := results[path.name]
	if r == nil {
		r = &callPathResult{
			Way: path.name,
		}
		results[path.name] = r
	}
	r.P50 = append(r.P50, result.Latency.ValueAtPercentile(p50))
	r.P99 = append(r.P99, result.Latency.ValueAtPercentile(p99))
	r.Failed += result.Failed
}

// report prints the medians of each path over the rounds, and the latency that
// the path adds to the direct one, as the difference within the same round.
func (c *latencyCommand) report(paths []callPath, results map[string]*callPathResult) error {
	direct := results[paths[0].name]
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WAY\tP50 µs\tADDED\tP99 µs\tADDED (median of rounds)\tADDED (least to most)\tFAILED")
	var all []callPathResult
	for _, p := range paths {
		r := results[p.name]
		all = append(all, *r)
		added50 := differences(r.P50, direct.P50)
		added99 := differences(r.P99, direct.P99)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d to %d\t%d\n", p.name,
			median(r.P50), median(added50), median(r.P99), median(added99),
			slices.Min(added99), slices.Max(added99), r.Failed)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "latency: print")
	}
	return writeJSON(c.Output, all)
}

// differences returns the elements of a less those of b.
func differences(a, b []int64) []int64 {
	d := make([]int64, 0, len(a))
	for i := range a {
		d = append(d, a[i]-b[i])
	}
	return d
}

// median returns the median of values, or the upper of the two middle values.
func median(values []int64) int64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// writeJSON writes value to a file, or does nothing if path is empty.
func writeJSON(path string, value any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "bench: encode")
	}
	const fileMode = 0o644
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), fileMode), "bench: write")
}
