package neighbour

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflymoor/fireflymoor/internal/dialer"
)

// A Client makes single calls to other processes, one at a time for each, and
// keeps the connections between them.
type Client struct {
	dialer *dialer.Dialer
	lock   sync.Mutex
	conns  map[string]*clientConn
}

type clientConn struct {
	lock sync.Mutex
	conn *drpcconn.Conn
}

// NewClient returns a new Client.
func NewClient(dialer *dialer.Dialer) *Client {
	return &Client{
		dialer: dialer,
		conns:  map[string]*clientConn{},
	}
}

// Call runs call over a connection to address. The connection is given up
// after an error.
func (c *Client) Call(ctx context.Context, address string, call func(conn drpc.Conn) error) error {
	c.lock.Lock()
	cc := c.conns[address]
	if cc == nil {
		cc = &clientConn{}
		c.conns[address] = cc
	}
	c.lock.Unlock()
	cc.lock.Lock()
	defer cc.lock.Unlock()
	if err := cc.open(ctx, address, c.dialer); err != nil {
		return err
	}
	err := call(cc.conn)
	if err != nil {
		_ = cc.conn.Close()
		cc.conn = nil
	}
	return errors.Wrapf(err, "neighbour %s: call", address)
}

func (c *clientConn) open(ctx context.Context, address string, dialer *dialer.Dialer) error {
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
		default:
			return nil
		}
	}
	conn, err := Dial(ctx, address, dialer)
	c.conn = conn
	return err
}

// Close closes all connections.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, cc := range c.conns {
		cc.lock.Lock()
		if cc.conn != nil {
			_ = cc.conn.Close()
		}
		cc.lock.Unlock()
	}
}
