package forwarder

import (
	"context"
	"net/http"
	"strconv"

	"github.com/fireflymoor/fireflymoor"
)

// Headers of the response from RevokePath.
const (
	// StateHeader holds the state of the call, a registrar.State.
	StateHeader = "Fireflymoor-State"
	// KeptHeader is set if the response is the kept response of the call.
	KeptHeader = "Fireflymoor-Kept"
)

func formatBoot(boot uint64) string {
	return strconv.FormatUint(boot, 10)
}

// chooser is a fireflymoor.Forwarder that chooses between a local and a remote
// one.
type chooser struct {
	node   string
	local  fireflymoor.Forwarder
	remote fireflymoor.Forwarder
}

// New returns a new fireflymoor.Forwarder that uses local for the targets of
// the given node and remote for all others.
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
