package linker

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcwire"

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const linkMethod = "/fireflymoor.messenger.Overlay/Link"

// holdingServer runs each call until release is closed, except the calls without a
// name.
type holdingServer struct {
	messenger.DRPCOverlayUnimplementedServer

	release chan struct{}
	running atomic.Int64
}

// ReportHeld implements messenger.DRPCOverlayServer.
func (s *holdingServer) ReportHeld(_ context.Context, report *messenger.HeldReport) (*messenger.Empty, error) {
	if report.GetName() != "" {
		s.running.Add(1)
		<-s.release
	}
	return &messenger.Empty{}, nil
}

// Link implements messenger.DRPCOverlayServer.
func (*holdingServer) Link(s messenger.DRPCOverlay_LinkStream) error {
	for {
		if _, err := s.Recv(); err != nil {
			return err
		}
	}
}

// pipeListener accepts the ends of pipes, each with another address. It counts the bytes
// that are read from them, and those read from the ones that are open.
type pipeListener struct {
	accepted chan net.Conn
	errors   chan error
	closed   chan struct{}
	once     sync.Once
	read     atomic.Int64
	held     atomic.Int64
	count    byte
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		return nil, err
	default:
	}
	select {
	case conn := <-l.accepted:
		l.count++
		return &countedPipe{
			Conn:     conn,
			listener: l,
			address: &net.TCPAddr{
				IP: net.IPv4(127, 0, 0, l.count),
			},
		}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type countedPipe struct {
	net.Conn
	listener *pipeListener
	address  net.Addr
	held     atomic.Int64
}

func (p *countedPipe) RemoteAddr() net.Addr { return p.address }

func (p *countedPipe) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.listener.read.Add(int64(n))
	p.listener.held.Add(int64(n))
	p.held.Add(int64(n))
	return n, err
}

func (p *countedPipe) Close() error {
	p.listener.held.Add(-p.held.Swap(0))
	return p.Conn.Close()
}

// overlay is a server whose clients connect by pipes.
type overlay struct {
	listener *pipeListener
	server   *holdingServer
	refused  chan string
	messages *acceptor.Budget
}

// newOverlay starts a server. Its goroutines end with the test.
func newOverlay(t *testing.T, connections int, messageMemory int64, failures ...error) *overlay {
	t.Helper()
	o := &overlay{
		listener: &pipeListener{
			accepted: make(chan net.Conn),
			errors:   make(chan error, len(failures)),
			closed:   make(chan struct{}),
		},
		server: &holdingServer{
			release: make(chan struct{}),
		},
		refused:  make(chan string, 100),
		messages: acceptor.NewBudget(messageMemory),
	}
	for _, err := range failures {
		o.listener.errors <- err
	}
	mux := NewMux()
	is.New(t).NoErr(messenger.DRPCRegisterOverlay(mux, o.server))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(ctx, o.listener, ServerOptions{
			Mux:         mux,
			Counter:     counter.New(prometheus.NewRegistry()),
			OnPanic:     func(value any, _ []byte) { panic(value) },
			Connections: connections,
			Messages:    o.messages,
			OnRefusal:   func(limit, _ string) { o.refused <- limit },
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return o
}

// dial connects a client.
func (o *overlay) dial(t *testing.T) net.Conn {
	t.Helper()
	local, remote := net.Pipe()
	o.listener.accepted <- remote
	t.Cleanup(func() { _ = local.Close() })
	return local
}

// report makes a call.
func report(conn net.Conn, name, text string) error {
	c := drpcconn.NewWithOptions(conn, drpcconn.Options{
		Manager: ManagerOptions(),
	})
	_, err := messenger.NewDRPCOverlayClient(c).ReportHeld(context.Background(), &messenger.HeldReport{
		Name:    name,
		Refusal: text,
	})
	return err
}

// readsEnd reports whether the server has closed a connection.
func readsEnd(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.Copy(io.Discard, conn)
	return err == nil
}

func frame(kind drpcwire.Kind, message uint64, done bool, data []byte) []byte {
	return drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID:   drpcwire.ID{Stream: 1, Message: message},
		Kind: kind,
		Done: done,
		Data: data,
	})
}

