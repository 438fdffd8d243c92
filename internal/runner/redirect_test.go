package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
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

// redirectWork is how long a target works on a call, and redirectBlock how long on the
// call that fills it.
const (
	redirectWork  = 50 * time.Millisecond
	redirectBlock = 3 * time.Second
)

// newEvenNode returns a node with one target of one slot, and the target as other nodes
// know it. The node names the given neighbor when it refuses calls.
func newEvenNode(t *testing.T, name, neighbor string, configuration fireflymoor.Configuration) (*target.Server, fireflymoor.Target) {
	t.Helper()
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		work := redirectWork
		if request.URL.Path == "/block" {
			work = redirectBlock
		}
		select {
		case <-time.After(work):
		case <-request.Context().Done():
		}
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(worker.Close)
	log := zerolog.Nop()
	registry := target.NewRegistry(name, time.Hour, log, func([]*messenger.Target, []*messenger.Departure) {}, func(context.Context) error { return nil })
	registry.Configure(configuration)
	registry.Announce(target.Announcement{
		ID:      "target",
		Service: "service",
		Address: worker.Listener.Addr().String(),
		Slots:   1,
	}, time.Now())
	server := target.NewServer(registry, annotator.NewDialect(), dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), shaper.New(0, prometheus.NewRegistry()))
	server.UseNeighbors(func(string) string { return neighbor })
	address := serveHandler(t, packer.New(name).Handler(receiver.New(func(uint64) bool { return true }, server, registrar.New(), log)))
	return server, fireflymoor.Target{
		ID:      name + "/target",
		Service: "service",
		Node:    name,
		Boot:    1,
		Zone:    "zone",
		Team:    "team",
		Address: address,
		Slots:   1,
	}
}

// TestCallsOfFullTargetAreSentBack fills the only slot of a target for longer than a
// call may take. Calls that reach its node must be served by the other target without
// waiting for the slot.
func TestCallsOfFullTargetAreSentBack(t *testing.T) {
	is := is.New(t)
	configuration := fireflymoor.NewConfiguration("team",
		[]fireflymoor.Service{{Name: "service", Slots: 1, Queue: 10}},
		[]fireflymoor.Route{{Name: "route", PathPrefix: "/", Service: "service", Timeout: redirectBlock / 2, MaxBody: 1 << 20}},
		fireflymoor.Limits{RetryBudget: 20, EjectShare: 30, Balance: fireflymoor.BalanceEven}).WithNumber(1)
	full, fullTarget := newEvenNode(t, "full", "free/target", configuration)
	_, freeTarget := newEvenNode(t, "free", "", configuration)
	forward := func(path string) {
		request := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		request.RequestURI = ""
		if response, _, err := full.Forward(t.Context(), fullTarget, request); err == nil {
			_ = response.Body.Close()
		}
	}
	forward("/x") // the node learns how long calls hold the slot
	go forward("/block")
	near := packer.New("near")
	registry := prometheus.NewRegistry()
	handler := caller.New(caller.Options{
		Node:         "near",
		Dialect:      annotator.NewDialect(),
		Viewer:       &fixedViewer{view: fireflymoor.NewView(configuration, []fireflymoor.Target{fullTarget, freeTarget})},
		Balancer:     balancer.NewTwoChoices(),
		EvenBalancer: balancer.NewEven(),
		Forwarder:    forwarder.NewRemote(dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), near),
		Tracker:      tracker.New("near", "zone"),
		Ejector:      ejector.New(),
		Budget:       retrier.NewBudget(),
		RefusalRate:  retrier.NewRefusalRate(),
		Metrics:      caller.NewMetrics(registry),
		Log:          zerolog.Nop(),
	})
	for load, ok := 0.0, true; ok && load < 1; load, ok = full.Load(fullTarget.ID) {
		time.Sleep(time.Millisecond)
	}
	for range 12 {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
		is.Equal(w.Code, http.StatusOK)
	}
	families, err := registry.Gather()
	is.NoErr(err)
	named := 0.0
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "fireflymoor_picks_total" && metric.GetLabel()[0].GetValue() == balancer.ReasonNeighbor {
				named = metric.GetCounter().GetValue()
			}
		}
	}
	is.True(named > 0) // a call was sent back and went to the named target
}
