// Package dialer opens connections from this process's own address.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflymoor/fireflymoor/internal/counter"
)

// A Dialer opens connections whose near end is the process's own IP number,
// so that the far end can tell where they come from.
type Dialer struct {
	local net.Addr
	count *counter.Counter
}

// New returns a new Dialer for the process that listens on address.
func New(address string, count *counter.Counter) *Dialer {
	d := &Dialer{
		count: count,
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		d.local = &net.TCPAddr{
			IP: net.ParseIP(host),
		}
	}
	return d
}

// Control opens a connection of control traffic, whose bytes are counted.
func (d *Dialer) Control(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := d.Traffic(timeout)(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialer %s: dial", address)
	}
	return d.count.Wrap(conn, 0), nil
}

// Traffic returns a function for http.Transport that opens connections.
func (d *Dialer) Traffic(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: d.local,
		Control:   bindLate,
	}
	return dialer.DialContext
}

// bindLate has the system choose the near end's port when the connection is
// made. A port chosen before must be free towards all addresses, and the
// search for one grows long when many connections have just been closed.
func bindLate(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.CombineErrors(err, optionErr)
}

// Counter returns what counts control bytes.
func (d *Dialer) Counter() *counter.Counter {
	return d.count
}
