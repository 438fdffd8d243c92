package neighbour

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
	// idleLife is how long a connection is kept that no call uses. A
	// connection may go silent unseen, so it is short.
	idleLife = 5 * time.Second
	// idleMost is the number of idle connections kept for each address.
	idleMost = 4
)

// A Client makes calls to other processes, each over a connection of its own
// for as long as it lasts, and keeps a few connections between calls.
type Client struct {
	dialer *dialer.Dialer
	lock   sync.Mutex
	idle   map[string][]idleConn
	closed bool
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// NewClient returns a new Client.
func NewClient(dialer *dialer.Dialer) *Client {
	return &Client{
		dialer: dialer,
		idle:   map[string][]idleConn{},
	}
}

// Call runs call over a connection to address. After an error the connection
// is given up, and all idle ones to the address with it.
func (c *Client) Call(ctx context.Context, address string, call func(conn drpc.Conn) error) error {
	conn := c.take(address)
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
		return errors.Wrapf(err, "neighbour %s: call", address)
	}
	c.keep(address, conn)
	return nil
}

// take returns the connection that was used last, or nil if there is none
// that is fresh and open.
func (c *Client) take(address string) *drpcconn.Conn {
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
		if time.Since(last.since) < idleLife {
			return last.conn
		}
	}
	c.dropLocked(address)
	_ = last.conn.Close()
	return nil
}

func (c *Client) keep(address string, conn *drpcconn.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed || len(c.idle[address]) >= idleMost {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{
		conn:  conn,
		since: time.Now(),
	})
}

func (c *Client) drop(address string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.dropLocked(address)
}

func (c *Client) dropLocked(address string) {
	for _, i := range c.idle[address] {
		_ = i.conn.Close()
	}
	delete(c.idle, address)
}

// Expire closes the connections that no call has used for long.
func (c *Client) Expire() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for address, conns := range c.idle {
		if time.Since(conns[len(conns)-1].since) >= idleLife {
			c.dropLocked(address)
		}
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for address := range c.idle {
		c.dropLocked(address)
	}
}
