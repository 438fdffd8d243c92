package announcer

import (
	"slices"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// unrepeatedDepartures returns the departures that earlier runs of a member
// announced and that its next fact does not repeat. The record is the one that the
// fact replaces, or nil.
func unrepeatedDepartures(old *record, next *messenger.Fact) []*messenger.Departure {
	if old == nil {
		return nil
	}
	departures := slices.Clone(old.unrepeated)
	if old.fact.GetBoot() < next.GetBoot() {
		departures = append(departures, old.fact.GetDepartures()...)
	}
	return slices.DeleteFunc(departures, func(d *messenger.Departure) bool {
		return slices.ContainsFunc(next.GetDepartures(), func(n *messenger.Departure) bool {
			return covers(n, d)
		})
	})
}

// covers reports whether a departure says all that another one says.
func covers(n, d *messenger.Departure) bool {
	switch {
	case n.GetId() != d.GetId():
		return false
	case n.GetStarted() != d.GetStarted():
		return n.GetStarted() > d.GetStarted()
	}
	return n.GetSequence() >= d.GetSequence() && (n.GetLeft() || !d.GetLeft())
}

// Earlier returns a fact with the departures that earlier runs of a member
// announced and its current run has not repeated, or nil if there are none. It is
// older than every fact of the current run.
func (a *Announcer) Earlier(name string) *messenger.Fact {
	r := a.facts[name]
	if r == nil || len(r.unrepeated) == 0 {
		return nil
	}
	return &messenger.Fact{
		Name:       name,
		Departures: r.unrepeated,
	}
}

// IsEarlier reports whether a fact has departures of an earlier run of this
// process.
func (a *Announcer) IsEarlier(fact *messenger.Fact) bool {
	return fact.GetName() == a.self && len(fact.GetDepartures()) > 0 && fact.GetBoot() != a.Self().GetBoot()
}
