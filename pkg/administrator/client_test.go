package administrator

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const testTimeout = 200 * time.Millisecond

// serve starts a replica with the given handler and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func breakOff(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// TestUnknownOutcomeStays sends a change to a replica whose response is lost, and
// then to one that refuses the connection. The change may have been taken.
func TestUnknownOutcomeStays(t *testing.T) {
	is := is.New(t)
	for _, addresses := range [][]string{
		{serve(t, breakOff), unusedAddress(t)},
		{unusedAddress(t), serve(t, breakOff), unusedAddress(t)},
	} {
		_, err := New(addresses, "token", testTimeout).Change(t.Context(), ChangeRequest{
			Team: "team",
		})
		apiErr := &Error{}
		is.True(errors.As(err, &apiErr))
		is.Equal(apiErr.State, Unknown)
	}
	_, err := New([]string{unusedAddress(t)}, "token", testTimeout).Change(t.Context(), ChangeRequest{
		Team: "team",
	})
	apiErr := &Error{}
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.State, NotTaken) // never sent
}

// TestAvailableReplicaIsPreferred sends two requests while the first replica is
// silent. Only the first one may wait for it.
func TestAvailableReplicaIsPreferred(t *testing.T) {
	is := is.New(t)
	var silent atomic.Int64
	release := make(chan struct{})
	defer close(release)
	first := serve(t, func(http.ResponseWriter, *http.Request) {
		silent.Add(1)
		<-release
	})
	second := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	})
	client := New([]string{first, second}, "token", testTimeout)
	for range 3 {
		_, err := client.Status(t.Context())
		is.NoErr(err)
	}
	is.Equal(silent.Load(), int64(1))
}

// TestChangeIDIsGenerated sends a change without an ID through a replica whose
// response is lost. The next replica must get the same ID.
func TestChangeIDIsGenerated(t *testing.T) {
	is := is.New(t)
	bodies := make(chan string, 2)
	record := func(r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
	}
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		record(r)
		breakOff(w, r)
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		record(r)
		_, _ = w.Write([]byte("{}"))
	})
	_, err := New([]string{first, second}, "token", testTimeout).Change(t.Context(), ChangeRequest{
		Team: "team",
	})
	is.NoErr(err)
	sent := <-bodies
	is.Equal(<-bodies, sent)
	is.True(len(sent) > len(`{"change-id":"","parent":0}`))
}
