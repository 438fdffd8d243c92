package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

const (
	shareSlots     = 9
	shareObjective = 400 * time.Millisecond
	shareTimeout   = time.Second
	shareDuration  = 40 * time.Second
	// shareWork is the usual slot time of a call, so that a target serves 150 calls a
	// second.
	shareWork     = 60 * time.Millisecond
	shareCapacity = float64(shareSlots) / 0.06
)

// tenantLoad is the load that one tenant offers.
type tenantLoad struct {
	// perSecond is the mean rate of calls, which arrive at random times.
	perSecond float64
	work      time.Duration
	weight    float64
	rank      int
	// retries is how often a refused call is sent again.
	retries int
	// from and until bound the time of the load. Until is shareDuration if it is 0.
	from, until time.Duration

	// calls counts the calls, tries the tries and served those that got a slot. firstServed
	// is when the first did.
	calls, tries, served int
	firstServed          time.Duration
}

// servedPerSecond returns the rate of calls served.
func (t *tenantLoad) servedPerSecond() float64 {
	return float64(t.served) / (t.until - t.from).Seconds()
}

// share returns the share of the calls that were served.
func (t *tenantLoad) share() float64 {
	return float64(t.served) / float64(t.calls)
}

// run offers the loads of tenants to a target, by their names.
func run(t *testing.T, loads map[string]*tenantLoad) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := New(shareSlots, 1000)
		began := time.Now()
		var group sync.WaitGroup
		for name, load := range loads {
			if load.until == 0 {
				load.until = shareDuration
			}
			if load.work == 0 {
				load.work = shareWork
			}
			if load.weight == 0 {
				load.weight = 1
			}
			random := rand.New(rand.NewPCG(1, xxhash.Sum64String(name)))
			group.Go(func() {
				time.Sleep(load.from)
				for {
					time.Sleep(time.Duration(random.ExpFloat64() / load.perSecond * float64(time.Second)))
					if time.Since(began) >= load.until {
						return
					}
					group.Go(func() { load.call(l, name, began) })
				}
			})
		}
		group.Wait()
	})
}

// call makes one call of a tenant.
func (t *tenantLoad) call(l *Limiter, name string, began time.Time) {
	ticket := Ticket{
		Rank:      t.rank,
		Objective: shareObjective,
		Tenant:    name,
		Weight:    t.weight,
	}
	l.lock.Lock()
	t.calls++
	l.lock.Unlock()
	for range t.retries + 1 {
		ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
		err := l.Acquire(ctx, ticket)
		l.lock.Lock()
		t.tries++
		if err == nil {
			t.served++
			if t.firstServed == 0 {
				t.firstServed = time.Since(began)
			}
		}
		l.lock.Unlock()
		if err == nil {
			time.Sleep(t.work)
			l.Release(ticket, t.work)
			cancel()
			return
		}
		cancel()
		time.Sleep(shareObjective / 8)
	}
}

// total returns the sum of a figure over all loads.
func total(loads map[string]*tenantLoad, figure func(*tenantLoad) float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += figure(load)
	}
	return sum
}

// checkFloor checks that no tenant's calls are served less than a quarter as often as
// all calls, and that the slots are used.
func checkFloor(is *is.I, loads map[string]*tenantLoad) {
	is.Helper()
	all := total(loads, func(t *tenantLoad) float64 { return float64(t.served) }) /
		total(loads, func(t *tenantLoad) float64 { return float64(t.calls) })
	for _, load := range loads {
		is.True(load.share() > all/4)
	}
	slotTime := total(loads, func(t *tenantLoad) float64 { return float64(t.served) * t.work.Seconds() })
	is.True(slotTime > 0.9*shareSlots*shareDuration.Seconds())
}

// TestHotTenant sends many times the usual load of one tenant beside four that stay
// within their shares. The four must be served as if they were alone.
func TestHotTenant(t *testing.T) {
	is := is.New(t)
	loads := map[string]*tenantLoad{"hot": {perSecond: 3 * shareCapacity}}
	for i := range 4 {
		loads[fmt.Sprint(i)] = &tenantLoad{perSecond: 0.15 * shareCapacity}
	}
	run(t, loads)
	for i := range 4 {
		is.True(loads[fmt.Sprint(i)].share() > 0.97)
	}
	checkFloor(is, loads)
}

// TestManySmallTenants guards against tenants that are starved by rounding: 79 tenants
// offer twice what 9 slots can serve, some of them far more than others. Those that
// offer less than their share must get it.
func TestManySmallTenants(t *testing.T) {
	const tenants = 79
	is := is.New(t)
	loads := map[string]*tenantLoad{}
	for i := range tenants {
		load := &tenantLoad{perSecond: 0.5 * shareCapacity / tenants}
		if i%8 == 0 {
			load.perSecond = 12.5 * shareCapacity / tenants
		}
		loads[fmt.Sprint(i)] = load
	}
	run(t, loads)
	for i := range tenants {
		if i%8 != 0 {
			is.True(loads[fmt.Sprint(i)].share() > 0.85)
		}
	}
	checkFloor(is, loads)
}

