// Package pacer generates load at a fixed rate, whether or not earlier calls have
// ended. It measures the latency of each call from the time at which the call was
// due, so that a slow response does not hide the delay of the calls after it
// (coordinated omission).
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

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

const (
	// minLatency and maxLatency are the range of the histogram, in microseconds.
	minLatency         = 1
	maxLatency         = 60_000_000
	significantDigits  = 3
	maxIdleConnections = 256
	callTimeout        = 10 * time.Second
	// spinTime is how long before a call is due the pacer starts to busy-wait.
	spinTime = 1500 * time.Microsecond
)

// A Pacer makes calls to one URL at a fixed rate.
type Pacer struct {
	client *http.Client
	url    string
	rate   int
	method string
	keyed  bool
}

// Option configures a Pacer.
type Option func(p *Pacer)

// WithKeys makes POST calls, each with a unique idempotency key, in place of GET
// calls without a key.
func WithKeys() Option {
	return func(p *Pacer) {
		p.method = http.MethodPost
		p.keyed = true
	}
}

// New returns a new Pacer that makes rate calls per second to url.
func New(url string, rate int, options ...Option) *Pacer {
	p := &Pacer{
		url:    url,
		rate:   rate,
		method: http.MethodGet,
		client: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConnections,
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

// A Result is the result of one or more runs.
type Result struct {
	// Latency holds the time in microseconds from when each call was due until
	// its complete response or its error.
	Latency *hdrhistogram.Histogram
	// Failed is the number of calls without a complete response of status 200.
	Failed int
}

// NewResult returns a new, empty Result.
func NewResult() Result {
	return Result{
		Latency: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// Merge adds the calls of another result.
func (r *Result) Merge(other Result) {
	r.Latency.Merge(other.Latency)
	r.Failed += other.Failed
}

// Run makes calls for the given duration or until ctx ends, and waits for their
// responses.
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
			_ = result.Latency.RecordValue(max(took, minLatency))
			if err != nil {
				result.Failed++
			}
		})
	}
	group.Wait()
	return result
}

// waitUntil sleeps until shortly before due and then busy-waits, because a sleep
// may end a millisecond late.
func waitUntil(due time.Time) {
	time.Sleep(time.Until(due) - spinTime)
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
		request.Header.Set(annotator.IdempotencyKey, uuid.NewString())
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
