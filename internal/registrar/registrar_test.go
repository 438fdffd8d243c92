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
	state, _ := r.Revoke(t.Context(), "a", 0, now)
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
		_, response := r.Revoke(t.Context(), "a", 0, now)
		got <- response
	}()
	for queried := false; !queried; time.Sleep(time.Millisecond) {
		_, queried = r.LastQuery("a")
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
	state, _ := r.Revoke(t.Context(), "b", 0, later)
	is.Equal(state, Unknown) // b was evicted while it ran
}

// TestLateFirstQuery queries a call for the first time after it has been evicted.
// It ran, so that it must not be reported as refused.
func TestLateFirstQuery(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Begin("a", now))
	r.End("a", Answered, nil, now.Add(time.Second))
	late := now.Add(window + 2*time.Second)
	is.NoErr(r.Begin("b", late)) // evicts a
	state, _ := r.Revoke(t.Context(), "a", late.Sub(now), late)
	is.Equal(state, Unknown)
}

// TestLongCallKeepsNoOthers ends calls while one call goes on running. The others
// must be evicted, and their responses must not fill the space for responses.
func TestLongCallKeepsNoOthers(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Begin("long", now))
	for i := range 1000 {
		id := time.Duration(i).String()
		at := now.Add(time.Duration(i) * time.Second)
		is.NoErr(r.Begin(id, at))
		r.End(id, Answered, &Response{
			Body: make([]byte, MaxBufferedBody),
		}, at)
	}
	is.True(len(r.calls) <= int(window/time.Second)+3)
	is.True(r.keptBytes <= (int(window/time.Second)+3)*MaxBufferedBody)
	state, response := r.Revoke(t.Context(), time.Duration(999).String(), 0, now.Add(999*time.Second))
	is.Equal(state, Answered)
	is.True(response != nil)
	is.True(len(r.order) < 2*maxCalls)
}
