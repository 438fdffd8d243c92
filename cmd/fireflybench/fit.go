package main

import (
	"fmt"
	"math"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// requiredNodes is the number of nodes that the users require, to which the
// measurements are extrapolated.
const requiredNodes = 2300

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// series is one measurement as a function of the number of nodes.
type series struct {
	name  string
	value func(r sizeResult) float64
}

var allSeries = []series{
	{name: "node idle core %", value: func(r sizeResult) float64 { return r.Node.IdleCore }},
	{name: "node idle in B/s", value: func(r sizeResult) float64 { return r.Node.IdleIn }},
	{name: "node idle out B/s", value: func(r sizeResult) float64 { return r.Node.IdleOut }},
	{name: "node resident MiB", value: func(r sizeResult) float64 { return r.Node.Resident }},
	{name: "node change in B", value: func(r sizeResult) float64 { return r.Node.ChangeIn }},
	{name: "node change core ms", value: func(r sizeResult) float64 { return r.Node.ChangeMilliseconds }},
	{name: "node restart in B", value: func(r sizeResult) float64 { return r.Node.RestartIn }},
	{name: "control idle core %", value: func(r sizeResult) float64 { return r.Control.IdleCore }},
	{name: "control idle in B/s", value: func(r sizeResult) float64 { return r.Control.IdleIn }},
	{name: "control idle out B/s", value: func(r sizeResult) float64 { return r.Control.IdleOut }},
	{name: "control resident MiB", value: func(r sizeResult) float64 { return r.Control.Resident }},
	{name: "control change out B", value: func(r sizeResult) float64 { return r.Control.ChangeOut }},
	{name: "control change core ms", value: func(r sizeResult) float64 { return r.Control.ChangeMilliseconds }},
	{name: "converged p99 ms", value: func(r sizeResult) float64 { return float64(r.Convergence[1]) }},
}

// printFits prints a linear regression of each measurement over the number of
// nodes, with the root mean square of the residuals and the value extrapolated
// to requiredNodes. It prints nothing for fewer than two sizes.
func printFits(results []sizeResult) {
	if len(results) < 2 {
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "MEASURE\tAT 0 NODES\tEACH NODE\tRESIDUAL\tAT %d NODES\n", requiredNodes)
	for _, s := range allSeries {
		x, y := points(results, s)
		base, slope := stat.LinearRegression(x, y, nil, false)
		squares := 0.0
		for i := range x {
			residual := y[i] - base - slope*x[i]
			squares += residual * residual
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.4f\t%.2f\t%.2f\n", s.name, base, slope,
			math.Sqrt(squares/float64(len(x))), base+slope*requiredNodes)
	}
	_ = w.Flush()
}

func points(results []sizeResult, s series) (x, y []float64) {
	for _, r := range results {
		x = append(x, float64(r.Nodes))
		y = append(y, s.value(r))
	}
	return x, y
}

// plotSizes plots the bytes of control traffic over the number of nodes.
func plotSizes(path string, results []sizeResult) error {
	p := plot.New()
	p.Title.Text = "Control traffic of one process"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "bytes per second, bytes per change"
	var lines []any
	for _, s := range allSeries {
		switch s.name {
		case "node idle in B/s", "control idle in B/s", "node change in B", "control change out B":
			x, y := points(results, s)
			line := make(plotter.XYs, len(x))
			for i := range x {
				line[i] = plotter.XY{
					X: x[i],
					Y: y[i],
				}
			}
			lines = append(lines, s.name, line)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "slopes: plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "slopes: plot")
}
