package linker

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
)

const (
	// NodeMessageMemory is the size of a node's budget for messages that are not
	// complete, in bytes. Half of a budget is for messages of more than 64 KiB. That
	// allows for one message of the maximum size, and the largest ones that a node
	// receives are the changes of one team.
	NodeMessageMemory = 2 * (maxMessageBytes + messageSlack)
	// ControlMessageMemory is the size of the budget of a control replica, in bytes. It
	// allows for two messages of the maximum size, because an old and a new leader may
	// both send a snapshot.
	ControlMessageMemory = 2 * NodeMessageMemory
	// messageSlack allows for other messages of more than 64 KiB beside the largest.
	messageSlack = 1 << 20
	// firstFrameTimeout bounds the time from accepting a connection to its first
	// frame. A process sends that as soon as it is connected.
	firstFrameTimeout = 3 * time.Second
	// messageTimeout bounds the time between the first and the last byte of a message.
	// A message of the maximum size takes 35 s on a link of 3.9 Mbit/s.
	messageTimeout = 2 * time.Minute
	// pacedBytes is the size from which messages are read at pacedRate bytes a second,
	// over all connections. The reader of drpc grows its buffer by a quarter at a time,
	// and discards four times the size of a message for that. Without the limit, 400
	// local peers made it discard memory faster than it was collected, up to 913 MiB. The
	// rate is ten times that of the fastest link.
	pacedBytes = 64 << 10
	pacedRate  = 16 << 20
)

// Limits that a peer may exceed, as labels of the metric.
const (
	limitConnections = "connections"
	limitFirstFrame  = "first-frame"
	limitFrame       = "frame"
	limitMemory      = "message-memory"
	limitMessageTime = "message-time"
)

var errRefused = errors.New("linker: the peer exceeded a limit")

// A Mux is a drpcmux.Mux that knows the names of its methods.
type Mux struct {
	*drpcmux.Mux
	methods map[string]bool
}

// NewMux returns a Mux without methods.
func NewMux() *Mux {
	return &Mux{
		Mux:     drpcmux.New(),
		methods: map[string]bool{},
	}
}

// Register implements drpc.Mux.
func (m *Mux) Register(server any, description drpc.Description) error {
	for i := range description.NumMethods() {
		if name, _, _, _, ok := description.Method(i); ok {
			m.methods[name] = true
		}
	}
	return m.Mux.Register(server, description)
}

// guard limits the connections of a listener and what their peers can make this
// process hold.
type guard struct {
	mux         *Mux
	connections int
	messages    *acceptor.Budget
	onRefusal   func(limit, address string)

	lock  sync.Mutex
	count int
	// unopened holds the connections that have not sent a valid first frame, and
	// waiting the others that are not in a call whose first message has arrived. The
	// connection that has been in a list for longest comes first.
	unopened *list.List
	waiting  *list.List
	// free is when the bytes of large messages that have been read are within the rate.
	free time.Time
}

func newGuard(options ServerOptions) *guard {
	g := &guard{
		mux:         options.Mux,
		connections: acceptor.Connections(options.Connections),
		messages:    options.Messages,
		onRefusal:   options.OnRefusal,
		unopened:    list.New(),
		waiting:     list.New(),
	}
	if g.messages == nil {
		g.messages = acceptor.NewBudget(NodeMessageMemory)
	}
	if g.onRefusal == nil {
		g.onRefusal = func(_, _ string) {}
	}
	return g
}

// admit returns the guarded form of an accepted connection. At the limit on
// connections, it closes the one that has gone without a valid first frame for
// longest, or else the one that has waited for longest, or else the new one and
// returns nil.
func (g *guard) admit(raw net.Conn) *guardedConn {
	address := raw.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	c := &guardedConn{
		Conn:    raw,
		guard:   g,
		address: address,
		charge:  g.messages.NewCharge(address),
		ended:   make(chan struct{}),
		scanner: frameScanner{
			methods: g.mux.methods,
		},
	}
	g.lock.Lock()
	full := g.count >= g.connections
	evicted := (*guardedConn)(nil)
	if full {
		evicted = g.evictLocked()
	}
	if full && evicted == nil {
		g.lock.Unlock()
		g.onRefusal(limitConnections, address)
		_ = raw.Close()
		return nil
	}
	g.count++
	c.enlist(g.unopened)
	c.timer = time.AfterFunc(firstFrameTimeout, c.expire)
	g.lock.Unlock()
	if evicted != nil {
		g.onRefusal(limitConnections, evicted.address)
		_ = evicted.Close()
	}
	return c
}

