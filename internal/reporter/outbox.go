package reporter

import (
	"slices"
	"time"
)

const (
	// firstRetry is the wait before a report that was not delivered is sent
	// again; each further wait is twice as long, up to lastRetry. The first
	// ones are short, as a report may be lost with one dead connection.
	firstRetry = 150 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// An Outbox knows which receivers have yet to get the latest report. Its
// methods are called from one goroutine.
type Outbox struct {
	letters map[string]*letter
}

type letter struct {
	due    time.Time
	tries  int
	sent   bool
	latest uint64
	inAir  uint64
}

// NewOutbox returns a new, empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{
		letters: map[string]*letter{},
	}
}

// Put has the latest report sent to the receivers, and to no others.
func (o *Outbox) Put(receivers []string, now time.Time) {
	for name := range o.letters {
		if !slices.Contains(receivers, name) {
			delete(o.letters, name)
		}
	}
	for _, name := range receivers {
		l := o.letters[name]
		if l == nil {
			l = &letter{}
			o.letters[name] = l
		}
		l.latest++
		l.tries = 0
		l.due = now
	}
}

// Due returns the receivers to send the latest report to. Done must be called
// for each.
func (o *Outbox) Due(now time.Time) []string {
	var due []string
	for name, l := range o.letters {
		if !l.sent && !now.Before(l.due) {
			l.sent = true
			l.inAir = l.latest
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Done says whether a report was delivered. One that was not, or that is no
// longer the latest, is due again.
func (o *Outbox) Done(name string, delivered bool, now time.Time) {
	l := o.letters[name]
	if l == nil {
		return
	}
	l.sent = false
	switch {
	case delivered && l.inAir == l.latest:
		delete(o.letters, name)
	case !delivered:
		l.due = now.Add(min(firstRetry<<min(l.tries, 10), lastRetry))
		l.tries++
	}
}
