package caller

import (
	"net/http"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

const (
	// departureRetention is how long a target's statement that it is leaving is
	// repeated to its node. Such targets end within seconds, or a minute.
	departureRetention = 5 * time.Minute
	// maxDepartures bounds the statements that are kept. When it is reached, all are
	// discarded: the targets' nodes have them too.
	maxDepartures = 4096
)

// departures holds the starts of the targets that have stated in responses of this
// proxy that they are leaving. The target's node may restart and forget that.
type departures struct {
	lock    sync.Mutex
	targets map[string]departure
}

type departure struct {
	// started is the target's start as its node wrote it.
	started string
	at      time.Time
}

func newDepartures() *departures {
	return &departures{
		targets: map[string]departure{},
	}
}

// record takes the statement that a target's node added to a response, and removes it
// from the header.
func (d *departures) record(target string, response http.Header, now time.Time) {
	started := response.Get(annotator.Departed)
	if started == "" {
		return
	}
	response.Del(annotator.Departed)
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(d.targets) >= maxDepartures {
		clear(d.targets)
	}
	d.targets[target] = departure{
		started: started,
		at:      now,
	}
}

// started returns the start of a target that has stated that it is leaving, or an
// empty string.
func (d *departures) started(target string, now time.Time) string {
	d.lock.Lock()
	defer d.lock.Unlock()
	known, ok := d.targets[target]
	if !ok {
		return ""
	}
	if now.Sub(known.at) > departureRetention {
		delete(d.targets, target)
		return ""
	}
	return known.started
}
