package vetter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

func targetsOf(versions ...string) []fireflymoor.Target {
	var targets []fireflymoor.Target
	for _, version := range versions {
		targets = append(targets, fireflymoor.Target{
			Service: "a",
			Team:    "team",
			Version: version,
		})
	}
	return targets
}

// TestVet starts targets of another version beside those of a service. They must not
// be used before a quorum has confirmed that there is no order, and versions that are
// there from the start must be used at once, as deployments without roll-outs do.
func TestVet(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	v := New(start)
	unvetted := func(now time.Time, versions ...string) []bool {
		var flags []bool
		targets := targetsOf(versions...)
		v.Vet(targets, now)
		for _, target := range targets {
			flags = append(flags, target.Unvetted)
		}
		return flags
	}
	is.Equal(unvetted(start, "v1"), []bool{false})
	is.Equal(unvetted(start.Add(startTime-1), "v1", "v0"), []bool{false, false}) // learned late

	now := start.Add(time.Minute)
	is.Equal(unvetted(now, "v1", "v2"), []bool{false, true})
	is.True(!v.IsDue(now.Add(holdTime - 1)))
	v.ConfirmDue(now.Add(holdTime - 1)) // too early
	is.True(v.IsDue(now.Add(holdTime)))
	is.Equal(unvetted(now.Add(time.Hour), "v1", "v2"), []bool{false, true}) // no quorum
	v.ConfirmDue(now.Add(holdTime))
	is.Equal(unvetted(now.Add(time.Hour), "v1", "v2"), []bool{false, false})

	now = now.Add(2 * time.Hour)
	is.Equal(unvetted(now, "v1", "v3"), []bool{false, true})
	unvetted(now.Add(time.Second), "v1")
	is.Equal(unvetted(now.Add(holdTime), "v1", "v3"), []bool{false, true})
	is.True(!v.IsDue(now.Add(holdTime))) // its time begins again with its next target
}
