package sequencer

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestPanicIsContained runs a task that panics. It must be reported, and later
// tasks must run.
func TestPanicIsContained(t *testing.T) {
	is := is.New(t)
	s := New()
	var reported []any
	s.ContainPanics(func(value any, stack []byte) {
		is.True(len(stack) > 0)
		reported = append(reported, value)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	is.NoErr(s.Do(ctx, func() { panic("malformed") }))
	ran := false
	is.NoErr(s.Do(ctx, func() { ran = true }))
	is.True(ran)
	is.Equal(reported, []any{"malformed"})
}
