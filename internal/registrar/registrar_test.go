package registrar

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

// TestRevokeBeforeBegin revokes a call before it arrives. It must be refused,
// also if it arrives much later.
func TestRevokeBeforeBegin(t *testing.T) {
	is := is.New(t)
	r := New()
	state, _ := r.Revoke(t.Context(), "a", now)
	is.Equal(state, Refused)
	is.True(errors.Is(r.Begin("a", now), ErrRevoked))
	late := now.Add(refusalWindow - time.Second)
	is.NoErr(r.Begin("b", late))
	is.True(errors.Is(r.Begin("a", late), ErrRevoked)) // delayed on the network
}

// TestResponseIsKept queries a running call. The query must return the response
// once the call has ended.
func TestResponseIsKept(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Begin("a", now))
	is.True(errors.Is(r.Begin("a", now), ErrRevoked)) // a second arrival
	got := make(chan *Response)
	go func() {
		_, response := r.Revoke(t.Context(), "a", now)
		got <- response
	}()
	for !r.Queried("a") {
		time.Sleep(time.Millisecond)
	}
	r.End("a", Answered, &Response{
		Status: 200,
		Body:   []byte("body"),
	}, now)
	is.Equal(string((<-got).Body), "body")
}

// TestEviction exceeds the window and then the number of calls. Calls must be
// evicted, and one that was evicted before its window had passed must be
// reported as unknown, not as refused.
func TestEviction(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Begin("a", now))
	r.End("a", Answered, nil, now)
	later := now.Add(window + time.Second)
	is.NoErr(r.Begin("b", later))
	is.Equal(len(r.calls), 1)
	for i := range maxCalls + 10 {
		is.NoErr(r.Begin(time.Duration(i).String(), later))
	}
	is.True(len(r.calls) <= maxCalls)
	state, _ := r.Revoke(t.Context(), "b", later)
	is.Equal(state, Unknown) // b was evicted while it ran
}
