package responder

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitChecker sends calls at the bound of a limit and above it, and to a process
// that was suspended.
func TestLimitChecker(t *testing.T) {
	cases := map[string]struct {
		perSecond int
		pause     time.Duration
		violated  bool
	}{
		"at the bound":       {perSecond: 30},
		"above it":           {perSecond: 40, violated: true},
		"after a suspension": {perSecond: 31, pause: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := &bytes.Buffer{}
			now := time.Unix(1000, 0)
			checker := newLimitChecker(20, out, now)
			for range 10 {
				if c.pause > 0 {
					now = now.Add(c.pause)
					for range 100 {
						checker.arrive(now)
					}
				}
				for range c.perSecond {
					now = now.Add(time.Second / time.Duration(c.perSecond))
					checker.arrive(now)
				}
			}
			is.Equal(out.Len() > 0, c.violated)
		})
	}
}
