// Package dialer opens connections from the IP address on which this process
// listens.
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

// A Dialer opens connections whose local end has the process's IP address, so
// that the remote end can identify the process.
type Dialer struct {
	localAddr net.Addr
	count     *counter.Counter
	dial      DialFunc
}

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Dialer for the process that listens on address, as host:port.
func New(address string, count *counter.Counter) *Dialer {
	d := &Dialer{
		count: count,
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		d.localAddr = &net.TCPAddr{
			IP: net.ParseIP(host),
		}
	}
	return d
}

// NewFunc returns a Dialer that opens all connections with dial, such as over a
// simulated network. The timeouts of its methods apply to dial as deadlines of its
// context.
func NewFunc(dial DialFunc, count *counter.Counter) *Dialer {
	return &Dialer{
		count: count,
		dial:  dial,
	}
}

// DialControl opens a connection for control traffic, whose bytes are counted.
func (d *Dialer) DialControl(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := d.TrafficDialFunc(timeout)(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialer %s: dial", address)
	}
	return d.count.Wrap(conn, 0), nil
}

// TrafficDialFunc returns a DialContext function for http.Transport with the
// given dial timeout. The bytes of its connections are not counted.
func (d *Dialer) TrafficDialFunc(timeout time.Duration) DialFunc {
	if d.dial != nil {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return d.dial(ctx, network, address)
		}
	}
	dialer := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: d.localAddr,
		Control:   deferPortSelection,
	}
	return dialer.DialContext
}

// deferPortSelection makes the kernel choose the local port at connect time. A
// port chosen at bind time must be unused for all remote addresses, and the
// search for one is slow when many connections have just been closed.
func deferPortSelection(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.CombineErrors(err, optionErr)
}

// Counter returns the counter of control traffic.
func (d *Dialer) Counter() *counter.Counter {
	return d.count
}
