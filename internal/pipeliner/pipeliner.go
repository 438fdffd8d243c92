// Package pipeliner serves the pipelined requests of a connection concurrently and
// sends their responses in the order of the requests, as RFC 9112, section 9.3.2 allows
// for safe methods.
package pipeliner

import (
	"context"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
)

const (
	// maxHeldBytes bounds the part of one response that is held until its turn, and
	// maxTotalHeldBytes the same for all responses of the process.
	maxHeldBytes      = 64 << 10
	maxTotalHeldBytes = 16 << 20
	// maxAheadBytes bounds what is read ahead on one connection.
	maxAheadBytes = 16 << 10
	// readSize is the number of bytes that are read ahead at a time.
	readSize = 4 << 10
	// drainInterval is the time between the checks of Drain.
	drainInterval = 5 * time.Millisecond
)

// Options are the dependencies and settings of a Pipeliner.
type Options struct {
	// Depth is the maximum number of requests of a connection in progress. With 1,
	// nothing is read ahead.
	Depth int
	// Budget bounds the memory for header sections.
	Budget *acceptor.Budget
	// Leaving reports whether the process is about to end, so that no calls begin ahead
	// of their turn.
	Leaving func() bool
	// Registry gets the metrics.
	Registry *prometheus.Registry
}

// A Pipeliner reads ahead on the connections of one server.
type Pipeliner struct {
	options Options
	server  *http.Server
	handler http.Handler
	ahead   prometheus.Counter
	// held is the number of response bytes that are held.
	held atomic.Int64
	// pending is the number of calls that have begun and whose turn has not come.
	pending atomic.Int64
}

// New returns a new Pipeliner.
func New(options Options) *Pipeliner {
	p := &Pipeliner{
		options: options,
		ahead: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_calls_pipelined_total",
			Help: "Calls that began while an earlier request of their connection was in progress.",
		}),
	}
	options.Registry.MustRegister(p.ahead)
	return p
}

// listener is a net.Listener whose connections can be read ahead.
type listener struct {
	net.Listener
	pipeliner *Pipeliner
}

// Wrap returns a listener that accepts the connections of another one. Attach must be
// called for the server that serves it.
func (p *Pipeliner) Wrap(inner net.Listener) net.Listener {
	if p.options.Depth < 2 {
		return inner
	}
	return &listener{
		Listener:  inner,
		pipeliner: p,
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(raw, l.pipeliner), nil
}

type connKey struct{}

// Attach makes a server serve pipelined requests concurrently. The calls that begin
// ahead of their turn have the values of the server's ConnContext as it was before.
func (p *Pipeliner) Attach(server *http.Server) {
	if p.options.Depth < 2 {
		return
	}
	p.server = server
	p.handler = server.Handler
	server.Handler = http.HandlerFunc(p.serveHTTP)
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, accepted)
		}
		c := underlying(accepted)
		if c == nil {
			return ctx
		}
		ctx = c.bind(ctx)
		return context.WithValue(ctx, connKey{}, c)
	}
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

// serveHTTP serves a request whose turn it is. If its call has begun before, it sends
// that call's response.
func (p *Pipeliner) serveHTTP(w http.ResponseWriter, request *http.Request) {
	c, _ := request.Context().Value(connKey{}).(*conn)
	if c == nil || request.ProtoMajor > 1 {
		p.handler.ServeHTTP(w, request)
		return
	}
	begun, hold := c.begin(request)
	defer c.end()
	switch {
	case begun != nil:
		begun.response.attach(w)
		<-begun.done
		c.send(w, begun.response)
	case hold:
		response := newResponse(request.Context(), c)
		response.direct = w
		p.run(response, request)
		c.send(w, response)
	default:
		p.handler.ServeHTTP(w, request)
	}
}

// Drain waits until the turn of all calls that began ahead of it has come, or until ctx
// ends. Shutdown of the server would end each connection behind its current response. The
// process must be leaving, so that no calls begin ahead of their turn.
func (p *Pipeliner) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for p.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// run serves a request. A panic, such as for a response that breaks off, is kept in the
// response. Any other is logged here with its stack, as the server would do, because it
// may never get to the server.
func (p *Pipeliner) run(response *response, request *http.Request) {
	defer func() {
		panicked := recover()
		if panicked != nil && panicked != http.ErrAbortHandler {
			p.logf("http: panic serving %v: %v\n%s", request.RemoteAddr, panicked, debug.Stack())
			panicked = http.ErrAbortHandler
		}
		response.finish(panicked)
	}()
	p.handler.ServeHTTP(response, request)
}

// logf writes to the log of the server.
func (p *Pipeliner) logf(format string, values ...any) {
	if p.server.ErrorLog == nil {
		log.Printf(format, values...)
		return
	}
	p.server.ErrorLog.Printf(format, values...)
}
