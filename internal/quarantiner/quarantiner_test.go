package quarantiner

import (
	"fmt"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// request is the request that the tests are about.
const request Fingerprint = 7

// fixture is a quarantiner with a clock and what it has spread.
type fixture struct {
	*Quarantiner
	now    time.Time
	spread []*messenger.TargetEnds
}

func newFixture() *fixture {
	f := &fixture{
		Quarantiner: New(),
		now:         time.Unix(1_000_000, 0),
	}
	f.UseSpread(func(news *messenger.TargetEnds) { f.spread = append(f.spread, news) })
	return f
}

// report reports the ends of targets under the request, the later ones as repeats if so.
func (f *fixture) report(repeat bool, ids ...uint64) {
	for i, id := range ids {
		var repeats []Fingerprint
		if repeat && i > 0 {
			repeats = []Fingerprint{request}
		}
		f.Report(id, []Fingerprint{request, Fingerprint(100 + id)}, repeats, f.now)
	}
}

func (f *fixture) decision() Decision {
	return f.Admit(request, "GET a/b", f.now).Decision
}

// TestDecisions checks what becomes of a request after ends of targets.
func TestDecisions(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.decision(), Free)
	f.report(true, 1)
	is.Equal(f.decision(), Free) // one end may be chance
	f.report(true, 2, 3)
	is.Equal(f.decision(), Refused)
	f.now = f.now.Add(holdTime - time.Second)
	is.Equal(f.decision(), Refused)
	is.Equal(f.Admit(request, "", f.now).RetryAfter, time.Second)
	f.now = f.now.Add(time.Second)
	is.Equal(f.decision(), Trial) // it is not refused for good
	f.now = f.now.Add(forgetTime)
	f.Expire(f.now)
	is.Equal(f.decision(), Free)
	is.True(!f.IsActive())
}

// TestPause checks that a request under which two targets ended, one after the other or at
// the same time, is refused until targets are back, and is then tried.
func TestPause(t *testing.T) {
	for name, repeat := range map[string]bool{"repeated": true, "simultaneous": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.report(repeat, 1, 2)
			is.Equal(f.decision(), Refused)
			f.now = f.now.Add(pauseTime)
			is.Equal(f.decision(), Trial)
			f.report(true, 2, 3)
			is.Equal(f.decision(), Refused)
			f.now = f.now.Add(pauseTime)
			is.Equal(f.decision(), Refused) // for long
		})
	}
}

// TestSimultaneousEnds checks that a popular request that many targets were serving when
// they ended at once gets a trial much sooner than one that was sent again.
func TestSimultaneousEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(false, 1, 2, 3, 4, 5, 6)
	is.Equal(f.decision(), Refused)
	f.now = f.now.Add(pauseTime)
	is.Equal(f.decision(), Trial)
}

// TestOneTrialAtATime checks that a target's node lets a request on trial run once at a
// time, and others beside it.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(false, 1, 2)
	f.now = f.now.Add(pauseTime)
	release, ok := f.Begin(request, f.now)
	is.True(ok)
	_, ok = f.Begin(request, f.now)
	is.True(!ok)
	_, ok = f.Begin(100+1, f.now)
	is.True(ok)
	release()
	release()
	_, ok = f.Begin(request, f.now)
	is.True(ok)
}

// TestResponseClears checks that a response clears a request everywhere, also against news
// of the same ends that arrive later.
func TestResponseClears(t *testing.T) {
	is := is.New(t)
	f, other := newFixture(), newFixture()
	f.report(true, 1, 2, 3)
	for _, news := range f.spread {
		other.Merge(news, other.now)
	}
	is.Equal(other.decision(), Refused)
	before := len(f.spread)
	is.True(f.Clear(request, f.now))
	is.True(!f.Clear(request, f.now))
	is.Equal(f.decision(), Free)
	is.Equal(len(f.spread), before+1)
	other.Merge(f.spread[before], other.now)
	is.Equal(other.decision(), Free)
	for _, news := range f.spread[:before] {
		other.Merge(news, other.now)
	}
	is.Equal(other.decision(), Free)
	other.report(true, 4, 5, 6)
	is.Equal(other.decision(), Refused) // later ends count
}

