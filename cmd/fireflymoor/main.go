// Command fireflymoor runs control replicas and nodes, and is the operators'
// command-line client.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/runner"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/platform"
)

// Exit statuses. exitInvalid is for faulty inputs and settings, exitConflict for a
// change that is based on an outdated version, exitUnknown for a change whose
// outcome is unknown, and exitDeadline for a version that is not in force in time.
const (
	exitFailure  = 1
	exitInvalid  = 3
	exitConflict = 4
	exitUnknown  = 5
	exitDeadline = 6
)

var errDeadline = errors.New("the deadline passed before the version was in force everywhere")

// commands are the commands, as kong reads them from the command line.
type commands struct {
	Demo       demoCommand       `cmd:"" help:"Run every role in one process, with sample targets."`
	Control    controlCommand    `cmd:"" help:"Run a control replica."`
	Node       nodeCommand       `cmd:"" help:"Run a node."`
	Check      checkCommand      `cmd:"" help:"Check settings without starting anything."`
	Accept     acceptCommand     `cmd:"" help:"Accept a team's template and values."`
	Render     renderCommand     `cmd:"" help:"Render without accepting, and show a diff from the version in force."`
	Template   templateCommand   `cmd:"" help:"Print a team's accepted template."`
	Values     valuesCommand     `cmd:"" help:"Print a team's accepted values."`
	Teams      teamsCommand      `cmd:"" help:"List the teams."`
	Status     statusCommand     `cmd:"" help:"Show the state of the replicated log, and which nodes hold the accepted version."`
	Wait       waitCommand       `cmd:"" help:"Wait until a version is in force everywhere."`
	History    historyCommand    `cmd:"" help:"List the latest changes."`
	Targets    targetsCommand    `cmd:"" help:"List the targets by state."`
	Tenants    tenantsCommand    `cmd:"" help:"List a team's tenants in the accepted version."`
	Key        keyCommand        `cmd:"" help:"Work with the keys of tenants."`
	Drain      drainCommand      `cmd:"" help:"Drain a node: send its targets no new calls."`
	Rollout    rolloutCommand    `cmd:"" help:"Move a service's calls to targets of another version."`
	Quarantine quarantineCommand `cmd:"" help:"List or clear the requests under which targets have ended, as a node knows them."`
	Replica    replicaCommand    `cmd:"" help:"Manage the control replicas."`
}

// adapterFlags holds the flags that select the protocols of a process.
type adapterFlags struct {
	Platform bool `help:"Use the protocol of the users' platform with callers, targets and operators."`
}

func (a adapterFlags) options() []runner.Option {
	if !a.Platform {
		return nil
	}
	return []runner.Option{
		runner.WithAdapter(func(settings loader.Settings, log zerolog.Logger) runner.Adapter {
			return platform.New(settings, log)
		}),
	}
}

type controlCommand struct {
	adapterFlags
	Settings string `arg:"" help:"Settings file."`
}

// Run runs the command.
func (c *controlCommand) Run(ctx context.Context) error {
	return run(ctx, c.Settings, loader.RoleControl, c.options())
}

type nodeCommand struct {
	adapterFlags
	Settings string `arg:"" help:"Settings file."`
}

// Run runs the command.
func (c *nodeCommand) Run(ctx context.Context) error {
	return run(ctx, c.Settings, loader.RoleNode, c.options())
}

// run loads the settings of a process and runs it until ctx ends. It fails if the
// settings are for another role.
func run(ctx context.Context, path, role string, options []runner.Option) error {
	// An unhandled SIGHUP would terminate the program, also during its start. It
	// is therefore caught before the settings are loaded.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	if settings.Role != role {
		return errors.Newf("settings: the role is %s, and the command is %s", settings.Role, role)
	}
	process, err := newProcess(settings, os.Stdout, options...)
	if err != nil {
		return err
	}
	if reloader, ok := process.(fireflymoor.Reloader); ok {
		go reloadOnHangup(ctx, reloader, path, hangups)
	}
	return process.Run(ctx)
}

// reloadOnHangup reloads the settings of a process on each hangup, until ctx ends.
func reloadOnHangup(ctx context.Context, process fireflymoor.Reloader, path string, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			// The process logs the error and keeps its previous settings.
			_ = process.Reload(path)
		}
	}
}

func newProcess(settings loader.Settings, out io.Writer, options ...runner.Option) (fireflymoor.Process, error) {
	if settings.Role == loader.RoleControl {
		return runner.NewControl(settings, out, options...)
	}
	return runner.NewNode(settings, out, options...)
}

type checkCommand struct {
	Settings []string `arg:"" help:"Settings files."`
}

// Run runs the command.
func (c *checkCommand) Run() error {
	var failed error
	for _, path := range c.Settings {
		settings, err := loader.Load(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = err
			continue
		}
		fmt.Printf("%s: %s %s in %s has valid settings\n", path, settings.Role, settings.Name, settings.Zone)
	}
	if failed != nil {
		return &administrator.Error{
			Code:   administrator.CodeInvalid,
			State:  administrator.NotTaken,
			Step:   "check",
			Reason: "some settings are invalid",
		}
	}
	return nil
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	apiErr := &administrator.Error{}
	var faults fireflymoor.Faults
	switch {
	case errors.Is(err, errDeadline):
		return exitDeadline
	case errors.As(err, &faults):
		return exitInvalid
	case !errors.As(err, &apiErr):
		return exitFailure
	case apiErr.State == administrator.Unknown:
		return exitUnknown
	case apiErr.Code == administrator.CodeConflict:
		return exitConflict
	case apiErr.Code == administrator.CodeInvalid:
		return exitInvalid
	}
	return exitFailure
}

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&commands{},
		kong.Name("fireflymoor"),
		kong.Description("Distributes the configuration of a service mesh and proxies its calls."),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.UsageOnError(),
	)
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}
