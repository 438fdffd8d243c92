package claimer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const testWindow = time.Minute

var errLost = errors.New("lost")

// fleet is nodes that keep claims, without sockets. Requests and replies get
// lost.
type fleet struct {
	lock   sync.Mutex
	random *rand.Rand
	now    time.Time
	names  []string
	zones  map[string]string
	tables map[string]*Table
	down   map[string]bool
	cut    map[string]bool
	loss   float64
}

func newFleet(seed uint64, zones, nodes int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    time.Unix(1000, 0),
		zones:  map[string]string{},
		tables: map[string]*Table{},
		down:   map[string]bool{},
		cut:    map[string]bool{},
	}
	for i := range nodes {
		name := fmt.Sprintf("node-%d", i)
		f.names = append(f.names, name)
		f.zones[name] = fmt.Sprintf("zone-%d", i%zones)
		f.tables[name] = NewTable(name, testWindow, f.now)
	}
	f.now = f.now.Add(testWindow)
	return f
}

func (f *fleet) clock() time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.now
}

func (f *fleet) table(name string) *Table {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.tables[name]
}

// passes says whether one message between two nodes arrives.
func (f *fleet) passes(from, to string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	lost := f.random.Float64() < f.loss
	return from == to || (!lost && !f.down[to] && !f.down[from] && f.cut[f.zones[from]] == f.cut[f.zones[to]])
}

// place is one node's way to the others.
type place struct {
	*fleet

	name string
}

func (p place) Ring() *Ring {
	p.lock.Lock()
	defer p.lock.Unlock()
	var members []Member
	for _, name := range p.names {
		members = append(members, Member{
			Name:      name,
			Zone:      p.zones[name],
			Reachable: true,
		})
	}
	return NewRing(members)
}

func (p place) Take(_ context.Context, keeper string, request *messenger.TakeRequest) (*messenger.TakeReply, error) {
	if !p.passes(p.name, keeper) {
		return nil, errLost
	}
	reply := p.table(keeper).Take(request, p.Ring(), p.clock())
	if !p.passes(keeper, p.name) {
		return nil, errLost
	}
	return reply, nil
}

func (p place) Conclude(_ context.Context, keeper string, claim *messenger.Claim) error {
	if !p.passes(p.name, keeper) {
		return errLost
	}
	p.table(keeper).Conclude(claim)
	return nil
}

func (p place) Sync(_ context.Context, keeper, name string) (*messenger.SyncReply, error) {
	if !p.passes(p.name, keeper) {
		return nil, errLost
	}
	table := p.table(keeper)
	return &messenger.SyncReply{
		Complete: table.Complete(p.clock()),
		Members:  p.Ring().Sum(),
		Claims:   table.For(name, p.Ring(), p.clock()),
	}, nil
}

// at returns a claimer whose messages go one by one, so that a run depends on
// its seed only.
func (f *fleet) at(name string) *Claimer {
	c := f.busy(name)
	c.spawn = func(send func()) { send() }
	c.pause = 0
	return c
}

// busy returns a claimer whose messages go beside each other.
func (f *fleet) busy(name string) *Claimer {
	return New(place{
		fleet: f,
		name:  name,
	}, f.clock)
}

func (f *fleet) restart(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.tables[name] = NewTable(name, testWindow, f.now)
}

func (f *fleet) pass(d time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.now = f.now.Add(d)
}

// history is what has been granted for one key.
type history struct {
	ran   bool
	ranAt time.Time
}