// TestInvalidFirstFrameIsRefused sends first bytes that are no valid first frame. The
// server read megabytes of them and kept the connection open.
func TestInvalidFirstFrameIsRefused(t *testing.T) {
	header := func(length uint64) []byte {
		return drpcwire.AppendVarint([]byte{byte(drpcwire.KindInvoke)<<1 | 1, 1, 1}, length)
	}
	for name, begin := range map[string][]byte{
		"other protocol":    []byte("GET / HTTP/1.1\r\n\r\n"),
		"unknown method":    frame(drpcwire.KindInvoke, 1, true, []byte("/fireflymoor.messenger.Overlay/Other")),
		"no method":         frame(drpcwire.KindInvoke, 1, true, nil),
		"message":           frame(drpcwire.KindMessage, 1, true, []byte("data")),
		"metadata":          frame(drpcwire.KindInvokeMetadata, 1, true, []byte("data")),
		"incomplete method": frame(drpcwire.KindInvoke, 1, false, []byte(linkMethod)),
		"long method":       header(maxMethodBytes + 1),
		"long frame":        header(maxMessageBytes),
		"endless number":    bytes.Repeat([]byte{byte(drpcwire.KindInvoke)<<1 | 1}, 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOverlay(t, 10, NodeMessageMemory)
				conn := o.dial(t)
				_, err := conn.Write(begin)
				for range 100 {
					if err != nil {
						break
					}
					_, err = conn.Write(bytes.Repeat([]byte{0xff}, 1<<10))
				}
				is.True(err != nil)
				is.True(o.listener.read.Load() <= 4<<10)
				is.Equal(<-o.refused, limitFirstFrame)
				is.NoErr(report(o.dial(t), "", ""))
			})
		})
	}
}

// TestMissingFirstFrameIsRefused keeps connections without a first frame, of which one
// sends some bytes now and then. They were kept open for as long as bytes arrived.
func TestMissingFirstFrameIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOverlay(t, 10, NodeMessageMemory)
		began := time.Now()
		silent, slow := o.dial(t), o.dial(t)
		for _, c := range frame(drpcwire.KindInvoke, 1, true, []byte(linkMethod)) {
			if _, err := slow.Write([]byte{c}); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		is.True(readsEnd(silent))
		is.True(readsEnd(slow))
		is.Equal(<-o.refused, limitFirstFrame)
		is.Equal(<-o.refused, limitFirstFrame)
		is.True(time.Since(began) < 2*firstFrameTimeout)
	})
}

// TestSlowMessageIsRefused sends a large message slowly. It held its memory for as long
// as bytes arrived.
func TestSlowMessageIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOverlay(t, 10, NodeMessageMemory)
		conn := o.dial(t)
		_, err := conn.Write(frame(drpcwire.KindInvoke, 1, true, []byte(linkMethod)))
		is.NoErr(err)
		_, err = conn.Write(frame(drpcwire.KindMessage, 2, false, make([]byte, 1<<20)))
		is.NoErr(err)
		began := time.Now()
		for err == nil && time.Since(began) < 2*messageTimeout {
			time.Sleep(idleTimeout / 2)
			_, err = conn.Write(frame(drpcwire.KindMessage, 2, false, []byte{0}))
		}
		is.True(err != nil)
		is.Equal(<-o.refused, limitMessageTime)
		is.Equal(o.messages.Used(), int64(0))
	})
}

// TestConnectionLimit opens more connections than the limit. Those without a first
// frame are closed first, then those without a call in progress. A call in progress
// is never ended for a new connection.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOverlay(t, 3, NodeMessageMemory)
		results := make(chan error, 3)
		call := func() {
			conn := o.dial(t)
			go func() { results <- report(conn, "node", "") }()
			synctest.Wait()
		}
		call()
		idle := o.dial(t)
		is.NoErr(report(idle, "", ""))
		silent := o.dial(t)
		synctest.Wait()
		call()
		is.Equal(<-o.refused, limitConnections)
		is.True(readsEnd(silent))
		call()
		is.Equal(<-o.refused, limitConnections)
		is.Equal(o.server.running.Load(), int64(3))
		is.True(report(o.dial(t), "", "") != nil)
		is.Equal(<-o.refused, limitConnections)
		close(o.server.release)
		for range 3 {
			is.NoErr(<-results)
		}
		is.NoErr(report(o.dial(t), "", ""))
	})
}

