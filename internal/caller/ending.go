package caller

import (
	"context"

	"github.com/cockroachdb/errors"
)

// errEnding is the cause for which a call is concluded before its time is over.
var errEnding = errors.New("the node is ending")

// untilEnding returns a context that is canceled with errEnding when the process is about
// to end. Its callers then get a response that says what is known of their call, in place
// of a closed connection. The function releases the context.
func (h *Handler) untilEnding(ctx context.Context) (context.Context, context.CancelFunc) {
	if h.options.Ending == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(h.options.Ending, func() { cancel(errEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isConcluded reports whether a call was ended because the process is about to end.
func isConcluded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errEnding)
}
