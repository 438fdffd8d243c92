// Command fireflybench measures the system with real processes on loopback.
package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/responder"
)

type commands struct {
	Target   targetCommand   `cmd:"" help:"Be one stand-in target."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what control costs each role against the number of nodes and services."`
	Converge convergeCommand `cmd:"" help:"Measure a users' mesh with its delays, beside a direct feed."`
	Soak     soakCommand     `cmd:"" help:"Make random faults, several at a time, under callers and operators, and check what must always hold."`
	Decide   decideCommand   `cmd:"" help:"Measure each decision on the callers' path against its simple baseline."`
	Herd     herdCommand     `cmd:"" help:"Kill and start many processes at once, and measure their return."`
	Latency  latencyCommand  `cmd:"" help:"Measure what nodes add to a call, beside a direct call."`
}

type targetCommand struct {
	ID      string        `required:"" help:"Id of the target."`
	Service string        `required:"" help:"Service of the target."`
	Address string        `required:"" help:"Address to take calls at."`
	Node    string        `required:"" help:"Platform address of the target's node."`
	Slots   int           `default:"20" help:"Calls served at once."`
	Delay   time.Duration `default:"0s" help:"Time that each call takes."`
	Runs    string        `help:"File to note each run in."`
}

// Run runs the command.
func (c *targetCommand) Run(ctx context.Context) error {
	target, err := responder.New(responder.Options{
		ID:      c.ID,
		Service: c.Service,
		Address: c.Address,
		Node:    c.Node,
		Slots:   c.Slots,
		Delay:   c.Delay,
		Runs:    c.Runs,
	})
	if err != nil {
		return errors.Wrap(err, "target")
	}
	return target.Run(ctx)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&commands{},
		kong.Name("fireflybench"),
		kong.Description("Measures fireflymoor with real processes on loopback."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