// runsTwice drives a fleet through random calls with one key, lost messages,
// restarts, cuts and syncs, and returns whether the key's call ran twice
// within the window. Blank is what a restarted node does instead of waiting
// until its table is complete, for the run without the rule.
func runsTwice(r *rapid.T, blank func(*Table, time.Time)) bool {
	zones := rapid.SampledFrom([]int{1, 2, 3, 4}).Draw(r, "zones")
	f := newFleet(rapid.Uint64().Draw(r, "seed"), zones, rapid.IntRange(3, 8).Draw(r, "nodes"))
	h := history{}
	for range rapid.IntRange(5, 60).Draw(r, "events") {
		name := rapid.SampledFrom(f.names).Draw(r, "node")
		switch rapid.IntRange(0, 9).Draw(r, "event") {
		case 0:
			f.restart(name)
			blank(f.table(name), f.clock())
		case 1:
			f.down[name] = !f.down[name]
		case 2:
			f.cut[f.zones[name]] = !f.cut[f.zones[name]]
		case 3:
			f.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
		case 4:
			f.pass(time.Duration(rapid.IntRange(1, 20000).Draw(r, "ms")) * time.Millisecond)
		case 5, 6:
			f.at(name).Sync(context.Background(), f.table(name))
		default:
			if f.call(name, &h, rapid.IntRange(0, 4).Draw(r, "end")) {
				return true
			}
		}
	}
	return false
}

// call makes one call with the key. It reports whether the call runs although
// another one ran within the window.
func (f *fleet) call(name string, h *history, end int) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	grant, _, err := f.at(name).Claim(ctx, "key", 7)
	if err != nil || grant == nil {
		return false
	}
	if h.ran && f.now.Sub(h.ranAt) < testWindow {
		return true
	}
	switch end {
	case 0:
		grant.NotRun(context.Background())
		return false
	case 1:
		grant.Answered(context.Background(), nil)
	case 2:
		grant.Unknown(context.Background())
	}
	h.ran = true
	h.ranAt = f.now
	return false
}

// TestNeverTwice sends one call again and again, through random nodes, under
// random faults. It runs at most once in its window.
func TestNeverTwice(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		if runsTwice(r, func(*Table, time.Time) {}) {
			r.Fatal("a call ran twice")
		}
	})
}

// TestBlankRunsTwice is the same run with nodes that grant as soon as they
// have restarted: the search finds a call that runs twice.
func TestBlankRunsTwice(t *testing.T) {
	found := false
	for seed := range 200 {
		found = found || rapid.Custom(func(r *rapid.T) bool {
			return runsTwice(r, func(table *Table, _ time.Time) { table.SetWhole() })
		}).Example(seed)
	}
	is.New(t).True(found)
}

// fixSeed gives rapid the seed of CI, unless the command line names one.
func fixSeed(t *testing.T) {
	t.Helper()
	if flag.Lookup("rapid.seed").Value.String() != "0" {
		return
	}
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		t.Fatal(err)
	}
}

// TestSubsetMayNotGrant loses a keeper's claims in a restart, and cuts another
// keeper off. The call does not run again. Were the restarted keeper to grant
// what it does not hold, it would.
func TestSubsetMayNotGrant(t *testing.T) {
	is := is.New(t)
	again := func(blank func(*Table, time.Time)) error {
		f := newFleet(1, 3, 3)
		keepers := place{fleet: f}.Ring().Keepers("key")
		f.down[keepers[2]] = true
		_, _, err := f.at(keepers[0]).Claim(t.Context(), "key", 7)
		is.NoErr(err) // two of three grant it
		f.restart(keepers[0])
		blank(f.table(keepers[0]), f.clock())
		f.down[keepers[2]] = false
		f.down[keepers[1]] = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err = f.at(keepers[0]).Claim(ctx, "key", 7)
		return err
	}
	is.True(errors.Is(again(func(*Table, time.Time) {}), ErrNoQuorum))
	is.NoErr(again(func(table *Table, _ time.Time) { table.SetWhole() })) // it would run twice
}

