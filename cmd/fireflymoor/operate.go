package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

const (
	requestTimeout = 8 * time.Second
	waitInterval   = 100 * time.Millisecond
	tabWidth       = 2
)

// clientFlags holds the flags of all commands that use the administration API.
type clientFlags struct {
	Control []string `required:"" env:"FIREFLYMOOR_CONTROL" help:"Administration addresses of the control replicas, IP:PORT."`
	Token   string   `required:"" env:"FIREFLYMOOR_TOKEN" help:"Bearer token."`
	Output  string   `enum:"table,json" default:"table" help:"Output format: table or json."`
}

func (f *clientFlags) client() *administrator.Client {
	return administrator.New(f.Control, f.Token, requestTimeout)
}

// show prints value as JSON, or calls table to print it, depending on the output
// flag.
func (f *clientFlags) show(value any, table func(w *tabwriter.Writer)) error {
	if f.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabWidth, ' ', 0)
	table(w)
	return w.Flush()
}

// inputFlags holds the flags that give a team's inputs.
type inputFlags struct {
	Team     string `required:"" help:"Team."`
	Template string `type:"existingfile" help:"Template file. By default, the accepted template is kept."`
	Values   string `type:"existingfile" help:"Values file. By default, the accepted values are kept."`
}

func (i *inputFlags) request() (administrator.ChangeRequest, error) {
	request := administrator.ChangeRequest{
		Team: i.Team,
	}
	var err error
	if request.Template, err = readFile(i.Template); err != nil {
		return request, err
	}
	request.Values, err = readFile(i.Values)
	return request, err
}

// readFile returns the text of a file, or nil if path is empty.
func readFile(path string) (*string, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	text := string(data)
	return &text, err
}

type acceptCommand struct {
	clientFlags
	inputFlags
	Parent   *uint64 `help:"Number of the team's version that the change is based on. By default, the currently accepted version."`
	ChangeID string  `help:"Id of the change, to send the same change again. By default, a new id."`
}

// Run runs the command.
func (c *acceptCommand) Run(ctx context.Context) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	request.ChangeID = c.ChangeID
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
		fmt.Fprintln(os.Stderr, "change id:", request.ChangeID)
	}
	if request.Parent, err = c.parent(ctx); err != nil {
		return err
	}
	response, err := c.client().Change(ctx, request)
	if err != nil {
		return err
	}
	return c.show(response, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version\t%d\nhash\t%s\n", response.Number, response.Hash)
	})
}

// parent returns the number of the version that the change is based on, or 0 if
// the team has no accepted version.
func (c *acceptCommand) parent(ctx context.Context) (uint64, error) {
	if c.Parent != nil {
		return *c.Parent, nil
	}
	teams, err := c.client().Teams(ctx)
	for _, t := range teams {
		if t.Team == c.Team {
			return t.Number, nil
		}
	}
	return 0, err
}

type renderCommand struct {
	clientFlags
	inputFlags
}

// Run runs the command.
func (c *renderCommand) Run(ctx context.Context) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	response, err := c.client().Render(ctx, request)
	if err != nil {
		return err
	}
	return c.show(response, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "parent %d\n\n%s\n%s", response.Parent, response.Rendered, response.Diff)
	})
}

type templateCommand struct {
	clientFlags
	Team string `arg:"" help:"Team."`
}

// Run runs the command.
func (c *templateCommand) Run(ctx context.Context) error {
	return c.showTeam(ctx, c.Team, func(t administrator.Team) string { return t.Template })
}

type valuesCommand struct {
	clientFlags
	Team string `arg:"" help:"Team."`
}

// Run runs the command.
func (c *valuesCommand) Run(ctx context.Context) error {
	return c.showTeam(ctx, c.Team, func(t administrator.Team) string { return t.Values })
}

// showTeam shows a team. As a table, it prints only the given part.
func (f *clientFlags) showTeam(ctx context.Context, name string, part func(administrator.Team) string) error {
	team, err := f.client().Team(ctx, name)
	if err != nil {
		return err
	}
	return f.show(team, func(w *tabwriter.Writer) {
		fmt.Fprint(w, part(team))
	})
}

type teamsCommand struct {
	clientFlags
}

// Run runs the command.
func (c *teamsCommand) Run(ctx context.Context) error {
	teams, err := c.client().Teams(ctx)
	if err != nil {
		return err
	}
	return c.show(teams, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TEAM\tVERSION")
		for _, t := range teams {
			fmt.Fprintf(w, "%s\t%d\n", t.Team, t.Number)
		}
	})
}

