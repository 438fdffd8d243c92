package target

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSlotReleasedAtEndOfBody reads response bodies of known and unknown length to
// their end. The slot must be released then, before the reader has passed on the
// data and closes the body.
func TestSlotReleasedAtEndOfBody(t *testing.T) {
	for _, length := range []int64{int64(len("answer")), -1} {
		is := is.New(t)
		released := 0
		body := &releasingBody{
			ReadCloser: io.NopCloser(strings.NewReader("answer")),
			remaining:  length,
			release:    func() { released++ },
		}
		got, err := io.ReadAll(body)
		is.NoErr(err)
		is.Equal(string(got), "answer")
		is.Equal(released, 1)
		is.NoErr(body.Close())
		is.Equal(released, 1)
	}
}
