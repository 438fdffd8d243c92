package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/caller"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
	"github.com/fireflymoor/fireflymoor/internal/target"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

const (
	// departureLimit is how long after the departure of a caller its call may still
	// reach a target, or be running there if it may repeat.
	departureLimit = 500 * time.Millisecond
	// settleTime is the time for calls to get where they can get without waiting.
	settleTime = 300 * time.Millisecond
	// queriedTime is longer than the forwarding node waits before it queries the state
	// of a call.
	queriedTime = 1200 * time.Millisecond
	// abandonedCallers is the number of callers that leave before they are accepted.
	abandonedCallers = 40
)

// departureFixture is a target with a number of slots, its node, and a node that
// forwards calls to it. All run in this process.
type departureFixture struct {
	is *is.I
	// near and far are the handlers for calls from callers, of a node without a target
	// and of the target's node.
	near, far http.Handler
	local     *target.Server
	// arrived counts the calls that reached the target by their paths, and running
	// those that it works on. They run until their connection ends, or until block is
	// closed.
	arrived [2]atomic.Int64
	running atomic.Int64
	block   chan struct{}
	unblock func()
}

// The paths of calls, which are indexes of arrived.
const (
	pathBlock = iota
	pathProbe
)

func newDepartureFixture(t *testing.T, slots int) *departureFixture {
	t.Helper()
	return newLinkedFixture(t, slots, func(address string) string { return address })
}

// newLinkedFixture returns a fixture whose nodes are connected by link, which returns the
// address at which the target's node is reached.
func newLinkedFixture(t *testing.T, slots int, link func(address string) string) *departureFixture {
	t.Helper()
	f := &departureFixture{
		is:    is.New(t),
		block: make(chan struct{}),
	}
	f.unblock = sync.OnceFunc(func() { close(f.block) })
	worker := httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(func() {
		f.unblock()
		worker.Close()
	})
	dial := dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry()))
	configuration := newDepartureConfiguration(slots)
	registry := target.NewRegistry("far", time.Hour, zerolog.Nop(), func([]*messenger.Target, []*messenger.Departure) {}, func(context.Context) error { return nil })
	registry.Configure(configuration)
	registry.Announce(target.Announcement{
		ID:      "target",
		Service: "service",
		Address: worker.Listener.Addr().String(),
		Slots:   slots,
	}, time.Now())
	f.local = target.NewServer(registry, annotator.NewDialect(), dial, shaper.New(0, prometheus.NewRegistry()))
	nodePacker := packer.New("far")
	address := link(serveHandler(t, nodePacker.Handler(receiver.New(func(uint64) bool { return true }, f.local, registrar.New(), zerolog.Nop()))))
	view := fireflymoor.NewView(configuration.WithNumber(1), []fireflymoor.Target{{
		ID:      "far/target",
		Service: "service",
		Node:    "far",
		Boot:    1,
		Zone:    "zone",
		Team:    "team",
		Address: address,
		Slots:   slots,
	}})
	handler := func(node string) http.Handler {
		return caller.New(caller.Options{
			Node:        node,
			Dialect:     annotator.NewDialect(),
			Viewer:      &fixedViewer{view: view},
			Balancer:    balancer.NewTwoChoices(),
			Forwarder:   forwarder.New(node, f.local, forwarder.NewRemote(dial, nodePacker)),
			Tracker:     tracker.New(node, "zone"),
			Ejector:     ejector.New(),
			Budget:      retrier.NewBudget(),
			RefusalRate: retrier.NewRefusalRate(),
			Metrics:     caller.NewMetrics(prometheus.NewRegistry()),
			Log:         zerolog.Nop(),
			RouteLog:    zerolog.Nop(),
		})
	}
	f.near, f.far = handler("near"), handler("far")
	return f
}

func newDepartureConfiguration(slots int) fireflymoor.Configuration {
	return fireflymoor.NewConfiguration("team",
		[]fireflymoor.Service{{
			Name:  "service",
			Slots: slots,
			Queue: 10,
		}},
		[]fireflymoor.Route{{
			Name:       "route",
			PathPrefix: "/",
			Service:    "service",
			Timeout:    20 * time.Second,
			Retries:    2,
			Idempotent: []string{http.MethodGet},
			MaxBody:    1 << 20,
		}},
		fireflymoor.Limits{
			RetryBudget: 20,
			EjectShare:  30,
		})
}

// serve is the handler of the target.
func (f *departureFixture) serve(_ http.ResponseWriter, request *http.Request) {
	path := pathProbe
	if request.URL.Path == "/block" {
		path = pathBlock
	}
	f.arrived[path].Add(1)
	_, _ = io.Copy(io.Discard, request.Body) // otherwise the server does not see the connection end
	if request.URL.Path == "/warm" {
		return
	}
	f.running.Add(1)
	defer f.running.Add(-1)
	select {
	case <-f.block:
	case <-request.Context().Done():
	}
}

