// Package runner puts the parts of a process together and runs them.
package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"storj.io/drpc/drpcmux"

	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/coordinator"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/neighbour"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	headTimeout = 5 * time.Second
	// idleTimeout must be shorter than a refusal of the registrar holds.
	idleTimeout = time.Minute
	maxHead     = 64 << 10
	// idleInterval is how often idle connections are looked over.
	idleInterval = time.Second
	// logLines is the number of log lines that may wait to be written. Calls
	// do not wait for the log.
	logLines = 8192
)

// member is what every process of the system has: its place in the overlay,
// and what the platform sees of it.
type member struct {
	settings    loader.Settings
	log         zerolog.Logger
	registry    *prometheus.Registry
	asserter    asserter.Asserter
	counter     *counter.Counter
	dialer      *dialer.Dialer
	sequencer   *sequencer.Sequencer
	coordinator *coordinator.Coordinator
	client      *neighbour.Client
	random      *rand.Rand
	boot        uint64
	listeners   map[string]net.Listener
	lines       io.Closer
	adapter     Adapter
}

// newMember returns a member that listens on the addresses.
func newMember(settings loader.Settings, out io.Writer, options []Option, addresses ...string) (*member, error) {
	lines := diode.NewWriter(out, logLines, 0, func(int) {})
	log := zerolog.New(lines).Level(settings.Level).With().
		Timestamp().Str("process", settings.Name).Logger()
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	asserting := []asserter.Option{asserter.WithExit(func(status int) { exit(lines, status) })}
	if settings.CountViolations {
		asserting = append(asserting, asserter.WithCountOnly())
	}
	now := time.Now()
	m := &member{
		settings:  settings,
		log:       log,
		registry:  registry,
		asserter:  asserter.New(log, registry, asserting...),
		counter:   counter.New(registry),
		sequencer: sequencer.New(),
		random:    rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		boot:      uint64(now.UnixNano()),
		listeners: map[string]net.Listener{},
		lines:     lines,
	}
	m.dialer = dialer.New(settings.Overlay, m.counter)
	m.client = neighbour.NewClient(m.dialer)
	for _, option := range options {
		option(m)
	}
	return m, m.listen(addresses)
}

// listen opens all listeners, so that a taken address is found at once.
func (m *member) listen(addresses []string) error {
	for _, address := range addresses {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			m.close()
			return errors.Wrapf(err, "process %s: listen", m.settings.Name)
		}
		m.listeners[address] = l
	}
	return nil
}

func (m *member) close() {
	for _, l := range m.listeners {
		_ = l.Close()
	}
	_ = m.lines.Close()
}

// exit ends the process at once, after its log is written.
func exit(lines io.Closer, status int) {
	_ = lines.Close()
	os.Exit(status)
}

// join makes the coordinator for the process's own fact.
func (m *member) join(fact *messenger.Fact, watcher coordinator.Watcher) {
	fact.Name = m.settings.Name
	fact.Zone = m.settings.Zone
	fact.Boot = m.boot
	fact.Sequence = 1
	fact.OverlayAddress = m.settings.AdvertisedOverlay
	m.coordinator = coordinator.New(coordinator.Options{
		Self:      fact,
		Seeds:     m.settings.Seeds(),
		Sequencer: m.sequencer,
		Asserter:  m.asserter,
		Dialer:    m.dialer,
		Random:    m.random,
		Log:       m.log,
		Watcher:   watcher,
	}, time.Now())
}

// closeIdle closes the connections that no call uses, until ctx ends.
func (m *member) closeIdle(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Pause(ctx, idleInterval)
		m.client.Expire()
	}
}

// server returns an HTTP server with bounds on what a client may do.
func server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ErrorLog:          nil,
	}
}

// serve serves HTTP on an address until the server is shut down.
func (m *member) serve(group *sync.WaitGroup, s *http.Server, address string) {
	if address == "" {
		return
	}
	s.ErrorLog = quietLog(m.log)
	group.Go(func() {
		if err := s.Serve(m.listeners[address]); err != nil && !errors.Is(err, http.ErrServerClosed) {
			m.log.Error().Err(err).Str("address", address).Msg("process: serving ended")
		}
	})
}

// shutdown lets the requests in flight at servers end, one server after the
// other.
func (m *member) shutdown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), m.settings.Shutdown)
	defer cancel()
	for _, s := range servers {
		if s == nil {
			continue
		}
		if err := s.Shutdown(ctx); err != nil {
			m.log.Warn().Err(err).Msg("process: requests were cut at the end")
			_ = s.Close()
		}
	}
}

// run serves until ctx ends. Start starts the process's own parts, which work
// until their context ends, and leave gives up its place first. The sequencer
// goes on until all else has ended: they post to it.
func (m *member) run(ctx context.Context, mux *drpcmux.Mux, start func(working context.Context, group *sync.WaitGroup), leave func()) {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sequencing, stopSequencer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSequencer()
	var group, sequence sync.WaitGroup
	sequence.Go(func() { m.sequencer.Run(sequencing) })
	m.serveOverlay(working, &group, mux)
	group.Go(func() { m.coordinator.Run(working) })
	group.Go(func() { m.closeIdle(working) })
	start(working, &group)
	<-ctx.Done()
	leave()
	stop()
	group.Wait()
	stopSequencer()
	sequence.Wait()
	m.client.Close()
}

// serveOverlay answers the other processes until ctx ends.
func (m *member) serveOverlay(ctx context.Context, group *sync.WaitGroup, mux *drpcmux.Mux) {
	group.Go(func() {
		if err := neighbour.Serve(ctx, m.listeners[m.settings.Overlay], mux, m.counter); err != nil {
			m.log.Error().Err(err).Msg("overlay: serving ended")
		}
	})
}
