package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// shortBody is the longest body that is written before the answer is read,
	// in bytes. Longer ones are written beside it: a peer may answer before it
	// has read them.
	shortBody = 64 << 10
	// maxDiscard is how much of an answer to another request is read past, in
	// bytes.
	maxDiscard = 256 << 10
)

// conn is one connection. It carries one request at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	until  time.Time
	// sent is the error of writing the request, or nil while it is written.
	sent atomic.Pointer[sending]
}

// sending is how the writing of a request ended.
type sending struct {
	err error
}

func newConn(raw net.Conn) *conn {
	return &conn{
		raw:    raw,
		reader: bufio.NewReader(raw),
		writer: bufio.NewWriter(raw),
	}
}

// abort has all that waits on the connection fail.
func (c *conn) abort() {
	_ = c.raw.SetDeadline(time.Unix(1, 0))
}

func (c *conn) close() {
	_ = c.raw.Close()
}

// fresh says whether the peer has neither closed the kept connection nor sent
// anything that nobody asked for.
func (c *conn) fresh() bool {
	if time.Now().After(c.until) {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes a request, beside the caller if its body may be long. How that
// ends is found out by reading the answer.
func (c *conn) send(request *http.Request) {
	c.sent.Store(nil)
	write := func() {
		err := request.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		c.sent.Store(&sending{
			err: err,
		})
		if err != nil {
			c.abort()
		}
	}
	if request.ContentLength >= 0 && request.ContentLength <= shortBody {
		write()
		return
	}
	go write()
}

// read reads the next answer.
func (c *conn) read(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			if s := c.sent.Load(); s != nil {
				err = errors.CombineErrors(err, s.err)
			}
			return nil, errors.Wrap(err, "sender: read the answer")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// idle says whether the connection can carry another request: the last one was
// written whole and nothing follows its answer.
func (c *conn) idle() bool {
	s := c.sent.Load()
	return s != nil && s.err == nil && c.reader.Buffered() == 0
}

// discard reads past an answer.
func discard(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("sender: it ends with its connection")
	}
	_, err := io.CopyN(io.Discard, response.Body, maxDiscard)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.CombineErrors(err, errors.New("sender: it is too long to read past"))
}

// body is an answer's body. It tells its end once it has been read or left.
type body struct {
	io.ReadCloser
	// left is the number of bytes to come, or -1 if that is not known.
	left  int64
	end   func(whole bool)
	ended bool
	whole bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if errors.Is(err, io.EOF) || b.left == 0 {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	err := error(nil)
	if b.whole || b.left == 0 {
		err = b.ReadCloser.Close()
	}
	b.end(b.whole || b.left == 0)
	return err
}
