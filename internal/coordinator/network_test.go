package coordinator

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// simulatedDelay is the one-way delay of the simulated network.
	simulatedDelay = 1500 * time.Microsecond
	// simulatedHeader is the size of the headers of a packet in bytes, and
	// simulatedSegment the largest payload.
	simulatedHeader  = 66
	simulatedSegment = 1448
	// simulatedBuffer is the size of a send buffer in bytes.
	simulatedBuffer = 64 << 10
)

// simulatedNetwork connects members in one process. Each address has one link, on
// which all its connections wait for each other. It is used with a fake clock.
type simulatedNetwork struct {
	lock      sync.Mutex
	listeners map[string]*simulatedListener
	links     map[string]*simulatedLink
	// cut are the addresses that nothing reaches and that reach nothing.
	cut map[string]bool
	// bytesPerSecond returns the bandwidth of an address's link in each direction.
	bytesPerSecond func(address string) float64
}

// simulatedLink is one address's link in both directions.
type simulatedLink struct {
	upFree   time.Time
	downFree time.Time
	sent     int
}

func newSimulatedNetwork(bytesPerSecond func(address string) float64) *simulatedNetwork {
	return &simulatedNetwork{
		listeners:      map[string]*simulatedListener{},
		links:          map[string]*simulatedLink{},
		cut:            map[string]bool{},
		bytesPerSecond: bytesPerSecond,
	}
}

func (n *simulatedNetwork) link(address string) *simulatedLink {
	l := n.links[address]
	if l == nil {
		l = &simulatedLink{}
		n.links[address] = l
	}
	return l
}

// isolate cuts addresses off.
func (n *simulatedNetwork) isolate(addresses []string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, address := range addresses {
		n.cut[address] = true
	}
}

// isCut reports whether nothing gets from one address to another.
func (n *simulatedNetwork) isCut(from, to string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.cut[from] || n.cut[to]
}

// transfer reserves the links for a number of bytes and returns when the sender
// has sent them and when they have arrived.
func (n *simulatedNetwork) transfer(from, to string, size int) (sent, arrived time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	size += (size/simulatedSegment + 1) * simulatedHeader
	upTime, downTime := n.duration(from, size), n.duration(to, size)
	up, down := n.link(from), n.link(to)
	up.sent += size
	sent = laterOf(time.Now(), up.upFree).Add(upTime)
	up.upFree = sent
	// The receiver's link carries the bytes while they arrive, and not after them.
	arrived = laterOf(laterOf(sent.Add(-downTime), time.Now()).Add(simulatedDelay), down.downFree).Add(downTime)
	down.downFree = arrived
	return sent, arrived
}

// duration returns how long a link takes for a number of bytes.
func (n *simulatedNetwork) duration(address string, size int) time.Duration {
	return time.Duration(float64(size) / n.bytesPerSecond(address) * float64(time.Second))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sentBytes returns the number of bytes that an address has sent.
func (n *simulatedNetwork) sentBytes(address string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.link(address).sent
}

func (n *simulatedNetwork) listen(address string) net.Listener {
	l := &simulatedListener{
		address:  address,
		accepted: make(chan net.Conn, 1024),
		closed:   make(chan struct{}),
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.listeners[address] = l
	return l
}

// dialFrom returns a dial function for the process at an address.
func (n *simulatedNetwork) dialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if n.isCut(from, address) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
		for _, end := range [][2]string{{from, address}, {address, from}} {
			_, arrived := n.transfer(end[0], end[1], 0)
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
			case <-time.After(time.Until(arrived)):
			}
		}
		n.lock.Lock()
		l := n.listeners[address]
		n.lock.Unlock()
		if l == nil {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		local, remote := newSimulatedConns(n, from, address)
		l.accepted <- remote
		return local, nil
	}
}

type simulatedListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *simulatedListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case conn := <-l.accepted:
		return conn, nil
	}
}

// Close implements net.Listener.
func (l *simulatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *simulatedListener) Addr() net.Addr { return simulatedAddress(l.address) }

type simulatedAddress string

// Network implements net.Addr.
func (simulatedAddress) Network() string { return "simulated" }

// String implements net.Addr.
func (a simulatedAddress) String() string { return string(a) }

// simulatedConn is one end of a connection.
type simulatedConn struct {
	network  *simulatedNetwork
	from, to string
	peer     *simulatedConn

	lock     sync.Mutex
	changed  *sync.Cond
	received []byte
	ended    bool
	closed   bool
	deadline time.Time
}

func newSimulatedConns(n *simulatedNetwork, from, to string) (local, remote *simulatedConn) {
	local = &simulatedConn{network: n, from: from, to: to}
	remote = &simulatedConn{network: n, from: to, to: from}
	local.peer, remote.peer = remote, local
	local.changed, remote.changed = sync.NewCond(&local.lock), sync.NewCond(&remote.lock)
	return local, remote
}

// Read implements net.Conn.
func (c *simulatedConn) Read(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.received) == 0 {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.ended:
			return 0, io.EOF
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	return n, nil
}

// Write implements net.Conn. It waits while the send buffer is full.
func (c *simulatedConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	closed := c.closed || c.ended
	c.lock.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if c.network.isCut(c.from, c.to) {
		return len(p), nil
	}
	data := append([]byte{}, p...)
	sent, arrived := c.network.transfer(c.from, c.to, len(data))
	time.AfterFunc(time.Until(arrived), func() {
		c.peer.update(func() { c.peer.received = append(c.peer.received, data...) })
	})
	buffered := time.Duration(simulatedBuffer / c.network.bytesPerSecond(c.from) * float64(time.Second))
	if wait := time.Until(sent) - buffered; wait > 0 {
		time.Sleep(wait)
	}
	return len(p), nil
}

func (c *simulatedConn) update(change func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	change()
	c.changed.Broadcast()
}

// Close implements net.Conn. The other end reads what was sent before.
func (c *simulatedConn) Close() error {
	c.update(func() { c.closed = true })
	if c.network.isCut(c.from, c.to) {
		return nil
	}
	_, arrived := c.network.transfer(c.from, c.to, 0)
	time.AfterFunc(time.Until(arrived), func() {
		c.peer.update(func() { c.peer.ended = true })
	})
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *simulatedConn) SetReadDeadline(at time.Time) error {
	c.update(func() { c.deadline = at })
	if !at.IsZero() {
		time.AfterFunc(time.Until(at), func() { c.update(func() {}) })
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *simulatedConn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetWriteDeadline implements net.Conn.
func (c *simulatedConn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *simulatedConn) LocalAddr() net.Addr { return simulatedAddress(c.from) }

// RemoteAddr implements net.Conn.
func (c *simulatedConn) RemoteAddr() net.Addr { return simulatedAddress(c.to) }
