// Package counter counts the bytes of control traffic at the sockets.
package counter

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// A Counter counts the control bytes of one process.
type Counter struct {
	in          prometheus.Counter
	out         prometheus.Counter
	frame       *prometheus.CounterVec
	connections prometheus.Counter
}

// New returns a new Counter whose counts are in registry.
func New(registry prometheus.Registerer) *Counter {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflymoor_control_bytes_total",
		Help: "Bytes of control traffic at the sockets, by direction.",
	}, []string{"direction"})
	c := &Counter{
		in:  bytes.WithLabelValues("in"),
		out: bytes.WithLabelValues("out"),
		frame: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_sent_message_bytes_total",
			Help: "Bytes of messages sent to other processes, by kind.",
		}, []string{"kind"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_control_connections_total",
			Help: "Control connections accepted.",
		}),
	}
	registry.MustRegister(bytes, c.frame, c.connections)
	return c
}

// Sent counts one sent message.
func (c *Counter) Sent(kind string, size int) {
	c.frame.WithLabelValues(kind).Add(float64(size))
}

// Accepted counts one accepted connection.
func (c *Counter) Accepted() {
	c.connections.Inc()
}

// Wrap returns conn with its bytes counted. A read that waits longer than
// idle fails, unless idle is zero.
func (c *Counter) Wrap(conn net.Conn, idle time.Duration) net.Conn {
	return &countedConn{
		Conn:    conn,
		counter: c,
		idle:    idle,
	}
}

type countedConn struct {
	net.Conn
	counter *Counter
	idle    time.Duration
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.counter.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(float64(n))
	return n, err
}
