package runner

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// checkMalformed has a target send an answer that is not valid to callers with and without
// an upload, over one node and two, and then close its connection or keep it open. The
// caller gets status 502 and the outcome unknown, as the call may have run.
func checkMalformed(t *testing.T, content string) {
	t.Helper()
	target := newRawTarget(t)
	path := newCallPathTo(t, target.address())
	for nodes, host := range path.hosts(t) {
		for _, call := range []rawCall{{protocol: 1}, {protocol: 1, upload: true}, {protocol: 0}} {
			for _, open := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/open-%t", nodes, call.name(), open), func(t *testing.T) {
					is := is.New(t)
					target.answer.Store(&rawAnswer{
						content: content,
						open:    open,
					})
					began := time.Now()
					r := call.do(t, host)
					is.True(time.Since(began) < brokenCallTimeout) // not at the deadline
					if r.err == nil {
						is.Equal(r.status, http.StatusBadGateway)
						is.Equal(r.outcome, fireflymoor.Unknown.String())
					}
				})
			}
		}
	}
}

// TestInvalidStatusIsNotPassedOn guards against an answer whose status is none of a final
// response.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "000 None", "0", "099 Low", "600 High", "-20 Low", "2 0", "20x", "2000 High"} {
		t.Run(status, func(t *testing.T) {
			checkMalformed(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok", status))
		})
	}
}
