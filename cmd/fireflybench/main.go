// Command fireflybench measures the system with real processes on loopback
// addresses.
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

// commands are the subcommands.
type commands struct {
	Target   targetCommand   `cmd:"" help:"Run one stand-in target."`
	Slopes   slopesCommand   `cmd:"" help:"Measure the resource usage of control traffic by role, as a function of the number of nodes and services."`
	Converge convergeCommand `cmd:"" help:"Measure convergence in a users' mesh with its delays, compared with a direct feed."`
	Soak     soakCommand     `cmd:"" help:"Inject random concurrent faults under load from callers and operators, and check the invariants."`
	Decide   decideCommand   `cmd:"" help:"Compare each mechanism on the callers' path with a simple baseline."`
	Herd     herdCommand     `cmd:"" help:"Kill and restart many processes at once, and measure the reconnect surge."`
	Latency  latencyCommand  `cmd:"" help:"Measure the latency that nodes add, compared with a direct call."`
}

// targetCommand runs a stand-in target as a separate process.
type targetCommand struct {
	ID      string        `required:"" help:"ID of the target."`
	Service string        `required:"" help:"Service of the target."`
	Address string        `required:"" help:"Address to listen on for calls."`
	Node    string        `required:"" help:"Platform address of the target's node."`
	Slots   int           `default:"20" help:"Calls served concurrently."`
	Delay   time.Duration `default:"0s" help:"Time that each call takes."`
	Runs    string        `help:"File to which a line is appended for each call that runs."`
	Limit   float64       `help:"Calls per second that the target accepts, as it states and checks, or 0."`
	Deadly  bool          `help:"End at calls whose paths end with /deadly."`
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
		Limit:   c.Limit,
		Deadly:  c.Deadly,
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
		kong.Description("Measures fireflymoor with real processes on loopback addresses."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
