package detector

import (
	"context"
	"net"
	"sync"
)

type watchKey struct{}

// listener is a net.Listener whose connections can be watched.
type listener struct {
	net.Listener

	detector *Detector
}

// Wrap returns a listener that accepts the connections of another one, for a server that
// the Detector is attached to.
func (d *Detector) Wrap(inner net.Listener) net.Listener {
	return &listener{
		Listener: inner,
		detector: d,
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:     accepted,
		detector: l.detector,
		cancel:   func() {},
	}, nil
}

// conn is a connection that can be watched for its end.
type conn struct {
	net.Conn

	detector *Detector
	// cancel is set before the first read.
	cancel context.CancelFunc

	lock sync.Mutex
	// token is that of the watched connection, or 0 if it is not watched.
	token  uint64
	closed bool
}

// underlying returns the connection of this package that another one wraps, or nil.
func underlying(accepted net.Conn) *conn {
	for {
		switch c := accepted.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			accepted = c.NetConn()
		default:
			return nil
		}
	}
}

// bind returns a context that ends with the connection.
func (c *conn) bind(ctx context.Context) context.Context {
	ctx, c.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, watchKey{}, c)
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. The server of net/http reads a single byte while a request is
// in progress. If there is one, it reads no more until the request has ended.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 1 && len(p) == 1 {
		c.watch()
	}
	return n, err
}

// watch makes the end of the connection cancel its requests, whatever is unread.
func (c *conn) watch() {
	c.lock.Lock()
	defer c.lock.Unlock()
	socket := SocketOf(c.Conn)
	if c.token != 0 || c.closed || socket == nil {
		return
	}
	c.token = c.detector.add(c, socket)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.lock.Lock()
	c.closed = true
	token := c.token
	c.lock.Unlock()
	if token != 0 {
		c.detector.remove(token)
	}
	return c.Conn.Close()
}
