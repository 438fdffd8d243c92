package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
)

// maxQuarantineBytes bounds the size of a node's list.
const maxQuarantineBytes = 4 << 20

type quarantineCommand struct {
	Node    string        `required:"" help:"Platform address of a node, IP:PORT."`
	Clear   string        `help:"Request to clear, as listed. All nodes send it to targets again."`
	Output  string        `enum:"table,json" default:"table" help:"Output format: table or json."`
	Timeout time.Duration `default:"5s" help:"Time for the request to the node."`
}

// Run runs the command.
func (c *quarantineCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Clear != "" {
		_, err := c.send(ctx, http.MethodDelete, "/v1/quarantine/"+c.Clear)
		return err
	}
	data, err := c.send(ctx, http.MethodGet, "/v1/quarantine")
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err = os.Stdout.Write(data)
		return errors.Wrap(err, "quarantine")
	}
	var entries []quarantiner.Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return errors.Wrapf(err, "quarantine: read the list of %s", c.Node)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabWidth, ' ', 0)
	_, _ = fmt.Fprintln(w, "REQUEST\tENDS\tSTATE\tSINCE\tUNTIL\tREFUSED HERE\tDESCRIPTION")
	for _, e := range entries {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%s\n", e.Request, e.Ends, e.State,
			e.Since.Format(time.RFC3339), e.Until.Format(time.RFC3339), e.Refusals, e.Description)
	}
	return errors.Wrap(w.Flush(), "quarantine")
}

// send sends a request to the node and returns the body of its response.
func (c *quarantineCommand) send(ctx context.Context, method, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Node+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "quarantine")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "quarantine: ask %s", c.Node)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxQuarantineBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "quarantine: read from %s", c.Node)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, errors.Newf("quarantine: %s responds %s: %s", c.Node, response.Status, data)
	}
	return data, nil
}
