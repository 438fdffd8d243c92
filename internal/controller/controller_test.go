package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/counter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/keeper"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/replica"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
)

const testTimeout = 10 * time.Second

// start runs the only replica of a log on a folder until the test calls stop.
// Handed gets the number of each version that is handed on.
func start(t *testing.T, folder string, handed func(number uint64)) (*Controller, func()) {
	is := is.New(t)
	disk, err := keeper.New(folder)
	is.NoErr(err)
	registry := prometheus.NewRegistry()
	ctx, cancel := context.WithCancel(t.Context())
	s := sequencer.New()
	c, err := New(Options{
		Config: replicator.Config{
			Name:      "replica",
			Disk:      disk.Disk(),
			Heartbeat: 20 * time.Millisecond,
			Election:  50 * time.Millisecond,
		},
		Keeper:    disk,
		Transport: replica.New("replica", dialer.New("127.0.0.1:0", counter.New(registry))),
		Sequencer: s,
		Asserter:  asserter.New(zerolog.Nop(), registry),
		Random:    rand.New(rand.NewPCG(1, 1)),
		Log:       zerolog.Nop(),
		Exit:      func(status int) { panic(status) },
		Accepted: func(manifest fireflymoor.Manifest, _ []string) {
			handed(manifest.Number())
		},
	}, time.Now())
	is.NoErr(err)
	var group sync.WaitGroup
	group.Go(func() { s.Run(ctx) })
	group.Go(func() { c.Run(ctx) })
	return c, func() {
		cancel()
		group.Wait()
		is.NoErr(disk.Close())
	}
}

// TestReplay starts a replica again whose disk holds many changes. Only the
// newest version is handed on: each that is handed on costs as much as a new
// one, and nodes wait for it.
func TestReplay(t *testing.T) {
	const changes = 30
	is := is.New(t)
	folder := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var lock sync.Mutex
	var handed []uint64
	note := func(number uint64) {
		lock.Lock()
		defer lock.Unlock()
		if number > 0 {
			handed = append(handed, number)
		}
	}
	c, stop := start(t, folder, note)
	own := &messenger.Member{
		Name: "replica",
		Disk: c.options.Keeper.Disk(),
	}
	is.NoErr(c.Bootstrap(ctx, own, 1, func(context.Context) ([]*messenger.Identity, error) { return nil, nil }))
	for i := range changes {
		_, err := c.Change(ctx, &messenger.Change{
			Id:       fmt.Sprint(i),
			Team:     "team",
			Template: fmt.Sprint("template ", i),
			Parent:   uint64(i),
		})
		is.NoErr(err)
	}
	stop()
	is.Equal(len(handed), changes)

	handed = nil
	c, stop = start(t, folder, note)
	defer stop()
	manifest, err := c.Confirm(ctx)
	is.NoErr(err)
	is.Equal(manifest.Number(), uint64(changes))
	is.Equal(handed, []uint64{changes})
}
