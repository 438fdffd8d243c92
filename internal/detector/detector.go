// Package detector detects that the caller of a request has closed its connection, or
// its sending side.
//
// The server of net/http cancels the context of such a request once a goroutine has
// read the end of the connection. In a busy process that may be long after the end has
// arrived, and for a request with a body not before the body has been read.
package detector

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

type connKey struct{}

// Attach makes HasLeft work for the requests of a server.
func Attach(server *http.Server) {
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, conn)
		}
		if socket := SocketOf(conn); socket != nil {
			ctx = context.WithValue(ctx, connKey{}, socket)
		}
		return ctx
	}
}

// SocketOf returns the socket that a connection wraps, or nil.
func SocketOf(conn net.Conn) syscall.RawConn {
	for {
		switch c := conn.(type) {
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		case syscall.Conn:
			if socket, err := c.SyscallConn(); err == nil {
				return socket
			}
			return nil
		default:
			return nil
		}
	}
}

// Detach returns a context for which HasLeft reports false, for a call that goes on
// without its caller.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(ctx, connKey{}, nil)
}

// HasLeft reports whether the caller of the request that a context belongs to has left.
// It reports false if that is not known: the end of the connection is hidden by bytes
// that have not been read.
func HasLeft(ctx context.Context) bool {
	socket, ok := ctx.Value(connKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	ended := false
	err := socket.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0 || errors.IsAny(err, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT)
	})
	return err != nil || ended // Control fails if this process has closed the socket
}
