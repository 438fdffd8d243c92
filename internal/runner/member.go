// Package runner assembles the parts of a process and runs them.
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

	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/coordinator"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/detector"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/resetter"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout must be shorter than the time for which the registrar keeps
	// a refusal.
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
	// idleCheckInterval is how often the client's connections are scanned for
	// idle ones.
	idleCheckInterval = time.Second
	// maxQueuedLogLines is the capacity of the log buffer, in lines. Calls never
	// wait for the log to be written.
	maxQueuedLogLines = 8192
	// clientLogBurst is the maximum number of log lines a second about clients that
	// exceed a limit.
	clientLogBurst = 5
)

// member holds the parts that nodes and control replicas share: overlay
// membership, logging and metrics.
type member struct {
	settings    loader.Settings
	log         zerolog.Logger
	registry    *prometheus.Registry
	asserter    asserter.Asserter
	counter     *counter.Counter
	dialer      *dialer.Dialer
	sequencer   *sequencer.Sequencer
	coordinator *coordinator.Coordinator
	quarantine  *quarantiner.Quarantiner
	client      *linker.Client
	random      *rand.Rand
	boot        uint64
	listeners   map[string]net.Listener
	acceptor    *acceptor.Acceptor
	// heads bounds the memory for header sections, and messages that for incomplete
	// messages of other processes.
	heads     *acceptor.Budget
	messages  *acceptor.Budget
	detector  *detector.Detector
	logWriter io.Closer
	adapter   Adapter
	panics    prometheus.Counter
}

// newMember returns a member that listens on the non-empty addresses.
func newMember(settings loader.Settings, out io.Writer, options []Option, addresses ...string) (*member, error) {
	logWriter := diode.NewWriter(out, maxQueuedLogLines, 0, func(int) {})
	log := zerolog.New(logWriter).Level(settings.Level).With().
		Timestamp().Str("process", settings.Name).Logger()
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	asserterOptions := []asserter.Option{asserter.WithExit(func(status int) { exit(logWriter, status) })}
	if settings.CountViolations {
		asserterOptions = append(asserterOptions, asserter.WithCountOnly())
	}
	now := time.Now()
	m := &member{
		settings:  settings,
		log:       log,
		registry:  registry,
		asserter:  asserter.New(log, registry, asserterOptions...),
		counter:   counter.New(registry),
		sequencer: sequencer.New(),
		random:    rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		boot:      uint64(now.UnixNano()),
		listeners: map[string]net.Listener{},
		logWriter: logWriter,

		quarantine: quarantiner.New(),
	}
	var err error
	if m.detector, err = detector.New(registry); err != nil {
		_ = logWriter.Close()
		return nil, errors.Wrapf(err, "process %s: start", settings.Name)
	}
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflymoor_panics_total",
		Help: "Panics of single tasks and requests that were contained.",
	})
	registry.MustRegister(m.panics)
	m.sequencer.ContainPanics(m.recordPanic)
	m.heads = acceptor.NewBudget(settings.HeadMemory)
	m.acceptor = acceptor.New(acceptor.Options{
		Connections: acceptor.Connections(settings.Connections),
		Budget:      m.heads,
		Registry:    registry,
		Log: log.Sample(&zerolog.BurstSampler{
			Burst:  clientLogBurst,
			Period: time.Second,
		}),
	})
	m.dialer = dialer.New(settings.Overlay, m.counter)
	m.client = linker.NewClient(m.dialer)
	for _, option := range options {
		option(m)
	}
	return m, m.listen(addresses)
}

// recordPanic logs and counts a panic that ended only one task or request.
func (m *member) recordPanic(value any, stack []byte) {
	m.panics.Inc()
	m.log.Error().Interface("panic", value).Bytes("stack", stack).Msg("process: panic contained")
}

// listen opens all listeners, so that an address in use is detected before the
// process runs.
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
	m.detector.Close()
	for _, l := range m.listeners {
		_ = l.Close()
	}
	_ = m.logWriter.Close()
}

// exit writes out the buffered log lines and ends the process at once.
func exit(logWriter io.Closer, status int) {
	_ = logWriter.Close()
	os.Exit(status)
}

// initCoordinator completes the local fact and creates the coordinator that
// announces it.
func (m *member) initCoordinator(fact *messenger.Fact, watcher coordinator.Watcher) {
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

		LinkRate:    m.settings.LinkRate,
		Quarantiner: m.quarantine,
	}, time.Now())
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflymoor_links",
		Help: "Links to other processes that are up. A process without any goes on with the configuration that it has.",
	}, func() float64 { return float64(m.coordinator.Links()) }))
}

// closeIdle closes idle client connections periodically until ctx ends.
func (m *member) closeIdle(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Pause(ctx, idleCheckInterval)
		m.client.Expire()
	}
}

// newServer returns an HTTP server with limits on the time and size of request
// headers and on idle connections. The detector cancels the requests of callers that have
// left.
func newServer(departures *detector.Detector, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
	departures.Attach(server)
	resetter.Attach(server)
	return server
}

// serve serves HTTP on an address until the server is shut down, within the limits on
// clients. It does nothing if the address is empty. The name of the listener is the
// key of its address in the settings.
func (m *member) serve(group *sync.WaitGroup, s *http.Server, name, address string) {
	if address == "" {
		return
	}
	s.ErrorLog = newDebugLogger(m.log)
	listener := m.acceptor.Wrap(m.detector.Wrap(m.listeners[address]), name)
	listener.Protect(s)
	group.Go(func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			m.log.Error().Err(err).Str("address", address).Msg("process: HTTP server failed")
		}
	})
}

// run runs the process until ctx ends. start starts the parts of the process's
// role, which run until workCtx ends. leave is called after ctx has ended and
// before workCtx is canceled. The sequencer stops last, because the other parts
// post tasks to it.
func (m *member) run(ctx context.Context, mux *linker.Mux, start func(workCtx context.Context, group *sync.WaitGroup), leave func()) {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	sequencerCtx, stopSequencer := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSequencer()
	var group, sequencerGroup sync.WaitGroup
	sequencerGroup.Go(func() { m.sequencer.Run(sequencerCtx) })
	group.Go(func() { m.detector.Run(workCtx) })
	m.serveOverlay(workCtx, &group, mux)
	group.Go(func() { m.coordinator.Run(workCtx) })
	group.Go(func() { m.closeIdle(workCtx) })
	start(workCtx, &group)
	<-ctx.Done()
	leave()
	stop()
	group.Wait()
	stopSequencer()
	sequencerGroup.Wait()
	m.client.Close()
}

// serveOverlay serves the requests of other processes until ctx ends, within the
// limits on clients.
func (m *member) serveOverlay(ctx context.Context, group *sync.WaitGroup, mux *linker.Mux) {
	listener := m.listeners[m.settings.Overlay]
	group.Go(func() {
		err := linker.Serve(ctx, listener, linker.ServerOptions{
			Mux:         mux,
			Counter:     m.counter,
			OnPanic:     m.recordPanic,
			Connections: m.settings.Connections,
			Messages:    m.messages,
			OnRefusal:   func(limit, address string) { m.acceptor.Refuse("overlay", limit, address) },
		})
		if err != nil {
			m.log.Error().Err(err).Msg("overlay: server failed")
		}
	})
}
