// Package resetter makes connections end with a reset while a response is written whose
// end is the end of its connection, as it is for HTTP/1.0. A client cannot tell any other
// end of the connection from that of the response: one that the server of net/http
// closes, or one that the kernel closes for a process that has ended.
package resetter

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/fireflymoor/fireflymoor/internal/detector"
)

type connKey struct{}

// Attach makes Arm work for the requests of a server.
func Attach(server *http.Server) {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		if socket := detector.SocketOf(conn); socket != nil {
			ctx = context.WithValue(ctx, connKey{}, socket)
		}
		return ctx
	}
}

// Arm makes the connection of the request that a context belongs to end with a reset. The
// function that it returns ends that, and must be called once the response has been
// written. Arm has no effect if the connection is not known.
func Arm(ctx context.Context) (disarm func()) {
	socket, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return func() {}
	}
	setLinger(socket, true)
	return func() { setLinger(socket, false) }
}

// setLinger sets whether the socket discards what has not been sent when it is closed, and
// resets the connection. An error means that it is closed already.
func setLinger(socket syscall.RawConn, reset bool) {
	linger := &unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	_ = socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, linger)
	})
}