// TestRetriesOfOneTenant sends two equal loads, one of which sends each refused call
// again. Neither the retries nor the refusals may change the shares by much.
func TestRetriesOfOneTenant(t *testing.T) {
	is := is.New(t)
	loads := map[string]*tenantLoad{
		"patient":  {perSecond: shareCapacity},
		"retrying": {perSecond: shareCapacity, retries: 4},
	}
	run(t, loads)
	is.True(loads["retrying"].tries > 2*loads["retrying"].calls)
	is.True(loads["retrying"].servedPerSecond() < 0.58*shareCapacity)
	is.True(loads["patient"].servedPerSecond() > 0.42*shareCapacity)
	checkFloor(is, loads)
}

// TestTenantLeaves guards against shares that are kept for a tenant that sends nothing,
// and against debts for the use of capacity that nobody else wanted: a tenant that was
// alone for half of the time must get its share as soon as another comes.
func TestTenantLeaves(t *testing.T) {
	is := is.New(t)
	loads := map[string]*tenantLoad{
		"leaves": {perSecond: 2 * shareCapacity, until: shareDuration / 4},
		"stays":  {perSecond: 2 * shareCapacity},
		"comes":  {perSecond: 2 * shareCapacity, from: shareDuration / 2},
	}
	run(t, loads)
	is.True(loads["leaves"].servedPerSecond() > 0.45*shareCapacity)
	is.True(loads["leaves"].servedPerSecond() < 0.55*shareCapacity)
	is.True(loads["comes"].servedPerSecond() > 0.45*shareCapacity)
	is.True(loads["comes"].firstServed < shareDuration/2+shareObjective)
	is.True(loads["stays"].servedPerSecond() > (0.45/4+0.95/4+0.45/2)*shareCapacity)
	checkFloor(is, loads)
}

// TestUnequalCosts sends two overloads, of which one has calls that hold a slot four
// times as long. Both must get about the same slot time.
func TestUnequalCosts(t *testing.T) {
	is := is.New(t)
	loads := map[string]*tenantLoad{
		"short": {perSecond: 2 * shareCapacity},
		"long":  {perSecond: shareCapacity, work: 4 * shareWork},
	}
	run(t, loads)
	short := loads["short"].servedPerSecond()
	long := loads["long"].servedPerSecond() * 4
	is.True(long > 0.4*shareCapacity)
	is.True(long < 0.6*shareCapacity)
	is.True(short > 0.4*shareCapacity)
	checkFloor(is, loads)
}

// TestWeights sends two equal overloads. A tenant with three times the weight must get
// about three times as many slots.
func TestWeights(t *testing.T) {
	is := is.New(t)
	loads := map[string]*tenantLoad{
		"heavy": {perSecond: 2 * shareCapacity, weight: 3},
		"light": {perSecond: 2 * shareCapacity, weight: 1},
	}
	run(t, loads)
	ratio := loads["heavy"].servedPerSecond() / loads["light"].servedPerSecond()
	is.True(ratio > 2.4)
	is.True(ratio < 3.6)
	checkFloor(is, loads)
}

// TestTenantsOfUnequalSize offers twice the capacity by 79 tenants whose sizes differ as
// much as those of cities, with equal weights. By max-min fairness alone the largest
// would get a tenth of the others' share of its calls.
func TestTenantsOfUnequalSize(t *testing.T) {
	const tenants = 79
	is := is.New(t)
	loads := map[string]*tenantLoad{}
	sum := 0.0
	for i := range tenants {
		sum += 1 / float64(i+1)
	}
	for i := range tenants {
		loads[fmt.Sprint(i)] = &tenantLoad{perSecond: 2 * shareCapacity / sum / float64(i+1)}
	}
	run(t, loads)
	checkFloor(is, loads)
}

// TestCallsWithoutTenant sends calls without a tenant beside twenty tenants, all of
// which offer more than the capacity. Neither side may starve the other, and within
// their half the tenants must get equal shares.
func TestCallsWithoutTenant(t *testing.T) {
	const tenants = 20
	is := is.New(t)
	loads := map[string]*tenantLoad{"": {perSecond: shareCapacity}}
	for i := range tenants {
		loads[fmt.Sprint(i)] = &tenantLoad{perSecond: shareCapacity / tenants}
	}
	run(t, loads)
	is.True(loads[""].servedPerSecond() > 0.4*shareCapacity)
	is.True(loads[""].servedPerSecond() < 0.6*shareCapacity)
	checkFloor(is, loads)
}

// TestRankBeforeShare sends calls of two ranks by one tenant. The more urgent rank must
// be served whole although its tenant exceeds its share.
func TestRankBeforeShare(t *testing.T) {
	is := is.New(t)
	loads := map[string]*tenantLoad{
		"urgent": {perSecond: 0.8 * shareCapacity},
		"other":  {perSecond: shareCapacity, rank: 1},
	}
	run(t, loads)
	is.True(loads["urgent"].share() > 0.97)
	is.True(loads["other"].servedPerSecond() > 0.1*shareCapacity)
}
