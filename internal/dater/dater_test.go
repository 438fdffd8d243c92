package dater

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fixture is a sender and a receiver with clocks of their own.
type fixture struct {
	sent, received time.Duration
	clock          *Clock
	dater          *Dater
}

func newFixture() *fixture {
	f := &fixture{
		sent:     40 * 24 * time.Hour,
		received: 3 * time.Hour,
	}
	f.clock = &Clock{
		epoch: "a",
		now:   func() time.Duration { return f.sent },
	}
	f.dater = New()
	f.dater.now = func() time.Duration { return f.received }
	return f
}

// pass lets time pass at both ends.
func (f *fixture) pass(d time.Duration) {
	f.sent += d
	f.received += d
}

// call returns the age of a call that takes a time.
func (f *fixture) call(takes time.Duration) time.Duration {
	stamp := f.clock.Stamp()
	f.pass(takes)
	return f.dater.Age("127.0.0.1", stamp)
}

// TestLateCall checks that the age of a late call is known, whatever the clocks show.
func TestLateCall(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.call(time.Millisecond), time.Duration(0))
	age := f.call(2760 * time.Millisecond)
	is.True(age > 2700*time.Millisecond)
	is.True(age <= 2760*time.Millisecond)
	is.Equal(f.call(2*time.Millisecond), time.Duration(0))
}

// TestNoAge checks the cases in which the age of a call is not known. A call that counts as
// too old would be refused, so that it must be 0.
func TestNoAge(t *testing.T) {
	cases := map[string]func(f *fixture){
		"the first call":       func(f *fixture) { f.dater = New(); f.dater.now = func() time.Duration { return f.received } },
		"a restarted sender":   func(f *fixture) { f.clock.epoch = "b" },
		"a restarted machine":  func(f *fixture) { f.clock.epoch, f.sent = "c", 0 },
		"after a long silence": func(f *fixture) { f.pass(3 * window) },
		"a suspended receiver": func(f *fixture) { f.received -= 5 * time.Second },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			is.Equal(f.call(0), time.Duration(0))
			change(f)
			is.Equal(f.call(0), time.Duration(0))
		})
	}
	for _, stamp := range []string{"", "a", "a.", ".5", "a.-5", "a.zzzzzzzzzzzzz", "a.1.1"} {
		t.Run(fmt.Sprintf("stamp %q", stamp), func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.call(0)
			is.Equal(f.dater.Age("127.0.0.1", stamp), time.Duration(0))
		})
	}
}

// TestAgeIsLowerBound checks that no call ever counts as older than it is, with clocks
// that run apart and a path that changes.
func TestAgeIsLowerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		drift := rapid.Float64Range(-500e-6, 500e-6).Draw(t, "drift")
		for range rapid.IntRange(2, 50).Draw(t, "calls") {
			pause := time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "pause"))
			f.pass(pause)
			f.sent += time.Duration(drift * float64(pause))
			takes := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "takes"))
			if age := f.call(takes); age > takes {
				t.Fatalf("a call of %s counts as %s old", takes, age)
			}
		}
	})
}

// TestPeersAreBounded checks that the memory for differences is bounded.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range 3 * maxPeers {
		f.dater.Age(fmt.Sprint(i), f.clock.Stamp())
	}
	is.True(len(f.dater.peers) <= maxPeers)
}

// BenchmarkAge measures the estimate on the way of each call between nodes.
func BenchmarkAge(b *testing.B) {
	clock, d := NewClock(), New()
	for b.Loop() {
		d.Age("127.0.0.1", clock.Stamp())
	}
}
