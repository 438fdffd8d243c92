package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
)

// failingTarget is a target that aborts calls, and ends if it is told to, and the node's
// server for it.
type failingTarget struct {
	server     *Server
	quarantine *quarantiner.Quarantiner
	reports    chan *messenger.TargetEnds
}

// newFailingTarget returns a target that serves calls until their number has arrived. Then it
// aborts their connections, after it has closed its listener if it ends.
func newFailingTarget(t *testing.T, calls int, ends bool) *failingTarget {
	t.Helper()
	var arrived sync.WaitGroup
	arrived.Add(calls)
	var listener net.Listener
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived.Done()
		arrived.Wait()
		if ends {
			_ = listener.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	listener = worker.Listener
	t.Cleanup(worker.Close)
	f := &failingTarget{
		quarantine: quarantiner.New(),
		reports:    make(chan *messenger.TargetEnds, calls),
	}
	f.quarantine.UseSpread(func(news *messenger.TargetEnds) { f.reports <- news })
	registry := NewRegistry("node", time.Hour, zerolog.Nop(), func([]*messenger.Target, []*messenger.Departure) {}, func(context.Context) error { return nil })
	registry.Announce(Announcement{
		ID:      "target",
		Service: "service",
		Address: listener.Addr().String(),
		Slots:   calls,
	}, time.Now())
	dial := dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry()))
	f.server = NewServer(registry, annotator.NewDialect(), dial, shaper.New(0, prometheus.NewRegistry()))
	f.server.UseQuarantine(f.quarantine)
	return f
}

// call sends calls with the paths at the same time, and returns their errors.
func (f *failingTarget) call(paths ...string) []error {
	results := make([]error, len(paths))
	var group sync.WaitGroup
	for i, path := range paths {
		group.Go(func() {
			request := httptest.NewRequest(http.MethodGet, "http://a"+path, http.NoBody)
			_, _, results[i] = f.server.Forward(context.Background(), fireflymoor.Target{
				ID: "node/target",
			}, request)
		})
	}
	group.Wait()
	return results
}

// TestEndOfTargetNamesAllRequests checks that the requests that a target was serving when it
// ended are reported with one end, which each of the calls learns.
func TestEndOfTargetNamesAllRequests(t *testing.T) {
	is := is.New(t)
	paths := []string{"/a", "/b", "/c"}
	f := newFailingTarget(t, len(paths), true)
	ends := map[uint64]bool{}
	for _, err := range f.call(paths...) {
		ended := &fireflymoor.EndedError{}
		is.True(errors.As(err, &ended))
		ends[ended.End] = true
	}
	is.Equal(len(ends), 1)
	reported := map[uint64]bool{}
	for len(reported) < len(paths) {
		for _, e := range (<-f.reports).GetEnds() {
			is.True(ends[e.GetEnd()])
			for _, request := range e.GetRequests() {
				reported[request] = true
			}
		}
	}
	is.Equal(len(f.quarantine.Entries(time.Now())), len(paths))
}

// TestAbortedCallIsNoEnd checks that calls whose connections a living target aborts are not
// counted as ends.
func TestAbortedCallIsNoEnd(t *testing.T) {
	is := is.New(t)
	f := newFailingTarget(t, 2, false)
	for _, err := range f.call("/a", "/b") {
		is.True(err != nil)
		is.True(!errors.HasType(err, &fireflymoor.EndedError{}))
	}
	is.True(!f.quarantine.IsActive())
}
