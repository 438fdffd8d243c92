package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const percent = 100

var errRolledBack = errors.New("the roll-out was rolled back")

type rolloutCommand struct {
	Start  rolloutStartCommand  `cmd:"" help:"Order that a service's calls move to targets of a version."`
	Status rolloutStatusCommand `cmd:"" help:"Show the last roll-out of each service of a team."`
	Watch  rolloutWatchCommand  `cmd:"" help:"Show the progress of a service's roll-out until it has ended."`
	Abort  rolloutAbortCommand  `cmd:"" help:"Roll back a service's running roll-out."`
}

type rolloutFlags struct {
	clientFlags
	Team    string `required:"" help:"Team."`
	Service string `arg:"" help:"Service."`
}

type rolloutStartCommand struct {
	rolloutFlags
	Version  string        `arg:"" help:"New version, as the targets announce it."`
	Duration time.Duration `required:"" help:"Time within which the roll-out ends."`
}

// Run runs the command.
func (c *rolloutStartCommand) Run(ctx context.Context) error {
	rollout, err := c.client().StartRollout(ctx, administrator.RolloutRequest{
		Team:                 c.Team,
		Service:              c.Service,
		Version:              c.Version,
		DurationMilliseconds: c.Duration.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return c.showRollouts(rollout)
}

// showRollouts shows roll-outs as a table or as JSON.
func (f *clientFlags) showRollouts(rollouts ...administrator.Rollout) error {
	return f.show(rollouts, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tVERSION\tSTATE\tSHARE\tDURATION\tSTARTED\tREASON")
		for _, r := range rollouts {
			duration := time.Duration(r.DurationMilliseconds) * time.Millisecond
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1f%%\t%s\t%s\t%s\n", r.Service, r.Version, r.State, percent*r.Share, duration, r.Started, r.Reason)
		}
	})
}

type rolloutStatusCommand struct {
	clientFlags
	Team string `required:"" help:"Team."`
}

// Run runs the command.
func (c *rolloutStatusCommand) Run(ctx context.Context) error {
	rollouts, err := c.client().Rollouts(ctx, c.Team)
	if err != nil {
		return err
	}
	return c.showRollouts(rollouts...)
}

type rolloutWatchCommand struct {
	rolloutFlags
}

// Run runs the command. It fails if the roll-out is rolled back.
func (c *rolloutWatchCommand) Run(ctx context.Context) error {
	last := ""
	for {
		rollout, err := c.client().Rollout(ctx, c.Team, c.Service)
		apiErr := &administrator.Error{}
		if errors.As(err, &apiErr) && apiErr.Code != administrator.CodeUnavailable {
			return err
		}
		line := fmt.Sprintf("%s %s: %s, share %.1f%%: %s", rollout.Service, rollout.Version, rollout.State, percent*rollout.Share, rollout.Reason)
		if err == nil && line != last {
			fmt.Fprintln(os.Stderr, line)
			last = line
		}
		switch {
		case err == nil && rollout.State == administrator.RolloutCompleted:
			return c.showRollouts(rollout)
		case err == nil && rollout.State == administrator.RolloutRolledBack:
			return errors.CombineErrors(c.showRollouts(rollout), errRolledBack)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitInterval):
		}
	}
}

type rolloutAbortCommand struct {
	rolloutFlags
}

// Run runs the command.
func (c *rolloutAbortCommand) Run(ctx context.Context) error {
	rollout, err := c.client().AbortRollout(ctx, c.Team, c.Service)
	if err != nil {
		return err
	}
	return c.showRollouts(rollout)
}
