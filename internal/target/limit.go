package target

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// limitLogInterval is the minimum time between two log lines about changes of a
// target's limit.
const limitLogInterval = time.Second

// statedLimit is the limit that a target last stated.
type statedLimit struct {
	lock sync.Mutex
	// rate is in calls per second. It is 0 if the target states no limit.
	rate float64
	// at is when a response last stated the limit.
	at       time.Time
	loggedAt time.Time
	// known is set once a response of the target has come. Before that, the limit is
	// the one that other nodes know.
	known bool
	// warned is set once an invalid limit was logged.
	warned bool
}

// record records the limit in a response to a call that was sent at sentAt. A response
// without a limit ends the limit only if its call was sent after the limit was last
// stated, because responses over different connections overtake each other. It calls
// onChange, and returns true, if the limit has changed.
func (l *statedLimit) record(rate float64, sentAt, now time.Time, onChange func(rate float64)) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.known = true
	if rate == 0 && (l.rate == 0 || sentAt.Before(l.at)) {
		return false
	}
	changed := l.rate != rate
	l.rate = rate
	l.at = now
	if changed {
		onChange(rate)
	}
	return changed
}

// adopt takes over a limit that another node knows, as long as the target has sent no
// response to this process. The target's first response replaces it.
func (l *statedLimit) adopt(rate float64, onChange func(rate float64)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if rate == 0 || l.known || l.rate == rate {
		return
	}
	l.rate = rate
	onChange(rate)
}

// state returns the limit, or 0 if there is none, and when it was last stated.
func (l *statedLimit) state() (rate float64, at time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.rate, l.at
}

// mayLogChange reports whether a change of the limit should be logged: its start and
// its end always are.
func (l *statedLimit) mayLogChange(ends bool, now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !ends && now.Sub(l.loggedAt) < limitLogInterval {
		return false
	}
	l.loggedAt = now
	if ends {
		l.loggedAt = time.Time{}
	}
	return true
}

// mayWarn reports whether an invalid limit should be logged, which it is once.
func (l *statedLimit) mayWarn() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	warns := !l.warned
	l.warned = true
	return warns
}

// observeNotice records what a target stated in a response to a call that was sent at
// sentAt. A target that is leaving gets no call after the response has been passed on.
func (s *Server) observeNotice(t *localTarget, response http.Header, sentAt time.Time) {
	notice := s.dialect.ReadNotice(response)
	now := time.Now()
	response.Del(annotator.Departed)
	if notice.Leaving {
		s.registry.drainLeaving(t, "stated in a response")
		if t.started > 0 {
			response.Set(annotator.Departed, strconv.FormatInt(t.started, 10))
		}
	}
	log := s.registry.log
	if notice.InvalidLimit != "" && t.limit.mayWarn() {
		log.Warn().Str("target", t.id).Str("limit", notice.InvalidLimit).
			Msg("target: the limit is no decimal number above 0 and is ignored")
	}
	if !t.limit.record(notice.Limit, sentAt, now, t.limiter.SetRate) {
		return
	}
	if t.limit.mayLogChange(notice.Limit == 0, now) {
		logLimit(log, t.id, notice.Limit)
	}
}

// logLimit logs a limit that a target states, or its end if it is 0.
func logLimit(log zerolog.Logger, id string, rate float64) {
	if rate == 0 {
		log.Info().Str("target", id).Msg("target: limit ended")
		return
	}
	log.Info().Str("target", id).Float64("per-second", rate).Msg("target: limit stated")
}

// observeSent counts a call that is sent to a target.
func (m *Metrics) observeSent(limited bool) {
	if m != nil {
		m.sent.WithLabelValues(strconv.FormatBool(limited)).Inc()
	}
}

var (
	limitDescription = prometheus.NewDesc("fireflymoor_target_limit",
		"Calls per second that a target of this instance accepts, as it stated last.", []string{"target"}, nil)
	limitAgeDescription = prometheus.NewDesc("fireflymoor_target_limit_age_seconds",
		"Time since a target of this instance last stated its limit.", []string{"target"}, nil)
)

// Describe implements prometheus.Collector.
func (*Registry) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- limitDescription
	descriptions <- limitAgeDescription
}

// Collect implements prometheus.Collector. It reports the targets that state a limit.
func (r *Registry) Collect(metrics chan<- prometheus.Metric) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	for id, t := range r.targets {
		rate, at := t.limit.state()
		if rate == 0 {
			continue
		}
		metrics <- prometheus.MustNewConstMetric(limitDescription, prometheus.GaugeValue, rate, id)
		if !at.IsZero() {
			metrics <- prometheus.MustNewConstMetric(limitAgeDescription, prometheus.GaugeValue, now.Sub(at).Seconds(), id)
		}
	}
}