// TestRestartIsSynced restarts a keeper. Once it has asked its partners it
// knows the claims that it had granted, and counts again.
func TestRestartIsSynced(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 9)
	keepers := place{fleet: f}.Ring().Keepers("key")
	grant, _, err := f.at(keepers[0]).Claim(t.Context(), "key", 7)
	is.NoErr(err)
	grant.Unknown(context.Background())
	f.restart(keepers[0])
	table := f.table(keepers[0])
	is.True(!f.at(keepers[0]).Sync(t.Context(), table)) // a claim may still be on its way
	f.pass(GrantTime)
	is.True(f.at(keepers[0]).Sync(t.Context(), table))
	is.True(table.Complete(f.clock()))
	_, _, err = f.at(f.names[0]).Claim(t.Context(), "key", 7)
	is.True(errors.Is(err, ErrHeld))
	_, _, err = f.at(f.names[0]).Claim(t.Context(), "key", 8)
	is.True(errors.Is(err, ErrOther)) // the key of another call
}

// TestSecondLossAfterRestart restarts a keeper, and another right after it. A
// key that both keep stays refused, as its claims may be lost, and other keys
// of theirs are granted again.
func TestSecondLossAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 9)
	keepers := place{fleet: f}.Ring().Keepers("key")
	f.restart(keepers[0])
	f.restart(keepers[1])
	f.pass(GrantTime)
	for _, name := range keepers[:2] {
		f.at(name).Sync(t.Context(), f.table(name))
	}
	_, _, err := f.at(f.names[0]).Claim(t.Context(), "key", 7)
	is.True(errors.Is(err, ErrNoQuorum))
	granted := 0
	for i := range 100 {
		key := fmt.Sprint("other-", i)
		_, _, err = f.at(f.names[0]).Claim(t.Context(), key, 7)
		both := slices.Contains(place{fleet: f}.Ring().Keepers(key), keepers[0]) &&
			slices.Contains(place{fleet: f}.Ring().Keepers(key), keepers[1])
		is.Equal(err != nil, both) // only keys that both keep are refused
		if err == nil {
			granted++
		}
	}
	is.True(granted > 80)
}

// TestAllRestarted restarts every node: none vouches for another, and nothing
// is granted until the window has passed.
func TestAllRestarted(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 6)
	for _, name := range f.names {
		f.restart(name)
	}
	f.pass(2 * GrantTime)
	for _, name := range f.names {
		is.True(!f.at(name).Sync(t.Context(), f.table(name)))
	}
	_, _, err := f.at(f.names[0]).Claim(t.Context(), "key", 7)
	is.True(errors.Is(err, ErrNoQuorum))
	f.pass(testWindow)
	_, _, err = f.at(f.names[0]).Claim(t.Context(), "key", 7)
	is.NoErr(err)
}

// TestOneOfMany claims one key through all nodes at once: one call runs, and
// the others get its answer.
func TestOneOfMany(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 9)
	answer := &messenger.KeptAnswer{Status: 201, Body: []byte("first")}
	var lock sync.Mutex
	var group sync.WaitGroup
	ran := 0
	answers := 0
	for _, name := range f.names {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			grant, got, err := f.busy(name).Claim(ctx, "key", 7)
			lock.Lock()
			defer lock.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case grant != nil:
				ran++
				grant.Answered(ctx, answer)
			case string(got.GetBody()) == "first":
				answers++
			}
		})
	}
	group.Wait()
	is.Equal(ran, 1)
	is.Equal(answers, len(f.names)-1)
}

// TestReleased lets a call that was not run be sent again.
func TestReleased(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 9)
	grant, _, err := f.at(f.names[0]).Claim(t.Context(), "key", 7)
	is.NoErr(err)
	grant.NotRun(context.Background())
	grant, _, err = f.at(f.names[1]).Claim(t.Context(), "key", 7)
	is.NoErr(err)
	is.True(grant != nil)
}

func BenchmarkClaim(b *testing.B) {
	f := newFleet(1, 6, 2300)
	ring := place{fleet: f}.Ring()
	b.Run("keepers", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			ring.Keepers(fmt.Sprint("key", i))
		}
	})
	b.Run("take", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			key := fmt.Sprint("key", i)
			keepers := ring.Keepers(key)
			f.tables[keepers[0]].Take(&messenger.TakeRequest{
				Claim:   &messenger.Claim{Key: key, Id: "id"},
				Keepers: keepers,
			}, ring, f.now)
		}
	})
}
