package annotator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

var errInvalidDeadline = errors.New("the deadline is no whole number of milliseconds")

type dialect struct{}

// NewDialect returns a new fireflymoor.Dialect that uses the headers of this
// package.
func NewDialect() fireflymoor.Dialect {
	return dialect{}
}

// CommonHeaders implements fireflymoor.Dialect.
func (dialect) CommonHeaders() []string {
	return nil
}

// ReadCall implements fireflymoor.Dialect.
func (dialect) ReadCall(header http.Header) (fireflymoor.CallMetadata, error) {
	metadata := fireflymoor.CallMetadata{}
	if keys := header[Key]; len(keys) == 1 {
		metadata.Key = keys[0]
	}
	text := header.Get(Deadline)
	if text == "" {
		return metadata, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return metadata, errInvalidDeadline
	}
	metadata.TimeLeft = max(time.Duration(milliseconds)*time.Millisecond, time.Nanosecond)
	return metadata, nil
}

// RemoveKey implements fireflymoor.Dialect.
func (dialect) RemoveKey(header http.Header) {
	header.Del(Key)
}

// WriteDispatch implements fireflymoor.Dialect. The header already contains the call's
// id and deadline.
func (dialect) WriteDispatch(header http.Header, dispatch fireflymoor.Dispatch) {
	SetOrRemove(header, Tenant, dispatch.Tenant)
}

// SameCall implements fireflymoor.Dialect. It accepts every response, because
// targets do not send back the id of the call.
func (dialect) SameCall(_, _ http.Header) bool {
	return true
}

// ReadResponse implements fireflymoor.Dialect. Every response is accepted as
// the response to the call.
func (dialect) ReadResponse(_, _ http.Header, _ int) fireflymoor.Verdict {
	return fireflymoor.Verdict{}
}

// ReadNotice implements fireflymoor.Dialect.
func (dialect) ReadNotice(response http.Header) fireflymoor.Notice {
	return ParseNotice(response[TargetLimit], response[TargetLeaving])
}

// WriteResponse implements fireflymoor.Dialect.
func (dialect) WriteResponse(header http.Header, id string) {
	header.Set(CallID, id)
	header.Set(Outcome, fireflymoor.Answered.String())
}

// WriteRefusal implements fireflymoor.Dialect.
func (dialect) WriteRefusal(header http.Header, refusal fireflymoor.Refusal) {
	header.Set(Outcome, refusal.Outcome.String())
	header.Set(Reason, refusal.Reason)
	if refusal.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", Key)
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
}