// TestNewsIsPassedOnOnce checks that news that is known is not passed on again, so that a
// flood ends.
func TestNewsIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	f, other := newFixture(), newFixture()
	f.report(true, 1, 2)
	for _, news := range f.spread {
		is.True(other.Merge(news, other.now) != nil)
		is.True(other.Merge(news, other.now) == nil)
	}
	is.True(f.Merge(other.State(other.now), f.now) == nil)
}

// TestFloodEnds checks that news of more ends than a process keeps, and of cleared ones,
// crosses each link a bounded number of times and does not go around for good.
func TestFloodEnds(t *testing.T) {
	const members, reported = 4, 3 * maxKnownEnds
	is := is.New(t)
	type message struct {
		to   int
		news *messenger.TargetEnds
	}
	var all []*fixture
	var queue []message
	for range members {
		all = append(all, newFixture())
	}
	flood := func(from, origin int, news *messenger.TargetEnds) {
		for to := range all {
			if to != from && to != origin {
				queue = append(queue, message{to: to, news: news})
			}
		}
	}
	for i, f := range all {
		f.UseSpread(func(news *messenger.TargetEnds) { flood(i, i, news) })
	}
	for i := range reported {
		all[i%members].report(i%2 == 0, uint64(i+1))
		if i%10 == 9 {
			all[i%members].Clear(request, all[0].now)
		}
	}
	delivered := 0
	for ; len(queue) > 0 && delivered < 100*reported*members; delivered++ {
		m := queue[0]
		queue = queue[1:]
		if news := all[m.to].Merge(m.news, all[0].now); news != nil {
			flood(m.to, m.to, news)
		}
	}
	t.Logf("%d messages for %d ends", delivered, reported)
	is.Equal(len(queue), 0)
}

// TestLearnedEndIsSpread checks that an end that a call has told this process of is spread
// when its target's node reports it, as both may be the same process.
func TestLearnedEndIsSpread(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Learn(request, []uint64{1}, false, f.now)
	f.report(false, 1)
	is.Equal(len(f.spread), 1)
	is.Equal(f.spread[0].GetEnds()[0].GetRequests(), []uint64{uint64(request), 101})
}

// TestLearnedRepeat checks that a node whose call has ended a second target knows that it was
// a repeat without the news of the target's node, and refuses the request for long after a
// third end. Without the repeat it would be on trial by then.
func TestLearnedRepeat(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.Learn(request, []uint64{1}, false, f.now)
	is.Equal(f.decision(), Free)
	f.Learn(request, []uint64{2}, true, f.now)
	is.Equal(f.decision(), Refused)
	f.Learn(request, []uint64{3}, false, f.now)
	f.now = f.now.Add(pauseTime)
	is.Equal(f.decision(), Refused)
}

// TestStateForNewNeighbor checks that a process that starts learns which requests are
// held back, and not how long they have been held back anew.
func TestStateForNewNeighbor(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.True(f.State(f.now) == nil)
	f.report(true, 1, 2, 3)
	f.now = f.now.Add(holdTime / 2)
	other := newFixture()
	other.now = f.now
	other.Merge(f.State(f.now), other.now)
	is.Equal(other.decision(), Refused)
	other.now = other.now.Add(holdTime / 2)
	is.Equal(other.decision(), Trial)
	is.Equal(len(other.Entries(other.now)), 1) // not the requests with one end
}

