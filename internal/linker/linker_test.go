package linker

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// panickingServer panics in the first call and answers all others.
type panickingServer struct {
	messenger.DRPCOverlayUnimplementedServer

	calls atomic.Int64
}

// ReportHeld implements messenger.DRPCOverlayServer.
func (s *panickingServer) ReportHeld(context.Context, *messenger.HeldReport) (*messenger.Empty, error) {
	if s.calls.Add(1) == 1 {
		panic("malformed")
	}
	return &messenger.Empty{}, nil
}

// TestPanicInCallIsContained makes a call panic. Its caller must get an error, the
// panic must be reported, and the next call must be answered.
func TestPanicInCallIsContained(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	count := counter.New(prometheus.NewRegistry())
	mux := NewMux()
	is.NoErr(messenger.DRPCRegisterOverlay(mux, &panickingServer{}))
	panics := make(chan any, 1)
	go func() {
		_ = Serve(ctx, listener, ServerOptions{
			Mux:     mux,
			Counter: count,
			OnPanic: func(value any, _ []byte) { panics <- value },
		})
	}()
	client := NewClient(dialer.New("127.0.0.1:0", count))
	report := func() error {
		return client.Call(ctx, listener.Addr().String(), func(conn drpc.Conn) error {
			_, err := messenger.NewDRPCOverlayClient(conn).ReportHeld(ctx, &messenger.HeldReport{})
			return err
		})
	}
	is.True(report() != nil)
	is.Equal(<-panics, "malformed")
	is.NoErr(report())
}
