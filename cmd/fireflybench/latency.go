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

// latencyCommand measures what nodes add to a call, beside a direct call.
type latencyCommand struct {
	fleetOptions
	Rate   int           `default:"330" help:"Calls a second through each node."`
	Rounds int           `default:"5" help:"Rounds over all ways."`
	For    time.Duration `default:"3s" help:"Time of each way in a round."`
}

// way is one way of reaching a target.
type way struct {
	name    string
	url     string
	options []pacer.Option
}

// wayResult is what one way gave, in microseconds.
type wayResult struct {
	Way    string  `json:"way"`
	P50    []int64 `json:"p50"`
	P99    []int64 `json:"p99"`
	Failed int     `json:"failed"`
}

const (
	median       = 50
	p99          = 99
	warmUp       = 500 * time.Millisecond
	latencyNodes = 4
	bothServices = 4
)

// Run runs the command.
func (c *latencyCommand) Run(ctx context.Context) error {
	f, err := startFleet(ctx, c.fleetOptions, fleetShape{
		zones:    zoneNames(1),
		replicas: 1,
		nodes:    latencyNodes,
		services: bothServices,
		level:    "info",

		keyWindow: shortWindow,
	})
	if err != nil {
		return err
	}
	defer f.end(c.Keep)
	if err := f.untilKeys(ctx); err != nil {
		return err
	}
	ways, err := f.ways()
	if err != nil {
		return err
	}
	results := map[string]*wayResult{}
	for round := range c.Rounds {
		for _, w := range ways {
			c.measure(ctx, w, results)
		}
		fmt.Fprintf(os.Stderr, "round %d of %d\n", round+1, c.Rounds)
	}
	return c.report(ways, results)
}

// ways sets up the ways to measure: a target straight, through the node of
// its own instance, and through two nodes.
func (f *fleet) ways() ([]way, error) {
	direct := f.nodes[1].IP + ":9001"
	if err := f.addTarget(f.nodes[1], "direct", direct); err != nil {
		return nil, err
	}
	callers := func(node int, service int) string {
		return "http://" + launcher.CallersAddress(f.nodes[node].IP) + "/" + serviceName(service) + "/x"
	}
	return []way{
		{
			name: "direct",
			url:  "http://" + direct + "/" + serviceName(0) + "/x",
		},
		{
			name: "one node, own target",
			url:  callers(2, 2),
		},
		{
			name: "two nodes",
			url:  callers(0, 2),
		},
		{
			name:    "two nodes, with a key",
			url:     callers(0, 2),
			options: []pacer.Option{pacer.WithKeys()},
		},
	}, nil
}

func (c *latencyCommand) measure(ctx context.Context, w way, results map[string]*wayResult) {
	p := pacer.New(w.url, c.Rate, w.options...)
	p.Run(ctx, warmUp)
	result := pacer.NewResult()
	var group sync.WaitGroup
	group.Go(func() { result.Merge(p.Run(ctx, c.For)) })
	group.Wait()
	r := results[w.name]
	if r == nil {
		r = &wayResult{
			Way: w.name,
		}
		results[w.name] = r
	}
	r.P50 = append(r.P50, result.Latency.ValueAtPercentile(median))
	r.P99 = append(r.P99, result.Latency.ValueAtPercentile(p99))
	r.Failed += result.Failed
}

// report prints each way's medians over the rounds, and what it adds to the
// direct way in paired rounds.
func (c *latencyCommand) report(ways []way, results map[string]*wayResult) error {
	direct := results[ways[0].name]
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WAY\tP50 µs\tADDED\tP99 µs\tADDED (median of rounds)\tADDED (least to most)\tFAILED")
	var all []wayResult
	for _, way := range ways {
		r := results[way.name]
		all = append(all, *r)
		added50 := differences(r.P50, direct.P50)
		added99 := differences(r.P99, direct.P99)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d to %d\t%d\n", way.name,
			middle(r.P50), middle(added50), middle(r.P99), middle(added99),
			slices.Min(added99), slices.Max(added99), r.Failed)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "latency: print")
	}
	return writeJSON(c.Output, all)
}

func differences(a, b []int64) []int64 {
	d := make([]int64, 0, len(a))
	for i := range a {
		d = append(d, a[i]-b[i])
	}
	return d
}

func middle(values []int64) int64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

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
