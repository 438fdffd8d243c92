package registrar

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

// TestRevokeBeforeBegin refuses a call that arrives after it was revoked.
func TestRevokeBeforeBegin(t *testing.T) {
	is := is.New(t)
	r := New()
	state, _ := r.Revoke(t.Context(), "a", now)
	is.Equal(state, Refused)
	is.True(errors.Is(r.Begin("a", now), ErrRevoked))
	late := now.Add(refusedWindow - time.Second)
	is.NoErr(r.Begin("b", late))
	is.True(errors.Is(r.Begin("a", late), ErrRevoked)) // held up for long on the way
}

// TestAnswerIsKept gives the answer to whoever asks, also while it runs.
func TestAnswerIsKept(t *testing.T) {
	is := is.New(t)
	r := New()
	is.NoErr(r.Begin("a", now))
	is.True(errors.Is(r.Begin("a", now), ErrRevoked)) // a second arrival
	got := make(chan *Answer)
	go func() {
		_, answer := r.Revoke(t.Context(), "a", now)
		got <- answer
	}()
	for !r.Asked("a") {
		time.Sleep(time.Millisecond)
	}
	r.End("a", Answered, &Answer{
		Status: 200,
		Body:   []byte("body"),
	}, now)
	is.Equal(string((<-got).Body), "body")
}

// TestForgetting forgets calls after the window, and says unknown rather than
// refused when it had to forget too early.
func TestForgetting(t *testing.T) {
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
	is.Equal(state, Unknown) // b was forgotten while it ran
}
