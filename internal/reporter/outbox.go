package reporter

import (
	"slices"
	"time"
)

const (
	// initialBackoff is the wait before a failed delivery is retried. The wait
	// doubles with each further failure, up to maxBackoff. The first waits are
	// short, as a report may be lost with a single dead connection.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// An Outbox tracks the receivers to which the latest report has not yet been
// delivered. It is not safe for concurrent use.
type Outbox struct {
	deliveries map[string]*delivery
}

// delivery is the state of the delivery to one receiver. The fields latest and
// inFlight are sequence numbers of reports.
type delivery struct {
	due      time.Time
	failures int
	sending  bool
	latest   uint64
	inFlight uint64
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{
		deliveries: map[string]*delivery{},
	}
}

// Put schedules a new report for delivery to the receivers, and cancels the
// delivery to all others.
func (o *Outbox) Put(receivers []string, now time.Time) {
	for name := range o.deliveries {
		if !slices.Contains(receivers, name) {
			delete(o.deliveries, name)
		}
	}
	for _, name := range receivers {
		d := o.deliveries[name]
		if d == nil {
			d = &delivery{}
			o.deliveries[name] = d
		}
		d.latest++
		d.failures = 0
		d.due = now
	}
}

// Due returns the receivers to which the latest report must be sent now, sorted
// by name. Done must be called for each of them.
func (o *Outbox) Due(now time.Time) []string {
	var due []string
	for name, d := range o.deliveries {
		if !d.sending && !now.Before(d.due) {
			d.sending = true
			d.inFlight = d.latest
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Done records whether a report was delivered to a receiver. If it was not, or if
// there is a newer report by now, the receiver becomes due again.
func (o *Outbox) Done(name string, delivered bool, now time.Time) {
	d := o.deliveries[name]
	if d == nil {
		return
	}
	d.sending = false
	switch {
	case delivered && d.inFlight == d.latest:
		delete(o.deliveries, name)
	case !delivered:
		d.due = now.Add(min(initialBackoff<<min(d.failures, 10), maxBackoff))
		d.failures++
	}
}