// TestIncompleteMessages sends incomplete messages on many connections, in long or in
// short frames. Their sum was not bounded. Ordinary calls are still answered, and
// large ones after the connections were closed.
func TestIncompleteMessages(t *testing.T) {
	const (
		budget = 4 << 20
		// frameHeaders bounds the bytes of the frames beside their data, which the
		// reader does not keep.
		frameHeaders = 64 << 10
	)
	for name, length := range map[string]int{"long frames": 256 << 10, "short frames": 1 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOverlay(t, 100, budget)
				var conns []net.Conn
				for range 20 {
					conn := o.dial(t)
					conns = append(conns, conn)
					_, err := conn.Write(frame(drpcwire.KindInvoke, 1, true, []byte(linkMethod)))
					is.NoErr(err)
					part := frame(drpcwire.KindMessage, 2, false, make([]byte, length))
					for sent := 0; sent < 512<<10 && err == nil; sent += length {
						_, err = conn.Write(part)
					}
				}
				synctest.Wait()
				is.Equal(<-o.refused, limitMemory)
				is.True(o.listener.held.Load() <= budget/2+frameHeaders)
				is.NoErr(report(o.dial(t), "", strings.Repeat("x", 10<<10)))
				for _, conn := range conns {
					_ = conn.Close()
				}
				synctest.Wait()
				is.NoErr(report(o.dial(t), "", strings.Repeat("x", 1<<20)))
			})
		})
	}
}

// TestLargestMessagesAreAccepted sends the largest messages that replication and the
// distribution of configurations may send at once.
func TestLargestMessagesAreAccepted(t *testing.T) {
	for memory, count := range map[int64]int{NodeMessageMemory: 1, ControlMessageMemory: 2} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			o := newOverlay(t, 10, memory)
			results := make(chan error, count)
			for range count {
				conn := o.dial(t)
				go func() { results <- report(conn, "", strings.Repeat("x", maxMessageBytes-1<<10)) }()
			}
			for range count {
				is.NoErr(<-results)
			}
		})
	}
}

// TestLargeMessagesArePaced sends large messages on several connections at once. Read as
// fast as they arrived, they made the process discard buffers faster than these were
// collected. Small messages are not delayed.
func TestLargeMessagesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, size = 4, 2 << 20
		o := newOverlay(t, 10, NodeMessageMemory)
		began := time.Now()
		results := make(chan error, count)
		for range count {
			conn := o.dial(t)
			go func() { results <- report(conn, "", strings.Repeat("x", size)) }()
		}
		small := o.dial(t)
		is.NoErr(report(small, "", strings.Repeat("x", 10<<10)))
		is.Equal(time.Since(began), time.Duration(0))
		for range count {
			is.NoErr(<-results)
		}
		lasted := time.Since(began)
		is.True(lasted >= count*(size-2*pacedBytes)*time.Second/pacedRate)
		is.True(lasted <= count*size*time.Second/pacedRate)
	})
}

// TestAcceptSurvivesMissingDescriptors makes accepting a connection fail because the
// process has no free descriptor. That ended the server for good.
func TestAcceptSurvivesMissingDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverlay(t, 10, NodeMessageMemory, &net.OpError{Op: "accept", Err: unix.EMFILE}, &net.OpError{Op: "accept", Err: unix.ECONNABORTED})
		is.New(t).NoErr(report(o.dial(t), "", ""))
	})
}

// TestRetainedBufferIsCharged checks that a complete large message is charged until the
// reader of drpc has released its buffer, and a long frame until the connection ends,
// however the bytes are divided among reads.
func TestRetainedBufferIsCharged(t *testing.T) {
	for _, step := range []int{1, 7, 4096} {
		is := is.New(t)
		s := frameScanner{
			methods: map[string]bool{linkMethod: true},
		}
		scan := func(p []byte) {
			for len(p) > 0 {
				n := min(step, len(p))
				s.settle()
				is.True(s.scan(p[:n]))
				p = p[n:]
			}
		}
		const large = 100 << 10
		scan(frame(drpcwire.KindInvoke, 1, true, []byte(linkMethod)))
		for sent := 0; sent < large; sent += maxFrameBytes {
			scan(frame(drpcwire.KindMessage, 2, sent+maxFrameBytes >= large, make([]byte, maxFrameBytes)))
		}
		is.Equal(s.cost(), int64(large))
		for i := range quietPackets {
			scan(frame(drpcwire.KindMessage, uint64(3+i), true, []byte("small")))
		}
		is.Equal(s.cost(), int64(large))
		s.settle()
		is.Equal(s.cost(), int64(0))
		scan(frame(drpcwire.KindMessage, 20, true, make([]byte, large)))
		for i := range quietPackets {
			scan(frame(drpcwire.KindMessage, uint64(21+i), true, []byte("small")))
		}
		s.settle()
		is.Equal(s.cost(), int64(large))
	}
}

var _ drpc.Handler = (*guard)(nil)
