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
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/persister"
	"github.com/fireflymoor/fireflymoor/internal/replica"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
)

const testTimeout = 10 * time.Second

// startReplica runs the only replica of a log, with its data in folder, until
// the test calls the returned function. The function published is called with
// the number of each version that is published.
func startReplica(t *testing.T, folder string, published func(number uint64)) (*Controller, func()) {
	disk, err := persister.New(folder)
	is.New(t).NoErr(err)
	return startReplicaOn(t, disk, published)
}

// startReplicaOn is startReplica with an open disk.
func startReplicaOn(t *testing.T, disk persister.Persister, published func(number uint64)) (*Controller, func()) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	ctx, cancel := context.WithCancel(t.Context())
	s := sequencer.New()
	c, err := New(Options{
		Config: replicator.Config{
			Name:               "replica",
			Disk:               disk.Disk(),
			Heartbeat:          20 * time.Millisecond,
			MinElectionTimeout: 50 * time.Millisecond,
		},
		Persister: disk,
		Transport: replica.New("replica", dialer.New("127.0.0.1:0", counter.New(registry))),
		Sequencer: s,
		Asserter:  asserter.New(zerolog.Nop(), registry),
		Random:    rand.New(rand.NewPCG(1, 1)),
		Log:       zerolog.Nop(),
		Exit:      func(status int) { panic(status) },
		OnAccepted: func(manifest fireflymoor.Manifest, _ []string) {
			published(manifest.Number())
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

// TestReplay restarts a replica whose disk has many changes. Only the newest
// version may be published: each publication costs as much as that of a new
// version, and the nodes wait for it.
func TestReplay(t *testing.T) {
	const changes = 30
	is := is.New(t)
	folder := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var lock sync.Mutex
	var published []uint64
	recordVersion := func(number uint64) {
		lock.Lock()
		defer lock.Unlock()
		if number > 0 {
			published = append(published, number)
		}
	}
	c, stop := startReplica(t, folder, recordVersion)
	self := &messenger.Member{
		Name: "replica",
		Disk: c.options.Persister.Disk(),
	}
	is.NoErr(c.Bootstrap(ctx, self, 1, func(context.Context) ([]*messenger.Identity, error) { return nil, nil }))
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
	is.Equal(len(published), changes)

	published = nil
	c, stop = startReplica(t, folder, recordVersion)
	defer stop()
	manifest, err := c.Confirm(ctx)
	is.NoErr(err)
	is.Equal(manifest.Number(), uint64(changes))
	is.Equal(published, []uint64{changes})
}

// TestRolloutSurvivesRestart orders a roll-out at a replica that then stops without a
// snapshot. The order must be in the version that the next run publishes.
func TestRolloutSurvivesRestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, stop := startReplica(t, folder, func(uint64) {})
	self := &messenger.Member{
		Name: "replica",
		Disk: c.options.Persister.Disk(),
	}
	is.NoErr(c.Bootstrap(ctx, self, 1, func(context.Context) ([]*messenger.Identity, error) { return nil, nil }))
	for _, change := range []*messenger.Change{
		{
			Id:       "configuration",
			Team:     "team",
			Template: "template",
		},
		{
			Id:   "order",
			Team: "team",
			RolloutOrder: &messenger.RolloutOrder{
				Service:              "a",
				Version:              "v2",
				DurationMilliseconds: 12_000,
				Seen:                 []string{"v1"},
			},
		},
	} {
		record, err := c.Change(ctx, change)
		is.NoErr(err)
		is.True(!record.GetConflict())
	}
	stop()

	c, stop = startReplica(t, folder, func(uint64) {})
	defer stop()
	_, err := c.Confirm(ctx)
	is.NoErr(err)
	is.NoErr(c.options.Sequencer.Do(ctx, func() {
		rollout, ok := c.Recorder().Rollout("team", "a")
		is.True(ok)
		is.Equal(rollout.State, fireflymoor.RolloutRunning)
		is.Equal(rollout.Previous, []string{"v1"})
	}))
}
