// Package acceptor bounds what clients can make a process hold: connections, and the
// memory for the header sections of their requests.
package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Limits that a client may exceed, as labels of the metric.
const (
	limitConnections = "connections"
	limitMemory      = "head-memory"
	limitEmptyLines  = "empty-lines"
)

// maxStreams is the maximum number of concurrent streams of an HTTP/2 connection.
const maxStreams = 100

// Options are the dependencies and limits of an Acceptor.
type Options struct {
	// Connections is the maximum number of connections of one listener.
	Connections int
	// Budget bounds the memory for header sections, for all listeners of the process.
	Budget *Budget
	// Registry gets the metrics.
	Registry *prometheus.Registry
	// Log receives a line for refused clients. Its rate must be limited.
	Log zerolog.Logger
}

// An Acceptor creates listeners that share limits.
type Acceptor struct {
	options Options
	refused *prometheus.CounterVec
}

// New returns a new Acceptor.
func New(options Options) *Acceptor {
	a := &Acceptor{
		options: options,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_clients_refused_total",
			Help: "Connections and requests that were refused because they exceeded a limit on clients.",
		}, []string{"listener", "limit"}),
	}
	options.Registry.MustRegister(a.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflymoor_clients_head_memory_bytes",
		Help: "Estimated memory for the header sections of requests that are being read or are in progress.",
	}, func() float64 {
		return float64(options.Budget.Used())
	}))
	return a
}

// A Listener is a net.Listener with limits on its connections.
type Listener struct {
	net.Listener
	acceptor *Acceptor
	budget   *Budget
	name     string

	lock  sync.Mutex
	count int
	// waiting holds the connections without a request in progress, those that have
	// been without one for longest first.
	waiting *list.List
}

// Wrap returns a listener that accepts the connections of another one, within the
// limits. The name identifies it in metrics.
func (a *Acceptor) Wrap(listener net.Listener, name string) *Listener {
	return &Listener{
		Listener: listener,
		acceptor: a,
		budget:   a.options.Budget,
		name:     name,
		waiting:  list.New(),
	}
}

// Accept implements net.Listener. At the limit on connections, it closes the
// connection that has been without a request for longest, or refuses the new one if
// all have one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

func (l *Listener) admit(raw net.Conn) net.Conn {
	c := newConn(raw, l)
	l.lock.Lock()
	var evicted *conn
	full := l.count >= l.acceptor.options.Connections
	if oldest := l.waiting.Front(); full && oldest != nil {
		evicted, _ = oldest.Value.(*conn)
		l.waiting.Remove(oldest)
		evicted.element = nil
		evicted.forgotten = true
	}
	if !full || evicted != nil {
		l.count++
		c.element = l.waiting.PushBack(c)
	}
	l.lock.Unlock()
	if full {
		l.recordRefusal(limitConnections, c.charge.address)
	}
	switch {
	case evicted != nil:
		_ = evicted.Close()
	case full:
		_ = raw.Close()
		return nil
	}
	return c
}

// forget removes a closed connection.
func (l *Listener) forget(c *conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.count--
	c.forgotten = true
	l.unlist(c)
}

func (l *Listener) unlist(c *conn) {
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// recordRefusal counts and logs a client that exceeded a limit.
func (l *Listener) recordRefusal(limit, address string) {
	l.acceptor.Refuse(l.name, limit, address)
}

type connKey struct{}

// Protect applies the limits of the listener to a server, which must serve only this
// listener. It must be called before the server serves.
func (l *Listener) Protect(server *http.Server) {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = l.connState
	server.Handler = l.handler(server.Handler)
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
	}
}

// connState follows the requests of a connection.
func (l *Listener) connState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		l.beginRequest(c)
	case http.StateIdle:
		c.endRequest()
		l.endRequest(c)
	}
}

// beginRequest excludes a connection from being closed to make room for others. It
// reports false if it was chosen for that before, or is closed.
func (l *Listener) beginRequest(c *conn) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.unlist(c)
	return !c.forgotten
}

// endRequest records that a connection has no request in progress, unless the call of its
// next request has begun.
func (l *Listener) endRequest(c *conn) {
	if c.hasBegun() {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if c.element == nil && !c.forgotten {
		c.element = l.waiting.PushBack(c)
	}
}

// handler wraps the handler of a server. A request that has both Content-Length and
// Transfer-Encoding is the last one of its connection (RFC 9112, section 6.1).
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		c, ok := request.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case request.ProtoMajor > 1:
			if !l.serveStream(w, request, c, next) {
				refuse(w)
			}
			return
		case !l.beginRequest(c):
			// Its response could not be delivered.
			w.Header().Set("Connection", "close")
			refuse(w)
			return
		default:
			// The server reports no state for a request that it had read together with
			// the one before, and its header section may not have been charged.
			last, ok := c.beginRequest(request)
			if last || !ok {
				w.Header().Set("Connection", "close")
			}
			if !ok {
				l.recordRefusal(limitMemory, c.charge.address)
				refuse(w)
				return
			}
		}
		next.ServeHTTP(w, request)
	})
}

// refuse responds to a request that has not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Fireflymoor-Outcome", "not-run")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "not-run: the header section is refused", http.StatusServiceUnavailable)
}

// headerCost returns the cost of a header section that was not scanned.
func headerCost(header http.Header) int64 {
	cost := 0
	for name, values := range header {
		for _, value := range values {
			cost += lineCost + byteFactor*(len(name)+len(value))
		}
	}
	return int64(cost)
}

// serveStream serves a request of an HTTP/2 connection. It reports false if the
// budget does not allow its header section.
func (l *Listener) serveStream(w http.ResponseWriter, request *http.Request, c *conn, next http.Handler) bool {
	held := charge{
		address: c.charge.address,
	}
	if !l.budget.grow(&held, headerCost(request.Header)) {
		l.recordRefusal(limitMemory, held.address)
		return false
	}
	defer l.budget.release(&held)
	next.ServeHTTP(w, request)
	return true
}
