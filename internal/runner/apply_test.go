package runner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/applier"
	"github.com/fireflymoor/fireflymoor/internal/loader"
)

// blockingRenderer renders nothing until it is released, and then a configuration without
// routes.
type blockingRenderer struct {
	began, release chan struct{}
}

// Render implements fireflymoor.Renderer.
func (r *blockingRenderer) Render(team string, inputs fireflymoor.Inputs) (fireflymoor.Rendered, error) {
	r.began <- struct{}{}
	<-r.release
	if inputs.Values == "panic" {
		panic("a fault of the renderer")
	}
	return fireflymoor.Rendered{
		Text:          inputs.Values,
		Configuration: fireflymoor.NewConfiguration(team, nil, nil, fireflymoor.Limits{}),
	}, nil
}

// applyFixture is a node without a network whose renderer can be held.
type applyFixture struct {
	*node

	is       *is.I
	renderer *blockingRenderer
	// release ends the holding of the renderer.
	release  func()
	manifest fireflymoor.Manifest
}

func newApplyFixture(t *testing.T) *applyFixture {
	t.Helper()
	f := &applyFixture{
		is: is.New(t),
		renderer: &blockingRenderer{
			began:   make(chan struct{}, 1),
			release: make(chan struct{}),
		},
	}
	f.release = sync.OnceFunc(func() { close(f.renderer.release) })
	process, err := NewNode(loader.Settings{
		Name: "node",
		Zone: "zone",
		Team: "team",
	}, io.Discard)
	f.is.NoErr(err)
	f.node = process.(*node)
	f.applier = applier.New("team", f.renderer, f.asserter)
	f.applier.Confirm(1)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sequencer.Run(ctx)
	}()
	t.Cleanup(func() {
		f.release()
		stop()
		<-done
		f.close()
	})
	return f
}

// store stores the next version with values, and fails if the sequencer is held up.
func (f *applyFixture) store(values string) {
	f.manifest = f.manifest.With(fireflymoor.TeamEntry{
		Team:     "team",
		Template: fireflymoor.HashOf("template"),
		Values:   fireflymoor.HashOf(values),
		Rendered: fireflymoor.HashOf(values),
	})
	f.do(func() {
		f.coordinator.Apply(f.coordinator.Distributor().Store(f.manifest, []string{"template", values}))
	})
}

// do runs a task on the sequencer, which must not take long.
func (f *applyFixture) do(task func()) {
	done := make(chan error, 1)
	go func() { done <- f.sequencer.Do(context.Background(), task) }()
	select {
	case err := <-done:
		f.is.NoErr(err)
	case <-time.After(5 * time.Second):
		f.is.Fail() // the sequencer is held up
	}
}

// waitInForce waits until the newest version is in force.
func (f *applyFixture) waitInForce() {
	for end := time.Now().Add(5 * time.Second); f.View().Configuration().Number() < f.manifest.Number(); time.Sleep(time.Millisecond) {
		f.is.True(time.Now().Before(end))
	}
}

// TestLargeVersionIsPassedOnWhileRendered guards against members that get a large version
// late because each member before them renders it first (CONFIG).
func TestLargeVersionIsPassedOnWhileRendered(t *testing.T) {
	f := newApplyFixture(t)
	f.store("one")
	<-f.renderer.began
	var frames int
	f.do(func() {
		frames = len(f.coordinator.Distributor().OnManifestRequest("neighbor", 0, time.Now()).Sends)
	})
	f.is.Equal(frames, 1)                                    // the version is passed on
	f.is.Equal(f.View().Configuration().Number(), uint64(0)) // it is not in force yet
	f.release()
	f.waitInForce()
}

// TestVersionsStoredWhileRendered checks that only the newest of the versions that were
// stored while one was rendered is put in force after it.
func TestVersionsStoredWhileRendered(t *testing.T) {
	f := newApplyFixture(t)
	f.store("one")
	<-f.renderer.began
	for i := range 5 {
		f.store(fmt.Sprint("later ", i))
	}
	f.renderer.release <- struct{}{}
	<-f.renderer.began
	f.do(func() { f.is.Equal(f.applier.Number(), uint64(1)) })
	f.release()
	f.waitInForce()
	f.is.Equal(f.View().Configuration().Number(), uint64(6))
}

// TestPanicWhileRendered checks that a fault of the renderer ends neither the process nor
// the putting in force of later versions.
func TestPanicWhileRendered(t *testing.T) {
	f := newApplyFixture(t)
	f.store("panic")
	<-f.renderer.began
	f.store("two")
	f.renderer.release <- struct{}{}
	<-f.renderer.began
	f.release()
	f.waitInForce()
	f.do(func() { f.is.NoErr(f.applier.Refusal()) })
}
