package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// hostCharacters are the characters of ordinary hosts and ports.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:[]"

// mode is what the server does with a connection.
type mode int

const (
	// readingHead means that the next bytes are those of a header section.
	readingHead mode = iota
	// headRead means that a header section was read to its end.
	headRead
	// serving means that a request without a body is in progress.
	serving
	// opaque means that the boundaries of requests are not known, because there is a
	// body or another protocol.
	opaque
)

// call is a call that began before it was its request's turn.
type call struct {
	method, uri string
	response    *response
	done        chan struct{}
}

// conn is a connection on which requests are read ahead.
type conn struct {
	net.Conn
	pipeliner *Pipeliner

	lock sync.Mutex
	// changed is signaled when ahead, err or reading changes.
	changed *sync.Cond
	ctx     context.Context
	cancel  context.CancelFunc
	mode    mode
	// line is the length of the current line of a header section that is being read,
	// without its end, and lines is the number of lines before it.
	line, lines int
	// ahead holds the bytes that were read and not yet passed to the server. examined is
	// how many of them belong to requests whose calls have begun.
	ahead    []byte
	examined int
	// taken holds the bytes of the next request that the server has read while it
	// serves the current one.
	taken []byte
	// err is the error that ended the reading ahead, or nil.
	err error
	// reading is set while the connection is being read ahead, and direct while the
	// server reads from it. Only one of them reads at a time.
	reading, direct bool
	// pipelines is set once a request came before the response to the one before.
	pipelines bool
	// holding is set while a request is in progress whose response is held, so that
	// calls may begin behind it.
	holding bool
	// barrier is set if the next request has to wait for its turn.
	barrier bool
	calls   []*call
}

func newConn(raw net.Conn, p *Pipeliner) *conn {
	c := &conn{
		Conn:      raw,
		pipeliner: p,
		ctx:       context.Background(),
		cancel:    func() {},
	}
	c.changed = sync.NewCond(&c.lock)
	return c
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// bind makes the end of the connection cancel its calls.
func (c *conn) bind(ctx context.Context) context.Context {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c.ctx
}

// Read implements net.Conn. It passes no more than the end of a header section to the
// server, which would otherwise keep the next request where it cannot be read ahead.
func (c *conn) Read(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(p) > 1 && (c.mode == headRead || c.mode == serving) {
		// The server reads a single byte while it serves a request without a body. This
		// is a body or another protocol.
		c.mode = opaque
	}
	for len(c.ahead) == 0 && c.err == nil && c.reading {
		c.changed.Wait()
	}
	switch {
	case len(c.ahead) > 0:
		n := copy(p, c.ahead)
		n = c.pass(p[:n])
		c.ahead = c.ahead[n:]
		c.examined = max(c.examined-n, 0)
		return n, nil
	case c.err != nil:
		return 0, c.err
	}
	c.direct = true
	c.lock.Unlock()
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	c.direct = false
	passed := c.pass(p[:n])
	c.ahead = append(c.ahead, p[passed:n]...)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	if n > 0 && c.holding {
		c.readAhead()
	}
	return passed, err
}

// pass records bytes that the server gets and returns how many it may get.
func (c *conn) pass(p []byte) int {
	switch c.mode {
	case readingHead:
		return c.passHead(p)
	case headRead, serving:
		c.taken = append(c.taken, p...)
		if c.mode == serving && len(p) > 0 {
			c.pipelines = true
		}
	}
	return len(p)
}

// passHead returns how many bytes belong to the current header section.
func (c *conn) passHead(p []byte) int {
	for i, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			c.line++
		case c.line > 0:
			c.line = 0
			c.lines++
		case c.lines > 0:
			c.mode = headRead
			return i + 1
		}
	}
	return len(p)
}

// HasBegun reports whether the call of the next request that the server reads has begun.
func (c *conn) HasBegun() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.calls) > 0
}

// begin records that a request is in progress. It returns the request's call if that
// has begun before, and reports whether the response should be held because calls may
// begin while it is in progress.
func (c *conn) begin(request *http.Request) (begun *call, hold bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	known := c.mode == headRead && isEligible(request)
	c.mode = opaque
	if len(c.calls) > 0 {
		begun = c.calls[0]
		if !known || begun.method != request.Method || begun.uri != request.RequestURI {
			// The server and the reading ahead have parsed the same bytes differently.
			// The call must not run again. Close drops those that have begun.
			panic(http.ErrAbortHandler)
		}
		c.calls = slices.Delete(c.calls, 0, 1)
		c.pipeliner.pending.Add(-1)
	}
	if !known {
		c.taken = nil
		return nil, false
	}
	c.mode = serving
	hold = c.pipelines || begun != nil
	c.pipelines = hold || len(c.taken) > 0 || len(c.ahead) > 0
	c.holding = hold
	if hold {
		c.barrier = false
		c.readAhead()
	}
	return begun, hold
}

// end records that a request is no longer in progress.
func (c *conn) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.mode != serving {
		return
	}
	c.mode = readingHead
	c.holding = false
	c.line, c.lines = 0, 0
	// The server has read these bytes of the next header section already.
	c.passHead(c.taken)
	c.taken = nil
}

// isEligible reports whether a request may be in progress together with others of its
// connection.
func isEligible(request *http.Request) bool {
	safe := request.Method == http.MethodGet || request.Method == http.MethodHead
	return safe && request.ContentLength == 0 && len(request.TransferEncoding) == 0 && request.ProtoMajor == 1 && request.ProtoMinor == 1 &&
		len(request.Header["Expect"]) == 0 && len(request.Header["Upgrade"]) == 0 && !request.Close && request.Host != ""
}

