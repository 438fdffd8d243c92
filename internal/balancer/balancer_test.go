package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

func candidate(id string, load float64, weight float64, local bool) fireflymoor.Candidate {
	return fireflymoor.Candidate{
		Target: fireflymoor.Target{
			ID:    id,
			Slots: 20,
		},
		Load:     load,
		Slowness: 1,
		Weight:   weight,
		SameZone: local,
	}
}

// withSlowness returns the candidate with calls that take four times the usual time.
func withSlowness(c fireflymoor.Candidate) fireflymoor.Candidate {
	c.Slowness = 4
	return c
}

// inInstance returns the candidate as the target of the proxy's instance.
func inInstance(c fireflymoor.Candidate) fireflymoor.Candidate {
	c.SameInstance = true
	return c
}

// withInFlight returns the candidate with calls of the proxy in flight.
func withInFlight(c fireflymoor.Candidate, calls int) fireflymoor.Candidate {
	c.InFlight = calls
	return c
}

// TestTwoChoices checks which target is picked from given candidates.
func TestTwoChoices(t *testing.T) {
	cases := []struct {
		name       string
		candidates []fireflymoor.Candidate
		allowed    string
	}{
		{
			name: "none",
		},
		{
			name:       "the only candidate, even if overloaded",
			candidates: []fireflymoor.Candidate{candidate("a", 9, 1, false)},
			allowed:    "a",
		},
		{
			name: "this instance before the zone while it has a slot, because its calls use no narrow link",
			candidates: []fireflymoor.Candidate{
				inInstance(candidate("a", 0.9, 1, true)), candidate("b", 0, 1, true), candidate("c", 0, 1, true),
			},
			allowed: "a",
		},
		{
			name: "the zone when calls wait at this instance",
			candidates: []fireflymoor.Candidate{
				inInstance(candidate("a", 1.1, 1, true)), candidate("b", 0.3, 1, true),
			},
			allowed: "b",
		},
		{
			name: "the zone when this instance is slower",
			candidates: []fireflymoor.Candidate{
				inInstance(withSlowness(candidate("a", 0, 1, true))), candidate("b", 0.3, 1, true),
			},
			allowed: "b",
		},
		{
			name: "the zone while this instance is in slow start",
			candidates: []fireflymoor.Candidate{
				inInstance(candidate("a", 0, 0.2, true)), candidate("b", 0.3, 1, true),
			},
			allowed: "b",
		},
		{
			name: "the local zone before others",
			candidates: []fireflymoor.Candidate{
				candidate("a", 0.9, 1, true), candidate("b", 0, 1, false), candidate("c", 0, 1, false),
			},
			allowed: "a",
		},
		{
			name: "the zone while it has slots, although this proxy uses many of them",
			candidates: []fireflymoor.Candidate{
				withInFlight(candidate("a", 0.7, 1, true), 14), candidate("b", 0, 1, false), candidate("c", 0, 1, false),
			},
			allowed: "a",
		},
		{
			name: "the zone when calls wait there for a short time",
			candidates: []fireflymoor.Candidate{
				candidate("a", 1.2, 1, true), candidate("b", 0.1, 1, false), candidate("c", 0.2, 1, false),
			},
			allowed: "a",
		},
		{
			name: "another zone when the local zone is full",
			candidates: []fireflymoor.Candidate{
				candidate("a", 1.6, 1, true), candidate("b", 0.1, 1, false), candidate("c", 0.2, 1, false),
			},
			allowed: "b",
		},
		{
			name: "the local zone when others are fuller",
			candidates: []fireflymoor.Candidate{
				candidate("a", 1.6, 1, true), candidate("b", 2, 1, false),
			},
			allowed: "a",
		},
		{
			name: "of two targets with equal load, the target after slow start",
			candidates: []fireflymoor.Candidate{
				candidate("a", 0.2, 0.1, true), candidate("b", 0.2, 1, true),
			},
			allowed: "b",
		},
		{
			name: "the faster of two targets, although it reports a higher load",
			candidates: []fireflymoor.Candidate{
				withSlowness(candidate("a", 0, 1, true)), candidate("b", 0.9, 1, true),
			},
			allowed: "b",
		},
		{
			name: "another zone when the local zone is much slower",
			candidates: []fireflymoor.Candidate{
				withSlowness(candidate("a", 0, 1, true)), withSlowness(candidate("b", 0, 1, true)), candidate("c", 0.1, 1, false),
			},
			allowed: "c",
		},
		{
			name: "the only target of three in the zone that is not full",
			candidates: []fireflymoor.Candidate{
				candidate("a", 1.5, 1, true), candidate("b", 1.5, 1, true), candidate("c", 0.5, 1, true),
				candidate("d", 0, 1, false),
			},
			allowed: "c",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for range 50 {
				pick, ok := NewTwoChoices().Pick(c.candidates, time.Time{})
				is.Equal(ok, c.allowed != "")
				is.Equal(pick.Target.ID, c.allowed)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	var candidates []fireflymoor.Candidate
	for i := range 21 {
		candidates = append(candidates, candidate(fmt.Sprint(i), 0.5, 1, i%6 == 0))
	}
	balancer := NewTwoChoices()
	b.ReportAllocs()
	for b.Loop() {
		balancer.Pick(candidates, time.Time{})
	}
}
