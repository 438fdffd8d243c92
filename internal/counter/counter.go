// Package counter counts the bytes of control traffic at the sockets.
package counter

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// A Counter counts the control traffic of one process. Its methods may be called
// from any goroutine.
type Counter struct {
	bytesIn      prometheus.Counter
	bytesOut     prometheus.Counter
	messageBytes *prometheus.CounterVec
	accepted     prometheus.Counter
	invalid      *prometheus.CounterVec
}

// New returns a Counter whose metrics are registered with registry.
func New(registry prometheus.Registerer) *Counter {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflymoor_control_bytes_total",
		Help: "Bytes of control traffic at the sockets, by direction.",
	}, []string{"direction"})
	c := &Counter{
		bytesIn:  bytes.WithLabelValues("in"),
		bytesOut: bytes.WithLabelValues("out"),
		messageBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_sent_message_bytes_total",
			Help: "Bytes of messages sent to other processes, by kind.",
		}, []string{"kind"}),
		accepted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_control_connections_total",
			Help: "Control connections accepted.",
		}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_invalid_messages_total",
			Help: "Messages of links of which records were left out, because they cannot be encoded or decoded, by direction.",
		}, []string{"direction"}),
	}
	registry.MustRegister(bytes, c.messageBytes, c.accepted, c.invalid)
	return c
}

// CountSent counts one sent message of the given kind and size in bytes.
func (c *Counter) CountSent(kind string, size int) {
	c.messageBytes.WithLabelValues(kind).Add(float64(size))
}

// CountInvalid counts one message in the given direction that could not be encoded or
// decoded in full.
func (c *Counter) CountInvalid(direction string) {
	c.invalid.WithLabelValues(direction).Inc()
}

// CountAccepted counts one accepted connection.
func (c *Counter) CountAccepted() {
	c.accepted.Inc()
}

// Wrap returns a connection that counts the bytes of conn. A read fails if it
// waits longer than idleTimeout. If idleTimeout is zero, reads have no time limit.
func (c *Counter) Wrap(conn net.Conn, idleTimeout time.Duration) net.Conn {
	return &countingConn{
		Conn:        conn,
		counter:     c,
		idleTimeout: idleTimeout,
	}
}

type countingConn struct {
	net.Conn
	counter     *Counter
	idleTimeout time.Duration
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.idleTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.counter.bytesIn.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytesOut.Add(float64(n))
	return n, err
}
