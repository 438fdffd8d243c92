package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/loader"
)

const (
	// concludeMargin is the time before SIGKILL at which the calls in flight are
	// concluded, and closeMargin the one at which the connections are closed.
	concludeMargin = 250 * time.Millisecond
	closeMargin    = 100 * time.Millisecond
	// graceShare is the part of the time until SIGKILL in which a leaving process may
	// take calls. The rest is for the calls in flight.
	graceShare = 0.5
)

// stopTimes are the times of a process that ends, from SIGTERM on.
type stopTimes struct {
	// grace is how long callers are served as before.
	grace time.Duration
	// conclude is when the calls that are still in flight are concluded without an
	// answer of a target, and closing when their connections are closed.
	conclude, closing time.Duration
}

// newStopTimes returns the stop times for settings. Calls in flight have the shutdown
// timeout from the end of the grace, but end before SIGKILL if killDelay, the time until
// then, is known.
func newStopTimes(settings loader.Settings, killDelay time.Duration) stopTimes {
	t := stopTimes{
		grace: settings.Grace,
	}
	if killDelay > 0 {
		t.grace = min(t.grace, time.Duration(graceShare*float64(killDelay)))
	}
	t.conclude = t.grace + drainNoticeDelay + settings.Shutdown
	if killDelay > 0 {
		t.conclude = min(t.conclude, killDelay-concludeMargin)
	}
	t.closing = t.conclude + concludeMargin - closeMargin
	return t
}

// stopTimes returns the stop times by the settings that were read last.
func (m *member) stopTimes() stopTimes {
	var t stopTimes
	_ = m.sequencer.Do(context.Background(), func() {
		killDelay := m.settings.KillDelay
		if killDelay == 0 && m.adapter != nil {
			killDelay = m.adapter.KillDelay(m.settings)
		}
		t = newStopTimes(m.settings, killDelay)
	})
	return t
}

// shutdown shuts down the servers one after the other and waits for their
// requests in flight. It closes the connections of a server that is not done when ctx
// ends.
func (m *member) shutdown(ctx context.Context, servers ...*http.Server) {
	for _, s := range servers {
		if s == nil {
			continue
		}
		if err := s.Shutdown(ctx); err != nil {
			m.log.Warn().Err(err).Msg("process: requests in flight aborted at shutdown")
			_ = s.Close()
		}
	}
}
