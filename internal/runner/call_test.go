package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/caller"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/detector"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
	"github.com/fireflymoor/fireflymoor/internal/target"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

// fixedViewer always provides the same view.
type fixedViewer struct {
	view fireflymoor.View
}

// View implements fireflymoor.Viewer.
func (f *fixedViewer) View() fireflymoor.View {
	return f.view
}

// callPath holds the URLs of the paths of a call: directly to the
// target, through one node, through two nodes, and through a node whose call the
// second node refuses. All servers run in this process.
type callPath struct {
	direct   string
	oneNode  string
	twoNodes string
	refused  string
}

// newCallPath returns the paths to targets that serve calls with the given functions.
func newCallPath(b testing.TB, serve ...http.HandlerFunc) callPath {
	addresses := make([]string, len(serve))
	for i := range serve {
		server := httptest.NewServer(serve[i])
		b.Cleanup(server.Close)
		addresses[i] = server.Listener.Addr().String()
	}
	return newCallPathTo(b, addresses...)
}

// newCallPathTo returns the paths to targets that listen at the given addresses.
func newCallPathTo(b testing.TB, targets ...string) callPath {
	log := zerolog.New(diode.NewWriter(io.Discard, maxQueuedLogLines, 0, func(int) {}))
	dial := dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry()))
	registry := target.NewRegistry("far", time.Hour, log, func([]*messenger.Target, []*messenger.Departure) {}, func(context.Context) error { return nil })
	for i := range targets {
		registry.Announce(target.Announcement{
			ID:      "target" + strconv.Itoa(i),
			Service: "service",
			Address: targets[i],
			Slots:   1000,
		}, time.Now())
	}
	local := target.NewServer(registry, annotator.NewDialect(), dial, shaper.New(0, prometheus.NewRegistry()))
	nodePacker := packer.New("far")
	farAddress := serveHandler(b, nodePacker.Handler(receiver.New(func(boot uint64) bool { return boot == 1 }, local, registrar.New(), log)))
	fullAddress := serveHandler(b, nodePacker.Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(annotator.CallID, request.Header.Get(annotator.CallID))
		receiver.Refuse(w, http.StatusServiceUnavailable, fireflymoor.NotRun, limiter.ErrFull.Error())
	})))
	handler := func(node, address string) http.Handler {
		return caller.New(caller.Options{
			Node:    node,
			Dialect: annotator.NewDialect(),
			Viewer: &fixedViewer{
				view: newTargetView(address, len(targets)),
			},
			Balancer:    balancer.NewTwoChoices(),
			Forwarder:   forwarder.New(node, local, forwarder.NewRemote(dial, nodePacker)),
			Tracker:     tracker.New("node", "zone"),
			Ejector:     ejector.New(),
			Budget:      retrier.NewBudget(),
			RefusalRate: retrier.NewRefusalRate(),
			Metrics:     caller.NewMetrics(prometheus.NewRegistry()),
			Log:         log,
			RouteLog:    log,
			Decisions:   true,
		})
	}
	return callPath{
		direct:   "http://" + targets[len(targets)-1] + "/x",
		oneNode:  "http://" + serveHandler(b, handler("far", farAddress)) + "/x",
		twoNodes: "http://" + serveHandler(b, handler("near", farAddress)) + "/x",
		refused:  "http://" + serveHandler(b, handler("near", fullAddress)) + "/x",
	}
}

// newTargetView returns a view of a node's targets.
func newTargetView(address string, targets int) fireflymoor.View {
	configuration := fireflymoor.NewConfiguration("team",
		[]fireflymoor.Service{{
			Name:  "service",
			Slots: 1000,
		}},
		[]fireflymoor.Route{{
			Name:       "route",
			PathPrefix: "/",
			Service:    "service",
			Timeout:    10 * time.Second,
			Retries:    2,
			Idempotent: []string{http.MethodGet, http.MethodPut},
			MaxBody:    8 << 20,
		}},
		fireflymoor.Limits{
			RetryBudget: 20,
			EjectShare:  30,
		})
	all := make([]fireflymoor.Target, targets)
	for i := range all {
		all[i] = fireflymoor.Target{
			ID:      "far/target" + strconv.Itoa(i),
			Service: "service",
			Node:    "far",
			Boot:    1,
			Zone:    "zone",
			Team:    "team",
			Address: address,
			Slots:   1000,
		}
	}
	return fireflymoor.NewView(configuration.WithNumber(1), all)
}

// newTestServer returns a server like those of a process and its listener. The detector runs
// until the test ends.
func newTestServer(b testing.TB, listener net.Listener, handler http.Handler) (*http.Server, net.Listener) {
	departures, err := detector.New(prometheus.NewRegistry())
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go departures.Run(ctx)
	return newServer(departures, handler), departures.Wrap(listener)
}

func serveHandler(b testing.TB, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s, watched := newTestServer(b, listener, handler)
	s.Protocols = &http.Protocols{}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true) // as on the callers' port
	go func() { _ = s.Serve(watched) }()
	b.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

// BenchmarkCall measures calls directly to a target, through the target's node,
// through two nodes, and calls that the second node refuses. All run in one
// process, sequentially and in parallel.
func BenchmarkCall(b *testing.B) {
	body := []byte("answer")
	path := newCallPath(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body)
	})
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		},
	}
	var failed atomic.Int64
	get := func(url string, status int) {
		response, err := client.Get(url)
		if err != nil {
			failed.Add(1)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != status {
			failed.Add(1)
		}
	}
	defer func() {
		if failed.Load() > 0 {
			b.Errorf("%d calls failed", failed.Load())
		}
	}()
	for _, bc := range []struct {
		name, url string
		status    int
	}{
		{name: "direct", url: path.direct, status: http.StatusOK},
		{name: "one-node", url: path.oneNode, status: http.StatusOK},
		{name: "two-nodes", url: path.twoNodes, status: http.StatusOK},
		{name: "refused", url: path.refused, status: http.StatusServiceUnavailable},
	} {
		b.Run(bc.name+"/one-by-one", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				get(bc.url, bc.status)
			}
		})
		b.Run(bc.name+"/side-by-side", func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					get(bc.url, bc.status)
				}
			})
		})
	}
}
