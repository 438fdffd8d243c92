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

// operator holds the flags of all commands on the administration API.
type operator struct {
	Control []string `required:"" env:"FIREFLYMOOR_CONTROL" help:"Administration addresses of the control replicas, IP:PORT."`
	Token   string   `required:"" env:"FIREFLYMOOR_TOKEN" help:"Bearer token."`
	Output  string   `enum:"table,json" default:"table" help:"Form of the output: table or json."`
}

func (o *operator) client() *administrator.Client {
	return administrator.New(o.Control, o.Token, requestTimeout)
}

// show prints a value as JSON, or by table.
func (o *operator) show(value any, table func(w *tabwriter.Writer)) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabWidth, ' ', 0)
	table(w)
	return w.Flush()
}

// inputs holds the flags that name a team's inputs.
type inputs struct {
	Team     string `required:"" help:"Team."`
	Template string `type:"existingfile" help:"File of the template; left out, the accepted one stays."`
	Values   string `type:"existingfile" help:"File of the values; left out, the accepted ones stay."`
}

func (i *inputs) request() (administrator.ChangeRequest, error) {
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

func readFile(path string) (*string, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	text := string(data)
	return &text, err
}

type acceptCommand struct {
	operator
	inputs
	Parent   *uint64 `help:"Number of the team's version that the change is based on; left out, the one accepted now."`
	ChangeID string  `help:"Id under which the change may be sent again."`
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
	operator
	inputs
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
	operator
	Team string `arg:"" help:"Team."`
}

// Run runs the command.
func (c *templateCommand) Run(ctx context.Context) error {
	return c.showTeam(ctx, c.Team, func(t administrator.Team) string { return t.Template })
}

type valuesCommand struct {
	operator
	Team string `arg:"" help:"Team."`
}

// Run runs the command.
func (c *valuesCommand) Run(ctx context.Context) error {
	return c.showTeam(ctx, c.Team, func(t administrator.Team) string { return t.Values })
}

func (o *operator) showTeam(ctx context.Context, name string, part func(administrator.Team) string) error {
	team, err := o.client().Team(ctx, name)
	if err != nil {
		return err
	}
	return o.show(team, func(w *tabwriter.Writer) {
		fmt.Fprint(w, part(team))
	})
}

type teamsCommand struct {
	operator
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
	operator
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
		fmt.Fprintln(w, "ZONE\tNODES\tHOLDING\tLAGGING")
		for _, z := range status.Zones {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", z.Zone, z.Nodes, z.Holding, laggards(z))
		}
		for _, s := range status.Suspects {
			fmt.Fprintf(w, "suspect\t%s\n", s)
		}
	})
}

func laggards(z administrator.Zone) string {
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
	operator
	Version  uint64        `arg:"" optional:"" help:"Number of the version; left out, the one accepted now."`
	Deadline time.Duration `default:"30s" help:"How long to wait."`
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
			last = progress(status, last)
		}
		select {
		case <-ctx.Done():
			return errLate
		case <-time.After(waitInterval):
		}
	}
}

func progress(status administrator.Status, last string) string {
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
	operator
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
	operator
}

// Run runs the command.
func (c *targetsCommand) Run(ctx context.Context) error {
	targets, err := c.client().Targets(ctx)
	if err != nil {
		return err
	}
	return c.show(targets, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TARGET\tSERVICE\tTEAM\tZONE\tSLOTS\tSTATE")
		for _, t := range targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", t.ID, t.Service, t.Team, t.Zone, t.Slots, t.State)
		}
	})
}

type drainCommand struct {
	operator
	Node string `arg:"" help:"Name of the node."`
}

// Run runs the command.
func (c *drainCommand) Run(ctx context.Context) error {
	return c.client().Drain(ctx, c.Node)
}

type replicaCommand struct {
	Bootstrap bootstrapCommand `cmd:"" help:"Start the replicated log, once, at the first address."`
	Backup    backupCommand    `cmd:"" help:"Copy the disk of the replica at the first address."`
}

type bootstrapCommand struct {
	operator
}

// Run runs the command.
func (c *bootstrapCommand) Run(ctx context.Context) error {
	return c.client().Bootstrap(ctx)
}

type backupCommand struct {
	operator
}

// Run runs the command.
func (c *backupCommand) Run(ctx context.Context) error {
	path, err := c.client().Backup(ctx)
	if err == nil {
		fmt.Println(path)
	}
	return err
}
