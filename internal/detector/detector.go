// Package detector detects that the caller of a request has closed its connection, or
// its sending side.
//
// The server of net/http cancels the context of such a request once a goroutine has
// read the end of the connection. In a busy process that may be long after the end has
// arrived. It does not read the end at all while bytes before it are unread: those of a
// body, or of the next request. The kernel knows of the end as soon as it has arrived.
package detector

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type connKey struct{}

// A Detector cancels the contexts of requests whose connections have ended, for all
// servers of a process.
type Detector struct {
	poller   *poller
	failures prometheus.Counter

	lock    sync.Mutex
	tokens  map[net.Conn]uint64
	cancels map[uint64]context.CancelFunc
	// last is the token of the newest connection. Unlike descriptors, tokens are not
	// used again.
	last uint64
}

// New returns a new Detector and registers its metrics. It returns an error if the
// system has no descriptors left.
func New(registry prometheus.Registerer) (*Detector, error) {
	p, err := newPoller()
	if err != nil {
		return nil, errors.Wrap(err, "detector: wait for the ends of connections")
	}
	d := &Detector{
		poller: p,
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_unwatched_connections_total",
			Help: "Connections whose end is not noticed while bytes before it are unread, because the system does not watch them.",
		}),
		tokens:  map[net.Conn]uint64{},
		cancels: map[uint64]context.CancelFunc{},
	}
	registry.MustRegister(d.failures, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflymoor_watched_connections",
		Help: "Open connections whose end is noticed at once.",
	}, func() float64 { return float64(d.watched()) }))
	return d, nil
}

// Attach makes the Detector cancel the contexts of the requests of a server, and makes
// HasLeft work for them. Hooks that are set later must call the server's ConnContext and
// ConnState as they were before.
func (d *Detector) Attach(server *http.Server) {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		socket := SocketOf(conn)
		if socket == nil {
			return ctx
		}
		return d.watch(context.WithValue(ctx, connKey{}, socket), conn, socket)
	}
	innerState := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if innerState != nil {
			innerState(conn, state)
		}
		if state == http.StateClosed || state == http.StateHijacked {
			d.forget(conn)
		}
	}
}

// watch returns a context that ends with a connection.
func (d *Detector) watch(ctx context.Context, conn net.Conn, socket syscall.RawConn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	d.lock.Lock()
	d.last++
	token := d.last
	d.tokens[conn] = token
	d.cancels[token] = cancel
	d.lock.Unlock()
	if err := d.poller.add(socket, token); err != nil {
		d.failures.Inc()
		d.forget(conn)
	}
	return ctx
}

// forget removes a connection that this process has closed or that is no longer the
// server's.
func (d *Detector) forget(conn net.Conn) {
	d.lock.Lock()
	defer d.lock.Unlock()
	token := d.tokens[conn]
	delete(d.tokens, conn)
	delete(d.cancels, token)
}

// end cancels the requests of a connection that its peer has ended.
func (d *Detector) end(token uint64) {
	d.lock.Lock()
	cancel := d.cancels[token]
	delete(d.cancels, token)
	d.lock.Unlock()
	if cancel != nil {
		cancel()
	}
}

// watched returns the number of open connections.
func (d *Detector) watched() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.cancels)
}

// Run cancels the contexts of requests until ctx ends. A Detector runs once.
func (d *Detector) Run(ctx context.Context) {
	d.poller.run(ctx, d.end)
}

// Close releases the resources of a Detector. It ends Run.
func (d *Detector) Close() {
	d.poller.close()
}

// SocketOf returns the socket that a connection wraps, or nil.
func SocketOf(conn net.Conn) syscall.RawConn {
	for {
		switch c := conn.(type) {
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		case syscall.Conn:
			if socket, err := c.SyscallConn(); err == nil {
				return socket
			}
			return nil
		default:
			return nil
		}
	}
}

// Detach returns a context for which HasLeft reports false, for a call that goes on
// without its caller.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(ctx, connKey{}, nil)
}

// HasLeft reports whether the caller of the request that a context belongs to has left.
// It reports false if that is not known.
func HasLeft(ctx context.Context) bool {
	socket, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	ended := false
	err := socket.Control(func(fd uintptr) { ended = hasEnded(int(fd)) })
	return err != nil || ended // Control fails if this process has closed the socket
}
