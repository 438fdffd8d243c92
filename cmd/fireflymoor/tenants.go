package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

type tenantsCommand struct {
	clientFlags
	Team string `required:"" help:"Team."`
}

// tenantRow is a tenant as the command shows it.
type tenantRow struct {
	Name string `json:"name"`
	// Keys is the number of keys.
	Keys int `json:"keys"`
	// Priority is nil if the routes' priorities apply.
	Priority *int    `json:"priority,omitempty"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Weight   float64 `json:"weight"`
}

// Run runs the command. It lists the tenants of the accepted version.
func (c *tenantsCommand) Run(ctx context.Context) error {
	response, err := c.client().Render(ctx, administrator.ChangeRequest{
		Team: c.Team,
	})
	if err != nil {
		return err
	}
	configuration, err := parser.New().Parse(c.Team, response.Rendered)
	if err != nil {
		return err
	}
	rows := []tenantRow{}
	for _, t := range configuration.Tenants() {
		row := tenantRow{
			Name:   t.Name,
			Keys:   len(t.KeyHashes),
			Rate:   t.Rate,
			Burst:  t.Burst,
			Weight: t.Weight,
		}
		if t.HasPriority {
			row.Priority = &t.Priority
		}
		rows = append(rows, row)
	}
	return c.show(rows, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TENANT\tKEYS\tPRIORITY\tRATE\tBURST\tWEIGHT")
		for _, r := range rows {
			priority := "-"
			if r.Priority != nil {
				priority = fmt.Sprint(*r.Priority)
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%g\t%g\t%g\n", r.Name, r.Keys, priority, r.Rate, r.Burst, r.Weight)
		}
	})
}
