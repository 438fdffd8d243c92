package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
)

// idDialect is the native dialect with a header for the id that a caller gives its call.
type idDialect struct {
	fireflymoor.Dialect
}

// ReadCall implements fireflymoor.Dialect.
func (idDialect) ReadCall(header http.Header) (fireflymoor.CallMetadata, error) {
	return fireflymoor.CallMetadata{
		ID: header.Get("Id"),
	}, nil
}

// configurationWithKeys returns a version whose one tenant has keys.
func configurationWithKeys(number uint64, keys ...string) fireflymoor.Configuration {
	tenant := fireflymoor.Tenant{
		Name: "tenant",
	}
	for _, key := range keys {
		tenant.KeyHashes = append(tenant.KeyHashes, fireflymoor.HashKey(key))
	}
	services := []fireflymoor.Service{{Name: "a", Slots: 1, Queue: 10}}
	return fireflymoor.NewConfiguration("team", services, nil, fireflymoor.Limits{}).
		WithTenants([]fireflymoor.Tenant{tenant}).WithNumber(number)
}

// blockingTarget is a target with one slot. Its responses wait for release.
type blockingTarget struct {
	server   *Server
	registry *Registry
	arrived  chan http.Header
	release  chan struct{}
}

func newBlockingTarget(t *testing.T) *blockingTarget {
	t.Helper()
	b := &blockingTarget{
		arrived: make(chan http.Header, 10),
		release: make(chan struct{}),
	}
	listener := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		b.arrived <- request.Header
		<-b.release
	}))
	t.Cleanup(listener.Close)
	b.registry, _ = newPublishingRegistry(nil)
	b.registry.lease = time.Minute
	b.registry.Announce(Announcement{
		ID:      "a",
		Service: "a",
		Address: listener.Listener.Addr().(*net.TCPAddr).String(),
		Slots:   1,
	}, time.Now())
	b.server = NewServer(b.registry, idDialect{Dialect: annotator.NewDialect()}, dialer.New("127.0.0.1:0", counter.New(prometheus.NewRegistry())), shaper.New(0, prometheus.NewRegistry()))
	return b
}

// forward forwards a call with a key and returns its outcome and error.
func (b *blockingTarget) forward(id, key string) (fireflymoor.Outcome, error) {
	request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	request.Header.Set("Id", id)
	request.Header.Set(annotator.Tenant, "tenant")
	request.Header.Set(annotator.KeyID, fireflymoor.KeyID(fireflymoor.HashKey(key)))
	response, outcome, err := b.server.Forward(context.Background(), fireflymoor.Target{ID: annotator.JoinTarget("node", "a")}, request)
	if err == nil {
		_ = response.Body.Close()
	}
	return outcome, err
}

// TestKeyOfQueuedCall withdraws a key while calls with it wait for a slot. They must not
// run. A call with a key that this node has never known must run, as the key may be newer
// than the node's configuration. Nested calls must get the tenant of a call that runs.
func TestKeyOfQueuedCall(t *testing.T) {
	is := is.New(t)
	b := newBlockingTarget(t)
	b.registry.Configure(configurationWithKeys(1, "kept", "withdrawn"))
	results := map[string]chan error{}
	for _, key := range []string{"kept", "withdrawn", "new"} {
		results[key] = make(chan error, 1)
		go func() {
			outcome, err := b.forward("id-"+key, key)
			if err != nil {
				is.Equal(outcome, fireflymoor.NotRun)
			}
			results[key] <- err
		}()
		for b.registry.targets["a"].limiter.Load() < float64(len(results)) {
			time.Sleep(time.Millisecond)
		}
	}
	header := <-b.arrived
	is.Equal(header.Get(annotator.Tenant), "tenant")
	is.Equal(header.Get(annotator.KeyID), "")
	tenant, running := b.server.IsRunning("id-kept")
	is.True(running)
	is.Equal(tenant, "tenant")
	_, running = b.server.IsRunning("id-withdrawn") // it waits
	is.True(!running)

	b.registry.Configure(configurationWithKeys(2, "kept"))
	close(b.release)
	is.NoErr(<-results["kept"])
	is.True(errors.Is(<-results["withdrawn"], errKeyWithdrawn))
	is.NoErr(<-results["new"])
	_, running = b.server.IsRunning("id-kept")
	is.True(!running)
}
