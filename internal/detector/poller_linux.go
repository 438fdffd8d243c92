package detector

import (
	"context"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxEvents is the maximum number of connections whose end is read at a time.
const maxEvents = 64

// poller waits for the ends of connections with an epoll instance of its own, which
// reports an end also behind unread bytes. Its descriptor is polled by the Go runtime, so
// that the wait takes no thread.
type poller struct {
	file *os.File
	raw  syscall.RawConn
	// closing makes close safe to call again.
	closing sync.Once
}

func newPoller() (*poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "create an epoll instance")
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		_ = unix.Close(fd)
		return nil, errors.Wrap(err, "make the epoll instance pollable")
	}
	file := os.NewFile(uintptr(fd), "epoll")
	raw, err := file.SyscallConn()
	if err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "poll the epoll instance")
	}
	return &poller{
		file: file,
		raw:  raw,
	}, nil
}

// add makes run report the end of a connection by its token. The kernel removes the
// connection when its descriptor is closed.
func (p *poller) add(socket syscall.RawConn, token uint64) error {
	event := unix.EpollEvent{
		// The reset of a connection is always reported. Edge-triggered, each end is
		// reported once although the connection remains open here.
		Events: unix.EPOLLRDHUP | unix.EPOLLET,
		Fd:     int32(uint32(token)),
		Pad:    int32(uint32(token >> 32)),
	}
	var closed, refused error
	err := p.raw.Control(func(epoll uintptr) {
		closed = socket.Control(func(fd uintptr) {
			refused = unix.EpollCtl(int(epoll), unix.EPOLL_CTL_ADD, int(fd), &event)
		})
	})
	return errors.Join(err, closed, refused)
}

// run calls onEnd with the token of each connection that has ended, until ctx ends or the
// poller is closed.
func (p *poller) run(ctx context.Context, onEnd func(token uint64)) {
	defer context.AfterFunc(ctx, p.close)()
	events := make([]unix.EpollEvent, maxEvents)
	for {
		count := 0
		err := p.raw.Read(func(epoll uintptr) bool {
			count = wait(int(epoll), events)
			return count > 0
		})
		if err != nil {
			return // closed
		}
		for _, event := range events[:count] {
			onEnd(uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32)
		}
	}
}

// wait returns the number of events that are there already.
func wait(epoll int, events []unix.EpollEvent) int {
	for {
		n, err := unix.EpollWait(epoll, events, 0)
		if !errors.Is(err, unix.EINTR) {
			return n
		}
	}
}

func (p *poller) close() {
	p.closing.Do(func() { _ = p.file.Close() })
}
