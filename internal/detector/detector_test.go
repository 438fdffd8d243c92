package detector

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// waitLimit bounds the time until a close has arrived over the loopback interface.
const waitLimit = 5 * time.Second

// newDetector returns a Detector that does not run.
func newDetector(t *testing.T) *Detector {
	t.Helper()
	d, err := New(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// TestHasLeft guards against callers that are not noticed to have left, and against
// callers that are taken to have left while they wait for their response.
func TestHasLeft(t *testing.T) {
	for name, leave := range map[string]func(conn *net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"half":  (*net.TCPConn).CloseWrite,
		"reset": func(conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			contexts := make(chan context.Context)
			release := make(chan struct{})
			server := &http.Server{
				ReadHeaderTimeout: waitLimit,
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
					contexts <- request.Context()
					<-release
				}),
			}
			newDetector(t).Attach(server)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			defer close(release)
			raw, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = raw.Close() }()
			// The unread body keeps the server from reading the end of the connection.
			_, err = io.WriteString(raw, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
			is.NoErr(err)
			ctx := <-contexts
			is.True(!HasLeft(ctx))
			conn, ok := raw.(*net.TCPConn)
			is.True(ok)
			is.NoErr(leave(conn))
			for end := time.Now().Add(waitLimit); !HasLeft(ctx); time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // the departure is detected
			}
			is.NoErr(ctx.Err()) // before the server has noticed it
			is.True(HasLeft(context.WithoutCancel(ctx)))
			is.True(!HasLeft(Detach(ctx)))
		})
	}
}

// TestUnknownConnection guards against calls without a socket that are given up.
func TestUnknownConnection(t *testing.T) {
	is := is.New(t)
	is.True(!HasLeft(t.Context()))
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	is.Equal(SocketOf(server), nil)
}
