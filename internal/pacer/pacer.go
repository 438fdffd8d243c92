// Package pacer makes calls at a fixed rate whether or not earlier ones have
// ended, and measures each from when it was due, so that a slow answer does
// not hide the calls that it held up.
package pacer

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/internal/labeler"
)

const (
	// leastLatency and mostLatency bound what is recorded, in microseconds.
	leastLatency = 1
	mostLatency  = 60_000_000
	digits       = 3
	connections  = 256
	callTimeout  = 10 * time.Second
	// spin is how long before a call is due the pacer stops sleeping.
	spin = 1500 * time.Microsecond
)

// A Pacer makes calls to one address.
type Pacer struct {
	client *http.Client
	url    string
	rate   int
	method string
	keyed  bool
}

// Option sets what calls are like.
type Option func(p *Pacer)

// WithKeys makes POST calls, each with an idempotency key of its own, in
// place of GET calls without.
func WithKeys() Option {
	return func(p *Pacer) {
		p.method = http.MethodPost
		p.keyed = true
	}
}

// New returns a new Pacer of rate calls a second.
func New(url string, rate int, options ...Option) *Pacer {
	p := &Pacer{
		url:    url,
		rate:   rate,
		method: http.MethodGet,
		client: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: connections,
				DisableCompression:  true,
				DialContext:         (&net.Dialer{}).DialContext,
			},
		},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// A Result is what a Pacer measured.
type Result struct {
	// Latency holds the time from when each call was due to its whole
	// answer, in microseconds.
	Latency *hdrhistogram.Histogram
	// Failed is the number of calls that were not answered with status 200.
	Failed int
}

// NewResult returns a new, empty Result.
func NewResult() Result {
	return Result{
		Latency: hdrhistogram.New(leastLatency, mostLatency, digits),
	}
}

// Merge adds another result.
func (r *Result) Merge(other Result) {
	r.Latency.Merge(other.Latency)
	r.Failed += other.Failed
}

// Run calls for the duration, or until ctx ends.
func (p *Pacer) Run(ctx context.Context, duration time.Duration) Result {
	result := NewResult()
	var lock sync.Mutex
	var group sync.WaitGroup
	interval := time.Second / time.Duration(p.rate)
	began := time.Now()
	for n := 0; ; n++ {
		due := began.Add(time.Duration(n) * interval)
		if due.Sub(began) >= duration || ctx.Err() != nil {
			break
		}
		waitUntil(due)
		group.Go(func() {
			err := p.call(ctx)
			took := time.Since(due).Microseconds()
			lock.Lock()
			defer lock.Unlock()
			_ = result.Latency.RecordValue(max(took, leastLatency))
			if err != nil {
				result.Failed++
			}
		})
	}
	group.Wait()
	return result
}

// waitUntil sleeps until shortly before a time and then spins, as a sleep may
// end a millisecond late.
func waitUntil(due time.Time) {
	time.Sleep(time.Until(due) - spin)
	for time.Now().Before(due) {
		runtime.Gosched()
	}
}

func (p *Pacer) call(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, p.method, p.url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "pacer: request")
	}
	if p.keyed {
		request.Header.Set(labeler.IdempotencyKey, uuid.NewString())
	}
	response, err := p.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "pacer: call")
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "pacer: read")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("pacer: status %d", response.StatusCode)
	}
	return nil
}
