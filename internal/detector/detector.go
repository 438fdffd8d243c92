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
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type connKey struct{}

// watchDelay is how long a request may leave a part of its body unread until its
// connection is watched. Most bodies are read at once, and net/http reads on then.
const watchDelay = 50 * time.Millisecond

// A Detector cancels the contexts of requests whose connections have ended, for all
// servers of a process. It watches only connections on which net/http does not read on,
// because each watch costs two system calls and a wake-up.
type Detector struct {
	poller   *poller
	failures prometheus.Counter

	lock    sync.Mutex
	watched map[uint64]*conn
	// last is the token of the connection that was watched last. Unlike descriptors,
	// tokens are not used again.
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
		watched: map[uint64]*conn{},
	}
	registry.MustRegister(d.failures, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflymoor_watched_connections",
		Help: "Open connections that are watched for their end, because bytes before it were left unread.",
	}, func() float64 { return float64(d.count()) }))
	return d, nil
}

// Attach makes the Detector cancel the contexts of the requests of a server, and makes
// HasLeft work for them. The server's listener must be one that Wrap has returned.
// Hooks that are set later must call the server's ConnContext as it was before.
func (d *Detector) Attach(server *http.Server) {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, accepted)
		}
		if socket := SocketOf(accepted); socket != nil {
			ctx = context.WithValue(ctx, connKey{}, socket)
		}
		if c := underlying(accepted); c != nil {
			ctx = c.bind(ctx)
		}
		return ctx
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer awaitBody(request)()
		handler.ServeHTTP(w, request)
	})
}

// awaitBody makes the connection of a request be watched if the body has not been read
// within watchDelay. The function that it returns ends that.
func awaitBody(request *http.Request) (stop func()) {
	c, _ := request.Context().Value(watchKey{}).(*conn)
	switch {
	case c == nil:
		return func() {}
	case request.TLS != nil:
		c.watch() // what net/http reads of it does not show in the reads of the socket
		return func() {}
	case request.Body == nil || request.Body == http.NoBody:
		return func() {}
	}
	b := &body{
		ReadCloser: request.Body,
	}
	request.Body = b
	timer := time.AfterFunc(watchDelay, func() {
		if !b.ended.Load() {
			c.watch()
		}
	})
	return func() { timer.Stop() }
}

// body is the body of a request that records whether it was read to its end.
type body struct {
	io.ReadCloser

	ended atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// add watches a connection and returns its token.
func (d *Detector) add(c *conn, socket syscall.RawConn) uint64 {
	d.lock.Lock()
	d.last++
	token := d.last
	d.watched[token] = c
	d.lock.Unlock()
	if err := d.poller.add(socket, token); err != nil {
		d.failures.Inc()
		d.remove(token)
	}
	return token
}

// remove forgets a connection, which is no longer watched once it is closed.
func (d *Detector) remove(token uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.watched, token)
}

// end cancels the requests of a connection that its peer has ended.
func (d *Detector) end(token uint64) {
	d.lock.Lock()
	c := d.watched[token]
	delete(d.watched, token)
	d.lock.Unlock()
	if c != nil {
		c.cancel()
	}
}

// count returns the number of connections that are watched.
func (d *Detector) count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.watched)
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
