package linker

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflymoor/fireflymoor/internal/dialer"
)

const (
	// maxIdleTime is how long an unused connection is kept. It is short because
	// a peer may become unreachable without the connection being closed.
	maxIdleTime = 5 * time.Second
	// maxIdleConns is the maximum number of idle connections for each address.
	maxIdleConns = 4
)

// A Client makes calls to other processes. Each call has exclusive use of a
// connection. A few idle connections are kept for later calls. Its methods may
// be called from any goroutine.
type Client struct {
	dialer *dialer.Dialer
	lock   sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	conn      *drpcconn.Conn
	idleSince time.Time
}

// NewClient returns a Client that opens connections with dialer.
func NewClient(dialer *dialer.Dialer) *Client {
	return &Client{
		dialer: dialer,
		idle:   map[string][]idleConn{},
	}
}

// Call runs call over a connection to address. If it returns an error, the
// connection and all idle ones to the address are closed.
func (c *Client) Call(ctx context.Context, address string, call func(conn drpc.Conn) error) error {
	conn := c.acquire(address)
	if conn == nil {
		var err error
		conn, err = Dial(ctx, address, c.dialer)
		if err != nil {
			return err
		}
	}
	if err := call(conn); err != nil {
		_ = conn.Close()
		c.drop(address)
		return errors.Wrapf(err, "linker %s: call", address)
	}
	c.release(address, conn)
	return nil
}

// acquire removes and returns the most recently used idle connection to address.
// If that has been closed or idle for too long, it closes all idle connections
// to the address. It returns nil if there is no usable connection.
func (c *Client) acquire(address string) *drpcconn.Conn {
	c.lock.Lock()
	defer c.lock.Unlock()
	conns := c.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[address] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(c.idle, address)
	}
	select {
	case <-last.conn.Closed():
	default:
		if time.Since(last.idleSince) < maxIdleTime {
			return last.conn
		}
	}
	c.dropLocked(address)
	_ = last.conn.Close()
	return nil
}

// release keeps conn for later calls, or closes it if enough are idle or the
// Client is closed.
func (c *Client) release(address string, conn *drpcconn.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed || len(c.idle[address]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{
		conn:      conn,
		idleSince: time.Now(),
	})
}

// drop closes all idle connections to address.
func (c *Client) drop(address string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.dropLocked(address)
}

// dropLocked is like drop, and requires that the lock is held.
func (c *Client) dropLocked(address string) {
	for _, i := range c.idle[address] {
		_ = i.conn.Close()
	}
	delete(c.idle, address)
}

// Expire closes the idle connections to each address whose most recently used
// one has been idle for too long.
func (c *Client) Expire() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for address, conns := range c.idle {
		if time.Since(conns[len(conns)-1].idleSince) >= maxIdleTime {
			c.dropLocked(address)
		}
	}
}

// Close closes all idle connections, and makes later calls close theirs.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for address := range c.idle {
		c.dropLocked(address)
	}
}
