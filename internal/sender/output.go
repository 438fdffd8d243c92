package sender

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errReset means that the connection was reset before the end of a response that ends
// with its connection.
var errReset = errors.New("sender: the connection was reset before the end of the answer")

// output writes to a connection and keeps the first error.
type output struct {
	conn net.Conn
	lock sync.Mutex
	err  error
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	n, err := o.conn.Write(p)
	if o.err == nil {
		o.err = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. Without it, a bufio.Writer would write a long body in
// parts of the size of its buffer.
func (o *output) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{o}, source)
}

// firstError returns the error of the first write that has failed, after the write that is
// in progress.
func (o *output) firstError() error {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.err
}

// peerEnded reports whether a write has failed because the peer has ended the connection.
func (o *output) peerEnded() bool {
	return errors.IsAny(o.firstError(), unix.EPIPE, unix.ECONNRESET)
}

// checkEnd returns an error if the end of the stream that a read has found is not that of
// the peer's stream. The kernel reports a reset only once: if it does so to a write,
// reads find the end of the stream. A write fails with EPIPE if the reset followed the
// end of the peer's stream.
func (c *conn) checkEnd() error {
	if isHalfClosed(c.raw) {
		return nil // a write may be in progress for long
	}
	err := c.output.firstError()
	if err == nil || errors.Is(err, unix.EPIPE) {
		return nil
	}
	return errors.CombineErrors(errReset, err)
}

// isHalfClosed reports whether the peer has closed its side of a connection and has not
// reset it. It reports false if that is not known.
func isHalfClosed(raw net.Conn) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	halfClosed := false
	err = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		halfClosed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && halfClosed
}
