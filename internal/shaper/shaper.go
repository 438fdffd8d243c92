// Package shaper shares the link of an instance between bulk responses and all other
// traffic. Bulk responses are admitted against the link, and paced, so that they do not
// fill its queue.
package shaper

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// bulkShare is the share of the link that bulk responses may use. The rest carries
	// calls, nested calls and control traffic without a queue.
	bulkShare = 0.8
	// initialSize is the size assumed of a response before any was measured, in bytes.
	initialSize = 64 << 10
	// sizeSmoothing is the weight of the newest response in the mean size.
	sizeSmoothing = 0.1
	// chunkSize is the number of bytes of a paced response that are passed on at a time.
	chunkSize = 16 << 10
)

// A Shaper admits and paces the bulk responses that leave one instance. It is safe for
// concurrent use.
type Shaper struct {
	now func() time.Time
	// rate is the rate of bulk responses, in bytes a second.
	rate     float64
	admitted prometheus.Counter
	refused  prometheus.Counter

	lock sync.Mutex
	// backlog is the number of bytes of the admitted responses that are not on the link
	// yet.
	backlog float64
	// meanSize is the moving average of the sizes of responses, in bytes.
	meanSize float64
	// free is when the link has carried all responses that are ready.
	free time.Time
}

// New returns a new Shaper for a link of a number of bits a second. If that is 0, the
// link is not known and all responses are admitted and not paced.
func New(bitsPerSecond float64, registry *prometheus.Registry) *Shaper {
	s := &Shaper{
		now:      time.Now,
		rate:     bulkShare * bitsPerSecond / 8,
		meanSize: initialSize,
		admitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_bulk_admitted_total",
			Help: "Bulk calls that were admitted against the link.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_bulk_refused_total",
			Help: "Bulk calls that were refused because the link could not carry their responses in time.",
		}),
	}
	registry.MustRegister(s.admitted, s.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflymoor_bulk_backlog_bytes",
		Help: "Bytes of admitted bulk responses that the link has not carried yet.",
	}, s.Backlog))
	return s
}

// Backlog returns the number of bytes of the admitted responses that are not on the
// link yet.
func (s *Shaper) Backlog() float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.backlog
}

// Admit reserves the link for the response to a bulk call. It reports false, and how
// long the response would wait for the link, if that is more than maxWait. If it
// reports true, the caller must release the reservation.
func (s *Shaper) Admit(maxWait time.Duration) (*Reservation, time.Duration, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.rate <= 0 {
		return nil, 0, true
	}
	wait := seconds(s.backlog / s.rate)
	if wait > maxWait {
		s.refused.Inc()
		return nil, wait, false
	}
	s.admitted.Inc()
	s.backlog += s.meanSize
	return &Reservation{
		shaper:    s,
		remaining: s.meanSize,
	}, wait, true
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// A Reservation is the part of a link that the response to one call takes. A nil
// Reservation is that of a link that is not known.
type Reservation struct {
	shaper *Shaper
	// remaining is the number of bytes that are not on the link yet. The Shaper's lock
	// guards it.
	remaining float64
}

// Pace returns a reader of a response body of size bytes that reads at the rate of the
// link, behind the responses that were ready before. It fails when ctx is done.
func (r *Reservation) Pace(ctx context.Context, body io.Reader, size int) io.Reader {
	if r == nil {
		return body
	}
	s := r.shaper
	s.lock.Lock()
	defer s.lock.Unlock()
	s.meanSize += sizeSmoothing * (float64(size) - s.meanSize)
	s.backlog += float64(size) - r.remaining
	r.remaining = float64(size)
	start := s.now()
	if s.free.After(start) {
		start = s.free
	}
	s.free = start.Add(seconds(float64(size) / s.rate))
	return &pacedReader{
		ctx:         ctx,
		reservation: r,
		source:      body,
		start:       start,
	}
}

// carried records that a number of bytes is on the link.
func (r *Reservation) carried(n int) {
	r.shaper.lock.Lock()
	defer r.shaper.lock.Unlock()
	carried := min(float64(n), r.remaining)
	r.remaining -= carried
	r.shaper.backlog -= carried
}

// Release ends the reservation. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.shaper.lock.Lock()
	defer r.shaper.lock.Unlock()
	r.shaper.backlog -= r.remaining
	r.remaining = 0
}

// pacedReader reads a response at the rate of the link.
type pacedReader struct {
	ctx         context.Context
	reservation *Reservation
	source      io.Reader
	// start is when the link is free for the response, and offset the number of bytes
	// read.
	start  time.Time
	offset int
}

// Read implements io.Reader.
func (p *pacedReader) Read(to []byte) (int, error) {
	s := p.reservation.shaper
	due := p.start.Add(seconds(float64(p.offset) / s.rate))
	if wait := due.Sub(s.now()); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		}
	}
	n, err := p.source.Read(to[:min(len(to), chunkSize)])
	p.offset += n
	p.reservation.carried(n)
	return n, err
}
