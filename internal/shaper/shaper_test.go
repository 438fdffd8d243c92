package shaper

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// testLink carries one megabyte of bulk responses a second.
	testLink = 10_000_000
	testSize = 100_000
)

func newTestShaper() (*Shaper, *time.Time) {
	now := time.Unix(1000, 0)
	s := New(testLink, prometheus.NewRegistry())
	s.meanSize = testSize
	s.now = func() time.Time { return now }
	return s, &now
}

// TestMoreBulkThanTheLinkCarries guards against bulk calls that targets run although the
// link cannot carry their responses in time: 20 calls of 0.1 s of the link each may wait
// 0.75 s.
func TestMoreBulkThanTheLinkCarries(t *testing.T) {
	is := is.New(t)
	s, _ := newTestShaper()
	admitted := 0
	for range 20 {
		if _, _, ok := s.Admit(750 * time.Millisecond); ok {
			admitted++
		}
	}
	is.Equal(admitted, 8)
	_, wait, ok := s.Admit(750 * time.Millisecond)
	is.True(!ok)
	is.Equal(wait, 800*time.Millisecond)
}

// TestSizesAreLearned guards against a link that is overbooked because responses are
// longer than was assumed.
func TestSizesAreLearned(t *testing.T) {
	is := is.New(t)
	s, now := newTestShaper()
	for range 100 {
		r, _, ok := s.Admit(time.Hour)
		is.True(ok)
		_ = r.Pace(t.Context(), bytes.NewReader(nil), 3*testSize)
		is.Equal(s.Backlog(), float64(3*testSize))
		r.Release()
		*now = now.Add(time.Second)
	}
	is.True(s.meanSize > 2.9*testSize)
	is.Equal(s.Backlog(), 0.0)
}

// TestResponsesFollowEachOther guards against responses that are ready together and
// share the link, so that all of them end late: the second one begins when the first
// one has ended.
func TestResponsesFollowEachOther(t *testing.T) {
	is := is.New(t)
	s, now := newTestShaper()
	var starts []time.Duration
	for range 3 {
		r, _, _ := s.Admit(time.Hour)
		p, _ := r.Pace(t.Context(), bytes.NewReader(nil), testSize).(*pacedReader)
		starts = append(starts, p.start.Sub(*now))
	}
	is.Equal(starts, []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond})
}

// TestPacedResponseIsWhole guards against bytes that are lost or changed, and against a
// link whose queue is filled because responses are written at once.
func TestPacedResponseIsWhole(t *testing.T) {
	is := is.New(t)
	s := New(100*testLink, prometheus.NewRegistry())
	var group sync.WaitGroup
	begin := time.Now()
	for i := range 4 {
		group.Go(func() {
			content := bytes.Repeat([]byte{byte(i)}, 10*testSize)
			r, _, ok := s.Admit(time.Hour)
			got, err := io.ReadAll(r.Pace(t.Context(), bytes.NewReader(content), len(content)))
			r.Release()
			is.True(ok)
			is.NoErr(err)
			is.True(bytes.Equal(got, content))
		})
	}
	group.Wait()
	is.True(time.Since(begin) >= 35*time.Millisecond) // 4 MB at 100 MB a second
	is.Equal(s.Backlog(), 0.0)
}

// TestCallerOfBulkLeaves guards against a link that stays reserved for a caller that has
// left.
func TestCallerOfBulkLeaves(t *testing.T) {
	is := is.New(t)
	s, _ := newTestShaper()
	first, _, _ := s.Admit(time.Hour)
	_ = first.Pace(t.Context(), bytes.NewReader(nil), testSize)
	second, _, _ := s.Admit(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := second.Pace(ctx, bytes.NewReader(make([]byte, testSize)), testSize).Read(make([]byte, 10))
	is.Equal(err, context.Canceled)
	second.Release()
	second.Release()
	is.Equal(s.Backlog(), float64(testSize))
}

// TestUnknownLink guards against calls that are refused or delayed where the rate of the
// link is not set.
func TestUnknownLink(t *testing.T) {
	is := is.New(t)
	s := New(0, prometheus.NewRegistry())
	for range 1000 {
		r, _, ok := s.Admit(0)
		is.True(ok)
		source := bytes.NewReader(nil)
		is.Equal(r.Pace(t.Context(), source, testSize), source)
		r.Release()
	}
}