type statusCommand struct {
	clientFlags
}

// Run runs the command.
func (c *statusCommand) Run(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	return c.show(status, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "replica\t%s (%s, term %d)\nleader\t%s\nquorum\t%t\nvotes\t%t\nvoters\t%s\nversion\t%d\n\n",
			status.Replica, status.Role, status.Term, status.Leader, status.Quorum, status.Voter,
			strings.Join(status.Members, " "), status.Number)
		for _, m := range status.Unresponsive {
			fmt.Fprintf(w, "unresponsive voter\t%s\n", m)
		}
		fmt.Fprintln(w, "ZONE\tNODES\tHOLDING\tLAGGING")
		for _, z := range status.Zones {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", z.Zone, z.Nodes, z.Holding, formatLaggards(z))
		}
		for _, s := range status.Suspects {
			fmt.Fprintf(w, "suspect\t%s\n", s)
		}
	})
}

// formatLaggards returns the laggards of a zone in one line, as NODE@VERSION with
// the reason of a refusal.
func formatLaggards(z administrator.Zone) string {
	words := make([]string, 0, len(z.Laggards))
	for _, l := range z.Laggards {
		word := fmt.Sprintf("%s@%d", l.Node, l.Held)
		if l.Refusal != "" {
			word += " (" + l.Refusal + ")"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

type waitCommand struct {
	clientFlags
	Version  uint64        `arg:"" optional:"" help:"Number of the version. By default, the currently accepted version."`
	Deadline time.Duration `default:"30s" help:"Maximum time to wait."`
}

// Run runs the command.
func (c *waitCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	last := ""
	for {
		status, err := c.client().Status(ctx)
		if err == nil {
			if c.Version == 0 {
				c.Version = status.Number
			}
			if status.InForce(c.Version) {
				fmt.Printf("version %d is in force everywhere\n", c.Version)
				return nil
			}
			last = printProgress(status, last)
		}
		select {
		case <-ctx.Done():
			return errDeadline
		case <-time.After(waitInterval):
		}
	}
}

// printProgress prints the progress of a version to the standard error, unless the
// line equals the last one, and returns the line.
func printProgress(status administrator.Status, last string) string {
	words := make([]string, 0, len(status.Zones))
	for _, z := range status.Zones {
		words = append(words, fmt.Sprintf("%s %d/%d", z.Zone, z.Holding, z.Nodes))
	}
	line := fmt.Sprintf("version %d: %s", status.Number, strings.Join(words, ", "))
	if line != last {
		fmt.Fprintln(os.Stderr, line)
	}
	return line
}

type historyCommand struct {
	clientFlags
}

// Run runs the command.
func (c *historyCommand) Run(ctx context.Context) error {
	records, err := c.client().History(ctx)
	if err != nil {
		return err
	}
	return c.show(records, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "VERSION\tTEAM\tOPERATOR\tTIME\tCHANGE ID")
		for _, r := range records {
			version := fmt.Sprint(r.Number)
			if r.Conflict {
				version = "conflict"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", version, r.Team, r.Operator, r.Time, r.ChangeID)
		}
	})
}

type targetsCommand struct {
	clientFlags
}

// Run runs the command.
func (c *targetsCommand) Run(ctx context.Context) error {
	targets, err := c.client().Targets(ctx)
	if err != nil {
		return err
	}
	return c.show(targets, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TARGET\tSERVICE\tVERSION\tTEAM\tZONE\tSLOTS\tSTATE")
		for _, t := range targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", t.ID, t.Service, t.Version, t.Team, t.Zone, t.Slots, t.State)
		}
	})
}

type drainCommand struct {
	clientFlags
	Node string `arg:"" help:"Name of the node."`
}

// Run runs the command.
func (c *drainCommand) Run(ctx context.Context) error {
	return c.client().Drain(ctx, c.Node)
}

type replicaCommand struct {
	Bootstrap bootstrapCommand `cmd:"" help:"Start the replicated log on the replica at the first address. Needed once."`
	Backup    backupCommand    `cmd:"" help:"Copy the data of the replica at the first address to a file in its data folder."`
}

type bootstrapCommand struct {
	clientFlags
}

// Run runs the command.
func (c *bootstrapCommand) Run(ctx context.Context) error {
	return c.client().Bootstrap(ctx)
}

type backupCommand struct {
	clientFlags
}

// Run runs the command.
func (c *backupCommand) Run(ctx context.Context) error {
	path, err := c.client().Backup(ctx)
	if err == nil {
		fmt.Println(path)
	}
	return err
}
