package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

// hold reads a short response without a length to its end if the caller's protocol is
// HTTP/1.0, whose connection would end with the response. The response gets a length, and
// one that breaks off is noticed before its head has been sent.
func (c *call) hold(response *http.Response) (fireflymoor.Outcome, error) {
	if response.ContentLength >= 0 || c.request.ProtoAtLeast(1, 1) || c.request.Method == http.MethodHead {
		return fireflymoor.Answered, nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBody+1))
	if err != nil {
		_ = response.Body.Close()
		return fireflymoor.Unknown, errors.Wrap(err, "caller: read the answer")
	}
	held := &readCloser{
		Reader: bytes.NewReader(content),
		Closer: response.Body,
	}
	if len(content) > maxKeptBody {
		held.Reader = io.MultiReader(held.Reader, response.Body)
	} else {
		response.ContentLength = int64(len(content))
	}
	response.Body = held
	return fireflymoor.Answered, nil
}
