package acceptor

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// refusalTimeout bounds the time for writing a refusal.
	refusalTimeout = 100 * time.Millisecond
	// refusal is the response to a request whose header section was not accepted.
	// The request has not been read, so that it has not run.
	refusal = "HTTP/1.1 503 Service Unavailable\r\n" +
		"Fireflymoor-Outcome: not-run\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var errRefused = errors.New("acceptor: the header section is refused")

// conn is an accepted connection. While a header section is read from it, the bytes
// are charged to the budget.
type conn struct {
	net.Conn
	listener *Listener
	// element is the connection's place among those without a request in progress,
	// or nil, and forgotten is set once it is closed, or is about to be closed to make
	// room for another one. The listener's lock guards both.
	element   *list.Element
	forgotten bool

	lock sync.Mutex
	// reading is set while a header section is read, rather than a body.
	reading bool
	scanner scanner
	charge  charge
	closed  bool
}

func newConn(raw net.Conn, l *Listener) *conn {
	address := raw.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	return &conn{
		Conn:     raw,
		listener: l,
		reading:  true,
		charge: charge{
			address: address,
		},
	}
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. It refuses the request and fails once its header section
// exceeds a limit.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if limit := c.observe(p[:n]); limit != "" {
		c.listener.recordRefusal(limit, c.charge.address)
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Write([]byte(refusal))
		_ = c.Close()
		return 0, errRefused
	}
	return n, err
}

// observe charges the bytes that belong to a header section. It returns the limit
// that they exceed, or "".
func (c *conn) observe(p []byte) string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.reading || c.scanner.ended || c.closed {
		return ""
	}
	n, lines := c.scanner.scan(p)
	switch {
	case c.scanner.leading > maxLeadingBytes:
		return limitEmptyLines
	case !c.listener.budget.grow(&c.charge, int64(n*byteFactor+lines*lineCost)):
		return limitMemory
	}
	return ""
}

// beginRequest marks the header section as read. It reports whether the request must
// be the last one of the connection because it has, or may have had, both headers that
// determine the length of its body. It returns false for ok if the budget does not
// allow the header section.
func (c *conn) beginRequest(request *http.Request) (last, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.reading = false
	ok = true
	scanned := c.scanner.isHeadOf(request)
	if !scanned && !c.closed {
		ok = c.listener.budget.grow(&c.charge, headerCost(request.Header))
	}
	last = len(request.TransferEncoding) > 0 && (!scanned || c.scanner.length)
	return last, ok
}

// endRequest releases the charge of the request that has ended.
func (c *conn) endRequest() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.listener.budget.release(&c.charge)
	if !c.scanner.ended || !c.scanner.preface {
		c.scanner.reset()
		c.reading = true
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.lock.Lock()
	first := !c.closed
	c.closed = true
	if first {
		c.listener.budget.release(&c.charge)
	}
	c.lock.Unlock()
	if first {
		c.listener.forget(c)
	}
	return c.Conn.Close()
}
