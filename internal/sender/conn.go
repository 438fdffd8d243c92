package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
)

const (
	// maxInlineBody is the length, in bytes, of the longest body that is written
	// before the response is read. Longer bodies are written concurrently,
	// because a peer may respond before it has read the whole body.
	maxInlineBody = 64 << 10
	// maxDiscard is the maximum number of body bytes that are discarded of a
	// response to another request.
	maxDiscard = 256 << 10
	// maxHeadBytes bounds the head of a response with all informational responses
	// before it. A faulty peer may send a head without end.
	maxHeadBytes = 64 << 10
)

// errHeadTooLong means that a peer sent more than maxHeadBytes and no head of a
// final response.
var errHeadTooLong = errors.New("sender: the head of the answer is too long")

// errNoHeadMemory means that the budget did not allow the head of a response.
var errNoHeadMemory = errors.New("sender: no memory is left for the head of the answer")

// conn is a connection that carries one request at a time.
type conn struct {
	raw     net.Conn
	source  *headLimiter
	reader  *bufio.Reader
	output  *output
	writer  *bufio.Writer
	expires time.Time
	// written is the result of writing the request, or nil while it is being
	// written.
	written atomic.Pointer[writeResult]
	// sending is the sending of a request whose body may be long.
	sending *sending
}

// sending is the sending of a request whose body may be long.
type sending struct {
	// done is closed at its end.
	done chan struct{}
	// err is its result, once it has ended.
	err error
}

// writeResult is the result of writing a request.
type writeResult struct {
	err error
}

func newConn(raw net.Conn, budget *acceptor.Budget) *conn {
	source := &headLimiter{
		source: raw,
	}
	if budget != nil {
		// With the port, so that targets on one machine do not share a part.
		source.charge = budget.NewResponseCharge(raw.RemoteAddr().String())
	}
	out := &output{
		conn: raw,
	}
	return &conn{
		raw:    raw,
		source: source,
		reader: bufio.NewReader(source),
		output: out,
		writer: bufio.NewWriter(out),
	}
}

// headLimiter reads from a connection. While a head is read, it fails after
// maxHeadBytes, or if the budget does not allow the head.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int
	scanner   headScanner
	// charge is nil if there is no budget.
	charge *acceptor.Charge
}

// begin begins to limit a head and all informational responses before it.
func (l *headLimiter) begin() {
	l.limited = true
	l.remaining = maxHeadBytes
	l.release()
}

// next scans and charges the next response, of which some bytes may have been read before.
func (l *headLimiter) next(buffered []byte) error {
	l.scanner = headScanner{}
	return l.observe(buffered)
}

// observe scans and charges the bytes that belong to the head.
func (l *headLimiter) observe(p []byte) error {
	n, lines := l.scanner.scan(p)
	if l.charge != nil && !l.charge.AddHead(n, lines) {
		return errNoHeadMemory
	}
	return nil
}

// release returns the charge for the head to the budget.
func (l *headLimiter) release() {
	if l.charge != nil {
		l.charge.Release()
	}
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if refused := l.observe(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// abort makes all pending reads and writes on the connection fail.
func (c *conn) abort() {
	_ = c.raw.SetDeadline(time.Unix(1, 0))
}

func (c *conn) close() {
	c.source.release()
	_ = c.raw.Close()
}

// canReuse reports whether the idle connection has not expired, and the peer has
// neither closed it nor sent unsolicited data.
func (c *conn) canReuse() bool {
	if time.Now().After(c.expires) {
		return false
	}
	raw, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// send writes a request. If the body may be long, it does so in a separate
// goroutine. A write error aborts the connection, and read returns it. But if the peer has
// ended the connection meanwhile, reads find its end, and before that the response which the
// peer may have sent.
func (c *conn) send(request *http.Request) {
	c.written.Store(nil)
	write := func() error {
		err := request.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		c.written.Store(&writeResult{
			err: err,
		})
		if err != nil && (!IsLong(request) || !c.output.peerEnded()) {
			c.abort()
		}
		return err
	}
	if !IsLong(request) {
		_ = write()
		return
	}
	s := &sending{
		done: make(chan struct{}),
	}
	c.sending = s
	go func() {
		defer close(s.done)
		s.err = write()
	}()
}

// IsLong reports whether the body of a request may be too long to be written
// before the response is read.
func IsLong(request *http.Request) bool {
	return request.ContentLength < 0 || request.ContentLength > maxInlineBody
}

// read reads the next final response and skips informational ones.
func (c *conn) read(request *http.Request) (*http.Response, error) {
	c.source.begin()
	defer func() { c.source.limited = false }()
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if err := c.source.next(buffered); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			if s := c.written.Load(); s != nil {
				err = errors.CombineErrors(err, s.err)
			}
			return nil, errors.Wrap(err, "sender: read the answer")
		}
		if err := checkStatus(response); err != nil {
			return nil, err
		}
		if err := checkNames(response.Header); err != nil {
			return nil, err
		}
		if err := c.source.scanner.check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// checkStatus returns an error if a status is not valid (RFC 9110, section 15), if its reason
// phrase holds a control byte (RFC 9112, section 4), if it switches to another protocol,
// which no request asks for, or if an informational response has a body. What follows such
// a head cannot be told apart from another response. http.ReadResponse accepts signs, all
// numbers of three characters, and all bytes in a reason phrase.
func checkStatus(response *http.Response) error {
	first := response.Status[0]
	switch {
	case first < '1' || first > '5', response.StatusCode == http.StatusSwitchingProtocols,
		strings.ContainsFunc(response.Status, isControl):
		return errors.Newf("sender: the answer has the invalid status %q", response.Status)
	case response.StatusCode >= http.StatusOK:
		return nil
	case response.Header.Get("Content-Length") != "", len(response.TransferEncoding) > 0:
		return errors.Newf("sender: the informational answer %q has a body", response.Status)
	}
	return nil
}

// isControl reports whether a character is a control character other than a tab.
func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == '\x7f'
}

// isIdle reports whether the connection can carry another request: the last
// request was written completely, and no data is buffered after its response.
func (c *conn) isIdle() bool {
	s := c.written.Load()
	return s != nil && s.err == nil && c.reader.Buffered() == 0
}

// discard reads and discards the body of a response. It returns an error if the
// body ends only with the connection, or is too long to discard.
func discard(response *http.Response) error {
	if response.Close || endsWithConn(response) {
		return errors.New("sender: it ends with its connection")
	}
	_, err := io.CopyN(io.Discard, response.Body, maxDiscard)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.CombineErrors(err, errors.New("sender: it is too long to read past"))
}

// endsWithConn reports whether the end of the connection is the end of the body of a
// response.
func endsWithConn(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// body is the body of a response. Its first Close calls onEnd with whether the
// body was read completely.
type body struct {
	io.ReadCloser
	// remaining is the number of unread bytes, or -1 if the length is unknown.
	remaining int64
	// checkEnd returns an error if the end that a read has found is not that of the
	// body, or if the trailers are not valid.
	checkEnd func() error
	onEnd    func(complete bool)
	// err is the result of the last read. The kernel reports a reset only once.
	err      error
	ended    bool
	complete bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	if errors.Is(err, io.EOF) {
		if endErr := b.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	if errors.Is(err, io.EOF) || b.remaining == 0 {
		b.complete = true
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	err := error(nil)
	if b.complete || b.remaining == 0 {
		err = b.ReadCloser.Close()
	}
	b.onEnd(b.complete || b.remaining == 0)
	return err
}
