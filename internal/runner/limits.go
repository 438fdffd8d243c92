package runner

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/rationer"
)

// limitFailurePeriod is the time in which at most one failed message about limits is
// logged: they fail all the time while a zone is cut off.
const limitFailurePeriod = 5 * time.Second

var errNoLimits = errors.New("a control replica has no part in tenants' limits")

// limits is the node's part in the limits of tenants' rates over all nodes. Its methods
// may be called from any goroutine.
type limits struct {
	self       rationer.Member
	client     *linker.Client
	log        zerolog.Logger
	failureLog zerolog.Logger
	node       *rationer.Node
	aggregator *rationer.Aggregator
	// active is set while the configuration in force has limits.
	active atomic.Bool
}

func newLimits(m *member, log zerolog.Logger) *limits {
	self := rationer.Member{
		Name:    m.settings.Name,
		Zone:    m.settings.Zone,
		Address: m.settings.AdvertisedOverlay,
		Alive:   true,
	}
	members := rationer.NewMembers(self, nil)
	l := &limits{
		self:   self,
		client: m.client,
		log:    log,
		failureLog: m.log.Sample(&zerolog.BurstSampler{
			Burst:  1,
			Period: limitFailurePeriod,
		}),
		node:       rationer.NewNode(members, m.boot, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		aggregator: rationer.NewAggregator(members, m.boot),
	}
	m.registry.MustRegister(rationer.NewCollector(l.node))
	return l
}

// Admit implements caller.Quota.
func (l *limits) Admit(tenant fireflymoor.Tenant, now time.Time) (admitted bool, retryAfter time.Duration) {
	return l.node.Admit(tenant.Name, now)
}

// Return implements caller.Quota.
func (l *limits) Return(tenant fireflymoor.Tenant) {
	l.node.Return(tenant.Name)
}

// configure puts the limits of a configuration in force.
func (l *limits) configure(configuration fireflymoor.Configuration) {
	tenants := configuration.Tenants()
	active := false
	for i := range tenants {
		active = active || tenants[i].Rate > 0
	}
	l.aggregator.Configure(tenants)
	l.node.Configure(tenants, time.Now())
	l.active.Store(active)
}

// setMembers takes over the facts of the nodes that have not left.
func (l *limits) setMembers(facts []*messenger.Fact) {
	members := make([]rationer.Member, 0, len(facts))
	for _, f := range facts {
		members = append(members, rationer.Member{
			Name:    f.GetName(),
			Zone:    f.GetZone(),
			Address: f.GetOverlayAddress(),
			Alive:   f.GetState() == messenger.MemberState_MEMBER_ALIVE,
		})
	}
	view := rationer.NewMembers(l.self, members)
	l.aggregator.SetMembers(view)
	l.node.SetMembers(view, time.Now())
}

// run exchanges reports and grants while there are limits, until ctx ends.
func (l *limits) run(ctx context.Context) {
	ticker := time.NewTicker(rationer.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l.active.Load() {
				l.tick(ctx)
			}
		}
	}
}

func (l *limits) tick(ctx context.Context) {
	for _, r := range l.node.Tick(time.Now()) {
		go l.report(ctx, r)
	}
	work := l.aggregator.Tick(time.Now())
	for _, r := range work.Forwards {
		go l.forward(ctx, r)
	}
	for _, p := range work.Pushes {
		go l.push(ctx, p)
	}
	for _, e := range work.Exchanges {
		go l.exchange(ctx, e)
	}
	for _, c := range work.Changes {
		text := "limits: the tenant is below its limit again"
		if c.Over {
			text = "limits: the tenant is over its limit"
		}
		l.log.Info().Str("tenant", c.Tenant).Float64("limit", c.Rate).Float64("offered", c.Offered).
			Float64("fraction", c.Fraction).Msg(text)
	}
}

// call sends a request to another node.
func (l *limits) call(ctx context.Context, to rationer.Member, call func(ctx context.Context, client messenger.DRPCOverlayClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, rationer.RequestTimeout)
	defer cancel()
	err := l.client.Call(ctx, to.Address, func(conn drpc.Conn) error {
		return call(ctx, messenger.NewDRPCOverlayClient(conn))
	})
	if err != nil {
		l.failureLog.Info().Str("to", to.Name).Err(err).Msg("limits: a message was not answered")
	}
	return err
}

// report sends a report to the aggregator, which may be this node.
func (l *limits) report(ctx context.Context, report rationer.Report) {
	if report.To.Name == l.self.Name {
		now := time.Now()
		l.node.Acknowledge(report.Content, l.aggregator.Receive(report.Content, now), now)
		return
	}
	var grants *messenger.TenantGrants
	err := l.call(ctx, report.To, func(ctx context.Context, client messenger.DRPCOverlayClient) error {
		var err error
		grants, err = client.ReportTenants(ctx, report.Content)
		return err
	})
	if err != nil {
		l.node.Fail(report, time.Now())
		return
	}
	l.node.Acknowledge(report.Content, grants, time.Now())
}

// forward sends the report of another node to the aggregator.
func (l *limits) forward(ctx context.Context, report rationer.Report) {
	err := l.call(ctx, report.To, func(ctx context.Context, client messenger.DRPCOverlayClient) error {
		_, err := client.ReportTenants(ctx, report.Content)
		return err
	})
	l.aggregator.Forwarded(report, err == nil, time.Now())
}

// push sends grants to a node, which may be this one. If they are lost, the next ones
// replace them.
func (l *limits) push(ctx context.Context, push rationer.Push) {
	if push.To.Name == l.self.Name {
		l.node.Receive(push.Content, time.Now())
		return
	}
	_ = l.call(ctx, push.To, func(ctx context.Context, client messenger.DRPCOverlayClient) error {
		_, err := client.PushTenantGrants(ctx, push.Content)
		return err
	})
}

// exchange exchanges sums with the aggregator of another zone.
func (l *limits) exchange(ctx context.Context, exchange rationer.Exchange) {
	var sums *messenger.TenantSums
	err := l.call(ctx, exchange.To, func(ctx context.Context, client messenger.DRPCOverlayClient) error {
		var err error
		sums, err = client.ExchangeTenants(ctx, exchange.Content)
		return err
	})
	if err != nil {
		l.aggregator.Unanswered(exchange, time.Now())
		return
	}
	l.aggregator.Exchanged(exchange, sums, time.Now())
}
