package target

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// TestStatedLimitOrder records limits of responses that overtake each other.
func TestStatedLimitOrder(t *testing.T) {
	is := is.New(t)
	at := func(milliseconds int) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
	}
	rate := -1.0
	onChange := func(r float64) { rate = r }
	l := &statedLimit{}
	is.True(!l.record(0, at(0), at(10), onChange))
	is.True(l.record(20, at(20), at(50), onChange))
	is.True(!l.record(0, at(30), at(60), onChange)) // sent before the limit was stated
	is.Equal(rate, 20.0)
	is.True(!l.record(20, at(55), at(80), onChange))
	is.True(!l.record(0, at(70), at(90), onChange)) // sent before it was stated again
	is.True(l.record(5, at(70), at(95), onChange))
	is.Equal(rate, 5.0)
	is.True(l.record(0, at(100), at(110), onChange))
	is.Equal(rate, 0.0)
}

// TestAdoptedLimit checks that the limit that other nodes know counts until the target's
// first response.
func TestAdoptedLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	rate := -1.0
	onChange := func(r float64) { rate = r }
	l := &statedLimit{}
	l.adopt(0, onChange)
	is.Equal(rate, -1.0)
	l.adopt(20, onChange)
	is.Equal(rate, 20.0)
	is.True(l.record(0, now, now, onChange))
	is.Equal(rate, 0.0)
	l.adopt(20, onChange) // the target itself has said otherwise
	is.Equal(rate, 0.0)
}

// TestLimitOfChangedAnnouncement checks that a target that announces another number of
// slots keeps its limit, and that its next start does not.
func TestLimitOfChangedAnnouncement(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry("node", time.Hour, zerolog.Nop(), func([]*messenger.Target, []*messenger.Departure) {}, func(context.Context) error { return nil })
	now := time.Now()
	a := Announcement{
		ID:      "target",
		Service: "service",
		Address: "127.0.0.1:1",
		Slots:   4,
		Started: 1,
	}
	registry.Announce(a, now)
	first := registry.targets["target"]
	first.limit.record(20, now, now, first.limiter.SetRate)
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(registry)
	families, err := metrics.Gather()
	is.NoErr(err)
	is.Equal(len(families), 2) // the limit and its age
	a.Slots = 5
	registry.Announce(a, now)
	rate, _ := registry.targets["target"].limit.state()
	is.Equal(rate, 20.0)
	a.Started = 2
	registry.Announce(a, now)
	rate, _ = registry.targets["target"].limit.state()
	is.Equal(rate, 0.0)
	families, err = metrics.Gather()
	is.NoErr(err)
	is.Equal(len(families), 0)
}

// TestInvalidLimitIsLoggedOnce logs limits that cannot be read.
func TestInvalidLimitIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	l := &statedLimit{}
	is.True(l.mayWarn())
	is.True(!l.mayWarn())
	log := &strings.Builder{}
	logLimit(zerolog.New(log), "target", 20)
	logLimit(zerolog.New(log), "target", 0)
	is.Equal(strings.Count(log.String(), "\n"), 2)
	is.True(strings.Contains(log.String(), `"per-second":20`))
}