// isAccepted reports whether the server is certain to accept a request with a header
// section. http.ReadRequest does not check what the server checks after it: the Host
// line, and the characters of names and values. A request that is not certain to be
// accepted has to wait until the server has read it.
func isAccepted(request *http.Request, head []byte) bool {
	if !strings.HasPrefix(request.RequestURI, "/") {
		return false // the host may come from the URI, without a Host line
	}
	for i, b := range head {
		if b == '\r' && head[i+1] != '\n' || b < ' ' && b != '\t' && b != '\r' && b != '\n' || b == 0x7f {
			return false
		}
	}
	for name := range request.Header {
		if strings.Contains(name, " ") {
			return false
		}
	}
	return strings.Trim(request.Host, hostCharacters) == ""
}

// readAhead begins the calls of complete requests, and reads on in the background.
func (c *conn) readAhead() {
	c.beginCalls()
	if c.reading || c.direct || c.err != nil || !c.mayRead() {
		return
	}
	c.reading = true
	go c.read()
}

// mayRead reports whether more bytes may be read ahead. They may be even while no more
// calls may begin, because some systems would not report the end of the connection
// otherwise: the server does not read on once it has a byte of the next request.
func (c *conn) mayRead() bool {
	return c.holding && len(c.ahead) < maxAheadBytes
}

// read reads ahead until no more bytes may be read ahead, or until the server interrupts
// it by a deadline.
func (c *conn) read() {
	buffer := make([]byte, readSize)
	c.lock.Lock()
	defer c.lock.Unlock()
	for c.mayRead() {
		c.lock.Unlock()
		n, err := c.Conn.Read(buffer)
		c.lock.Lock()
		c.ahead = append(c.ahead, buffer[:n]...)
		c.changed.Broadcast()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if err != nil {
			c.err = err
			c.cancel()
			break
		}
		c.beginCalls()
	}
	c.reading = false
	c.changed.Broadcast()
}

// beginCalls begins the calls of the complete requests that were read ahead.
func (c *conn) beginCalls() {
	for c.holding && !c.barrier && len(c.calls)+1 < c.pipeliner.options.Depth {
		var head []byte
		if len(c.calls) == 0 && c.examined == 0 {
			head = append(head, c.taken...)
		}
		taken := len(head)
		head = append(head, c.ahead[c.examined:]...)
		length := headLength(head)
		if length <= taken {
			return
		}
		if !c.beginCall(head[:length]) {
			c.barrier = true
			return
		}
		c.examined += length - taken
	}
}

// headLength returns the length of the header section with which data begins, or 0 if it
// is not complete.
func headLength(data []byte) int {
	line, lines := 0, 0
	for i, b := range data {
		switch {
		case b == '\r':
		case b != '\n':
			line++
		case line > 0:
			line = 0
			lines++
		case lines > 0:
			return i + 1
		}
	}
	return 0
}

// beginCall begins the call of a request. It reports false if the request has to wait
// for its turn.
func (c *conn) beginCall(head []byte) bool {
	if c.pipeliner.options.Leaving() || c.ctx.Err() != nil {
		return false
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !isEligible(request) || !isAccepted(request, head) {
		return false
	}
	address := c.RemoteAddr().String()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	charge := c.pipeliner.options.Budget.NewCharge(host)
	if !charge.AddHead(len(head), bytes.Count(head, []byte{'\n'})) {
		return false
	}
	request.RemoteAddr = address
	begun := &call{
		method:   request.Method,
		uri:      request.RequestURI,
		response: newResponse(c.ctx, c),
		done:     make(chan struct{}),
	}
	c.calls = append(c.calls, begun)
	c.pipeliner.pending.Add(1)
	c.pipeliner.ahead.Inc()
	// The server, too, cancels the context of a request once its handler has returned.
	ctx, cancel := context.WithCancel(c.ctx)
	request = request.WithContext(ctx)
	go func() {
		defer close(begun.done)
		defer cancel()
		defer charge.Release()
		c.pipeliner.run(begun.response, request)
	}()
	return true
}

// send writes a response to the server's writer. If the response broke off and calls
// behind it have begun, their responses would be lost with the connection, so that the
// caller gets status 502 instead.
func (c *conn) send(w http.ResponseWriter, r *response) {
	switch {
	case r.panicked != nil && (r.streaming || c.endsWith(true)):
		r.release()
		panic(r.panicked)
	case r.panicked != nil:
		r.release()
		w.Header().Set(annotator.Outcome, "unknown")
		http.Error(w, "unknown: the response broke off", http.StatusBadGateway)
	case !r.streaming:
		_ = r.writeHeld(w) // the server notices a broken connection
	}
}

// endsWith reports whether the connection may end with the current response because no
// calls have begun behind it. If it is to end, none begins from then on.
func (c *conn) endsWith(isToEnd bool) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.calls) > 0 {
		return false
	}
	c.holding = c.holding && !isToEnd
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.lock.Lock()
	c.cancel()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.pipeliner.pending.Add(-int64(len(c.calls)))
	for _, begun := range c.calls {
		go func() {
			<-begun.done
			begun.response.release()
		}()
	}
	c.calls = nil
	c.changed.Broadcast()
	c.lock.Unlock()
	return c.Conn.Close()
}
