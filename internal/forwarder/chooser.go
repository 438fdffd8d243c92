package forwarder

import (
	"context"
	"net/http"
	"strconv"

	"github.com/fireflymoor/fireflymoor"
)

// Headers of the answer to RevokePath.
const (
	// StateHeader holds the registrar's state of the call.
	StateHeader = "Fireflymoor-State"
	// KeptHeader is set if the answer that was kept follows.
	KeptHeader = "Fireflymoor-Kept"
)

func formatBoot(boot uint64) string {
	return strconv.FormatUint(boot, 10)
}

type chooser struct {
	node   string
	local  fireflymoor.Forwarder
	remote fireflymoor.Forwarder
}

// New returns a new fireflymoor.Forwarder that serves the node's own targets
// by local and all others by remote.
func New(node string, local, remote fireflymoor.Forwarder) fireflymoor.Forwarder {
	return &chooser{
		node:   node,
		local:  local,
		remote: remote,
	}
}

// Forward implements fireflymoor.Forwarder.
func (c *chooser) Forward(ctx context.Context, target fireflymoor.Target, request *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	if target.Node == c.node {
		return c.local.Forward(ctx, target, request)
	}
	return c.remote.Forward(ctx, target, request)
}
