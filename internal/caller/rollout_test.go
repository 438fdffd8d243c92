package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/collector"
)

// versionForwarder is a forwarder and viewer of targets of the versions v1, v2 and v3,
// two each, of which v2 is rolled out. It counts the tries by version.
type versionForwarder struct {
	drainingForwarder

	rollout fireflymoor.Rollout
	// without is a version that has no targets, and unvetted one that is not vetted.
	without, unvetted string
	// respond returns the response of a version, or nil for a target that breaks off.
	respond func(version string) *http.Response
	tries   map[string]int
	calls   []collector.Call
}

// View implements fireflymoor.Viewer.
func (f *versionForwarder) View() fireflymoor.View {
	var targets []fireflymoor.Target
	for i, version := range []string{"v1", "v1", "v2", "v2", "v3", "v3"} {
		if version != f.without {
			targets = append(targets, fireflymoor.Target{
				ID:      strconv.Itoa(i),
				Service: "a",
				Team:    "team",
				Version: version,
				Slots:   20,

				Unvetted: version == f.unvetted,
			})
		}
	}
	view := f.drainingForwarder.View()
	configuration := view.Configuration()
	if f.rollout.Service != "" {
		configuration = configuration.WithRollouts([]fireflymoor.Rollout{f.rollout})
	}
	return fireflymoor.NewView(configuration, targets)
}

// Forward implements fireflymoor.Forwarder.
func (f *versionForwarder) Forward(_ context.Context, target fireflymoor.Target, _ *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries[target.Version]++
	response := f.respond(target.Version)
	if response == nil {
		return nil, fireflymoor.Unknown, errors.New("test: broken off")
	}
	return response, fireflymoor.Answered, nil
}

// Record implements Evidence.
func (f *versionForwarder) Record(call collector.Call) {
	f.calls = append(f.calls, call)
}

func respondWith(status int, body io.Reader) *http.Response {
	return &http.Response{
		StatusCode: status,
		Header:     http.Header{},
		Body:       io.NopCloser(body),
	}
}

func newVersionForwarder(rollout fireflymoor.Rollout) *versionForwarder {
	return &versionForwarder{
		rollout: rollout,
		respond: func(string) *http.Response { return respondWith(http.StatusOK, strings.NewReader("ok")) },
		tries:   map[string]int{},
	}
}

func (f *versionForwarder) serve(calls int, current bool) {
	h := newHandler(&f.drainingForwarder)
	h.options.Viewer = f
	h.options.Forwarder = f
	h.options.Evidence = f
	h.options.IsCurrent = func() bool { return current }
	for range calls {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
	}
}

// TestUnvetted serves calls beside targets of a version that is not vetted. It must get
// none, unless there is no other target.
func TestUnvetted(t *testing.T) {
	is := is.New(t)
	f := newVersionForwarder(fireflymoor.Rollout{})
	f.unvetted = "v3"
	f.serve(200, true)
	is.Equal(f.tries["v3"], 0)
	is.True(f.tries["v2"] > 0)
	targets := []fireflymoor.Target{{Unvetted: true}, {State: fireflymoor.Draining}}
	is.Equal(len(vetted(targets)), 2)
}

func runningRollout(share float64) fireflymoor.Rollout {
	return fireflymoor.Rollout{
		Service:  "a",
		Version:  "v2",
		Previous: []string{"v1"},
		State:    fireflymoor.RolloutRunning,
		Share:    share,
		Started:  time.Unix(1, 0),
	}
}

// TestVersions serves calls in each state of a roll-out. A version that is not allowed
// must get no call, and the new version its share.
func TestVersions(t *testing.T) {
	const calls = 1000
	completed := runningRollout(1)
	completed.State = fireflymoor.RolloutCompleted
	rolledBack := runningRollout(0)
	rolledBack.State = fireflymoor.RolloutRolledBack
	unknownBefore := runningRollout(0.1)
	unknownBefore.Previous = nil
	for _, c := range []struct {
		name      string
		rollout   fireflymoor.Rollout
		without   string
		suspended bool
		// share is the share that is expected of v2, or negative if it depends on the
		// balancing. others is whether v3 gets calls.
		share  float64
		others bool
	}{
		{name: "no order", share: -1, others: true},
		{name: "running", rollout: runningRollout(0.1), share: 0.1},
		{name: "only the new version", rollout: runningRollout(1), share: 1},
		{name: "no target of the new version", rollout: runningRollout(0.5), without: "v2"},
		{name: "no old target", rollout: runningRollout(0.1), without: "v1", share: 0.1},
		{name: "versions before the order unknown", rollout: unknownBefore, share: 0.1, others: true},
		{name: "completed", rollout: completed, share: 1},
		{name: "completed, no target of the new version", rollout: completed, without: "v2"},
		{name: "rolled back", rollout: rolledBack},
		{name: "suspended process", rollout: runningRollout(1), suspended: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newVersionForwarder(c.rollout)
			f.without = c.without
			f.serve(calls, !c.suspended)
			switch tries := f.tries["v2"]; {
			case c.share < 0:
				is.True(tries > 0)
			case c.share == 0 || c.share == 1:
				is.Equal(tries, int(c.share*calls))
			default:
				is.True(tries > int((c.share-0.05)*calls) && tries < int((c.share+0.05)*calls))
			}
			is.Equal(f.tries["v3"] > 0, c.others)
			is.True(c.without != "v1" || f.tries["v1"] == 0)
			is.True(c.name != "completed, no target of the new version" || f.tries["v1"] == 0)
		})
	}
}

// TestEvidence serves calls whose targets of the new version fail in different ways.
// Each call must count once as a failure of the new version, whatever its retries, and
// be tried again at the old one.
func TestEvidence(t *testing.T) {
	const calls = 400
	for name, respond := range map[string]func() *http.Response{
		"server error": func() *http.Response { return respondWith(http.StatusInternalServerError, strings.NewReader("")) },
		"broken off":   func() *http.Response { return nil },
		"broken body": func() *http.Response {
			return respondWith(http.StatusOK, iotest.ErrReader(errors.New("test: broken body")))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newVersionForwarder(runningRollout(0.5))
			f.respond = func(version string) *http.Response {
				if version == "v2" {
					return respond()
				}
				return respondWith(http.StatusOK, strings.NewReader("ok"))
			}
			func() {
				defer func() { _ = recover() }() // a response that breaks off aborts the connection
				f.serve(calls, true)
			}()
			toNew := 0
			for _, call := range f.calls {
				is.Equal(call.Failed, call.ToNew)
				if call.ToNew {
					toNew++
				}
			}
			is.True(toNew > 0)
			is.Equal(toNew, f.tries["v2"]) // no call is tried twice at the new version
			is.Equal(len(f.calls), f.tries["v1"]+f.tries["v2"])
		})
	}
}