// evictLocked removes and returns the connection to close for a new one, or nil if
// there is none. It requires that the lock is held.
func (g *guard) evictLocked() *guardedConn {
	for _, l := range []*list.List{g.unopened, g.waiting} {
		if oldest := l.Front(); oldest != nil {
			c, _ := oldest.Value.(*guardedConn)
			c.enlist(nil)
			c.evicted = true
			return c
		}
	}
	return nil
}

// pace returns how long a connection must wait after n bytes of a large message.
func (g *guard) pace(n int, now time.Time) time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.free.Before(now) {
		g.free = now
	}
	g.free = g.free.Add(time.Duration(n) * time.Second / pacedRate)
	return g.free.Sub(now)
}

// HandleRPC implements drpc.Handler.
func (g *guard) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	if c, ok := transport.(*guardedConn); ok {
		c.setCalling(true)
		defer c.setCalling(false)
	}
	return g.mux.HandleRPC(stream, rpc)
}

// guardedConn is an accepted connection.
type guardedConn struct {
	net.Conn
	guard   *guard
	address string
	timer   *time.Timer
	// ended is closed when the connection is closed.
	ended chan struct{}

	// The guard's lock guards these fields.
	list    *list.List
	element *list.Element
	// evicted is set once the connection was removed from the lists for good.
	evicted                  bool
	opened, message, calling bool

	lock    sync.Mutex
	closed  bool
	scanner frameScanner
	charge  *acceptor.Charge
	// since is when the first byte of the incomplete packet arrived.
	since time.Time
}

// enlist moves the connection to the end of a list, unless it is in that already. The
// list nil means none. It requires that the guard's lock is held.
func (c *guardedConn) enlist(l *list.List) {
	if c.list == l || c.evicted {
		return
	}
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = l
	if l != nil {
		c.element = l.PushBack(c)
	}
}

// classify puts the connection in the list for its state. It requires that the guard's
// lock is held.
func (c *guardedConn) classify() {
	switch {
	case !c.opened:
		c.enlist(c.guard.unopened)
	case c.calling && c.message:
		c.enlist(nil)
	default:
		c.enlist(c.guard.waiting)
	}
}

func (c *guardedConn) setCalling(calling bool) {
	c.guard.lock.Lock()
	defer c.guard.lock.Unlock()
	c.calling = calling
	c.classify()
}

// setProgress records what has arrived.
func (c *guardedConn) setProgress(opened, message bool) {
	c.guard.lock.Lock()
	defer c.guard.lock.Unlock()
	if opened && !c.opened {
		c.timer.Stop()
	}
	c.opened = opened
	c.message = message
	c.classify()
}

// expire closes the connection if it has not sent a valid first frame.
func (c *guardedConn) expire() {
	c.guard.lock.Lock()
	late := !c.opened && !c.evicted
	c.guard.lock.Unlock()
	if late {
		c.refuse(limitFirstFrame)
	}
}

func (c *guardedConn) refuse(limit string) {
	c.guard.onRefusal(limit, c.address)
	_ = c.Close()
}

// Read implements net.Conn. It closes the connection and fails once the peer exceeds a
// limit.
func (c *guardedConn) Read(p []byte) (int, error) {
	c.lock.Lock()
	c.scanner.settle()
	c.lock.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	limit, large := c.observe(p[:n], now)
	if limit != "" {
		c.refuse(limit)
		return 0, errRefused
	}
	if large {
		timer := time.NewTimer(c.guard.pace(n, now))
		defer timer.Stop()
		select {
		case <-c.ended:
		case <-timer.C:
		}
	}
	return n, err
}

// observe charges the bytes that have arrived. It returns the limit that they exceed,
// or "", and whether they belong to a large message.
func (c *guardedConn) observe(p []byte, now time.Time) (limit string, large bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	s := &c.scanner
	opened, message := s.opened, s.message
	ok := s.scan(p)
	if s.opened != opened || s.message != message {
		c.setProgress(s.opened, s.message)
	}
	switch {
	case c.closed:
		return "", false
	case !ok && !s.opened:
		return limitFirstFrame, false
	case !ok:
		return limitFrame, false
	case !c.charge.Resize(s.cost()):
		return limitMemory, false
	case !s.incomplete:
		c.since = time.Time{}
	case c.since.IsZero():
		c.since = now
	case now.Sub(c.since) > messageTimeout:
		return limitMessageTime, false
	}
	return "", s.incomplete && s.size > pacedBytes
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.lock.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.charge.Release()
	}
	c.lock.Unlock()
	if first {
		close(c.ended)
		c.timer.Stop()
		c.guard.lock.Lock()
		c.guard.count--
		c.enlist(nil)
		c.evicted = true
		c.guard.lock.Unlock()
	}
	return c.Conn.Close()
}