// TestMemoryIsBounded checks that requests that callers make up neither fill the memory nor
// displace a request that is held back.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report(true, 1, 2, 3)
	for i := range 2 * maxRequests {
		f.now = f.now.Add(10 * time.Millisecond)
		f.Report(uint64(1000+i), []Fingerprint{Fingerprint(1000 + i)}, nil, f.now)
	}
	is.True(len(f.records) <= maxRequests)
	is.Equal(f.decision(), Refused)
}

// TestOrderDoesNotMatter checks that processes that learn the same in another order, and
// more than once, decide the same.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newFixture()
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			id := rapid.Uint64Range(1, 4).Draw(t, "id")
			if rapid.Bool().Draw(t, "clears") {
				source.Clear(request, source.now)
				continue
			}
			source.report(rapid.Bool().Draw(t, "repeat"), id, id+1)
		}
		other := newFixture()
		for range 2 {
			for _, i := range rapid.Permutation(sequence(len(source.spread))).Draw(t, "order") {
				other.Merge(source.spread[i], other.now)
			}
		}
		want, got := source.Admit(request, "", source.now), other.Admit(request, "", other.now)
		// A request with less than two ends is not held back, and its clearance not spread.
		if want.Decision != Free && want.Decision != got.Decision {
			t.Fatalf("%s became %s", want.Decision, got.Decision)
		}
	})
}

func sequence(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestFingerprint checks what tells requests apart.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	newRequest := func(method, address string, length int64) *http.Request {
		u, err := url.Parse(address)
		is.NoErr(err)
		return &http.Request{
			Method:        method,
			Host:          u.Host,
			URL:           u,
			ContentLength: length,
			Header:        http.Header{"X-Id": {fmt.Sprint(length)}},
		}
	}
	base := Of(newRequest("GET", "http://a/b?c=d", 1), "t", []byte("x"))
	again := newRequest("GET", "http://a/b?c=d", 1)
	again.Header.Set("X-Id", "another")
	is.Equal(Of(again, "t", []byte("x")), base)
	is.Equal(Of(newRequest("GET", "http://127.0.0.1:80/b", 0), "", nil), Of(newRequest("GET", "http://[::1]/b", 0), "", nil)) // two nodes
	for name, other := range map[string]Fingerprint{
		"method": Of(newRequest("PUT", "http://a/b?c=d", 1), "t", []byte("x")),
		"host":   Of(newRequest("GET", "http://e/b?c=d", 1), "t", []byte("x")),
		"path":   Of(newRequest("GET", "http://a/b/?c=d", 1), "t", []byte("x")),
		"escape": Of(newRequest("GET", "http://a/%62?c=d", 1), "t", []byte("x")),
		"query":  Of(newRequest("GET", "http://a/b?c=e", 1), "t", []byte("x")),
		"length": Of(newRequest("GET", "http://a/b?c=d", 2), "t", []byte("x")),
		"body":   Of(newRequest("GET", "http://a/b?c=d", 1), "t", []byte("y")),
		"tenant": Of(newRequest("GET", "http://a/b?c=d", 1), "u", []byte("x")),
		"shift":  Of(newRequest("GET", "http://a/b?c=d", 1), "tG", []byte("x")),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(other != base)
		})
	}
	parsed, err := Parse(base.String())
	is.NoErr(err)
	is.Equal(parsed, base)
}

// BenchmarkAdmit measures the look-up on the way of each call while requests are
// remembered, and BenchmarkIsActive that while there are none.
func BenchmarkAdmit(b *testing.B) {
	f := newFixture()
	for i := range maxRequests {
		f.Report(uint64(i+1), []Fingerprint{Fingerprint(i + 1)}, nil, f.now)
	}
	r := &http.Request{Method: "GET", Host: "a.example", URL: &url.URL{Path: "/catalogue/5e4bd6", RawQuery: "page=1"}}
	for b.Loop() {
		f.Admit(Of(r, "tenant", nil), "", f.now)
	}
}

func BenchmarkIsActive(b *testing.B) {
	q := New()
	for b.Loop() {
		q.IsActive()
	}
}
