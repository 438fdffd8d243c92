package target

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSlotEndsWithAnswer reads answers of known and unknown length to their
// end. Their slots are free before the reader has passed them on and closes.
func TestSlotEndsWithAnswer(t *testing.T) {
	for _, length := range []int64{int64(len("answer")), -1} {
		is := is.New(t)
		released := 0
		body := &releasingBody{
			ReadCloser: io.NopCloser(strings.NewReader("answer")),
			left:       length,
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