// send sends a request with further header lines on a new connection and returns the
// connection.
func (f *departureFixture) send(address, method, path string, lines ...string) net.Conn {
	conn, err := net.Dial("tcp", address)
	f.is.NoErr(err)
	body := ""
	if method == http.MethodPost {
		body = "body"
	}
	lines = append([]string{
		method + " " + path + " HTTP/1.1",
		"Host: a",
		fmt.Sprintf("Content-Length: %d", len(body)),
	}, lines...)
	_, err = fmt.Fprintf(conn, "%s\r\n\r\n%s", strings.Join(lines, "\r\n"), body)
	f.is.NoErr(err)
	return conn
}

// waitFor waits until a condition comes about, for at most a duration, and reports
// whether it has.
func (f *departureFixture) waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// load returns the calls at the target's node per slot.
func (f *departureFixture) load() float64 {
	load, _ := f.local.Load("far/target")
	return load
}

// TestQueuedCallOfDepartedCaller guards against calls that keep a place in the queue, get a
// slot and reach their target although their callers left while they were waiting (GONE).
func TestQueuedCallOfDepartedCaller(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for node, forwarded := range map[string]bool{"far": false, "near": true} {
			for name, waited := range map[string]time.Duration{"new": 0, "queried": queriedTime} {
				t.Run(method+"/"+node+"/"+name, func(t *testing.T) {
					t.Parallel()
					f := newDepartureFixture(t, 1)
					handler := f.far
					if forwarded {
						handler = f.near
					}
					address := serveHandler(t, handler)
					blocking := f.send(address, method, "/block")
					defer func() { _ = blocking.Close() }()
					f.is.True(f.waitFor(5*time.Second, func() bool { return f.arrived[pathBlock].Load() == 1 }))
					queued := f.send(address, method, "/probe")
					f.is.True(f.waitFor(5*time.Second, func() bool { return f.load() == 2 }))
					time.Sleep(waited)
					f.is.NoErr(queued.Close())
					f.is.True(f.waitFor(departureLimit, func() bool { return f.load() == 1 })) // it gives up its place in the queue
					time.Sleep(departureLimit)
					f.unblock()
					time.Sleep(settleTime)
					f.is.Equal(f.arrived[pathProbe].Load(), int64(0)) // the call of the departed caller is not sent
				})
			}
		}
	}
}

// TestRunningCallOfDepartedCaller guards against targets that work on for callers that
// have left (GONE). A call that must not repeat may go on for as long as its state can
// be queried.
func TestRunningCallOfDepartedCaller(t *testing.T) {
	for method, limit := range map[string]time.Duration{
		http.MethodGet:  departureLimit,
		http.MethodPost: 5 * time.Second,
	} {
		for name, waited := range map[string]time.Duration{"new": 0, "queried": queriedTime} {
			t.Run(method+"/"+name, func(t *testing.T) {
				t.Parallel()
				f := newDepartureFixture(t, 1)
				conn := f.send(serveHandler(t, f.near), method, "/probe")
				f.is.True(f.waitFor(5*time.Second, func() bool { return f.running.Load() == 1 }))
				time.Sleep(waited)
				f.is.NoErr(conn.Close())
				f.is.True(f.waitFor(limit, func() bool { return f.running.Load() == 0 })) // the target's connection ends
			})
		}
	}
}

// TestCallersThatLeftBeforeTheyWereRead guards against calls that are sent to targets
// although their callers had left before a busy node read them (GONE).
func TestCallersThatLeftBeforeTheyWereRead(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for node, forwarded := range map[string]bool{"far": false, "near": true} {
			t.Run(method+"/"+node, func(t *testing.T) {
				f := newDepartureFixture(t, 2*abandonedCallers)
				handler := f.far
				if forwarded {
					handler = f.near
				}
				// A connection that is kept needs no dial, which would give way to the
				// reading of the close.
				warm := f.send(serveHandler(t, handler), http.MethodGet, "/warm")
				_, err := http.ReadResponse(bufio.NewReader(warm), nil)
				f.is.NoErr(err)
				f.is.NoErr(warm.Close())
				before := f.arrived[pathProbe].Load()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				f.is.NoErr(err)
				for range abandonedCallers {
					f.is.NoErr(f.send(listener.Addr().String(), method, "/probe").Close())
				}
				server, watched := newTestServer(t, listener, handler)
				go func() { _ = server.Serve(watched) }()
				defer func() { _ = server.Close() }()
				time.Sleep(settleTime)
				f.is.Equal(f.arrived[pathProbe].Load(), before) // no call of a departed caller is sent
			})
		}
	}
}
