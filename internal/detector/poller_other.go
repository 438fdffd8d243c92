//go:build !linux

package detector

import (
	"context"
	"syscall"
)

// poller does nothing where the system cannot report the end of a connection behind
// unread bytes.
type poller struct{}

func newPoller() (*poller, error) {
	return &poller{}, nil
}

func (p *poller) add(syscall.RawConn, uint64) error {
	return nil
}

func (p *poller) run(ctx context.Context, _ func(token uint64)) {
	<-ctx.Done()
}

func (p *poller) close() {}
