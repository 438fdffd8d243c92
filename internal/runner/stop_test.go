package runner

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

// TestStopTimes guards against calls that a leaving node cuts off although they are
// within their time: it ended them after a fixed time, whatever it had until SIGKILL.
func TestStopTimes(t *testing.T) {
	tests := []struct {
		name                string
		grace, kill         time.Duration
		wantGrace           time.Duration
		wantEnd, wantLatest time.Duration
	}{
		{
			name:       "kill delay unknown",
			grace:      2200 * time.Millisecond,
			wantGrace:  2200 * time.Millisecond,
			wantEnd:    parser.MaxTimeout,
			wantLatest: 2 * parser.MaxTimeout,
		},
		{
			name:       "10 s",
			grace:      2200 * time.Millisecond,
			kill:       10 * time.Second,
			wantGrace:  2200 * time.Millisecond,
			wantEnd:    9 * time.Second,
			wantLatest: 10 * time.Second,
		},
		{
			name:       "shorter than the grace",
			grace:      2200 * time.Millisecond,
			kill:       2 * time.Second,
			wantGrace:  time.Second,
			wantEnd:    time.Second,
			wantLatest: 2 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := loader.Parse("node.ini", nodeSettings(test.grace, 0))
			is.NoErr(err)
			times := newStopTimes(settings, test.kill)
			is.Equal(times.grace, test.wantGrace)
			is.True(times.conclude >= test.wantEnd)
			is.True(times.conclude < times.closing)
			is.True(times.closing < test.wantLatest)
		})
	}
}

// nodeSettings returns the settings of a node. A kill delay of 0 is left out.
func nodeSettings(grace, killDelay time.Duration) string {
	text := fmt.Sprintf("[process]\nname = node\nrole = node\nzone = zone\nteam = team\ngrace = %s\n", grace)
	if killDelay > 0 {
		text += fmt.Sprintf("kill-delay = %s\n", killDelay)
	}
	return text + "[listen]\noverlay = 127.0.0.1:0\nplatform = 127.0.0.1:0\ncalls = 127.0.0.1:0\ncallers = 127.0.0.1:0\n" +
		"[control]\nreplicas = control@127.0.0.1:1\n"
}

// TestReloadChangesStopTimes checks that a node ends by the settings that it has read
// last, as the time until SIGKILL may have changed since its start.
func TestReloadChangesStopTimes(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	is.NoErr(os.WriteFile(path, []byte(nodeSettings(time.Second, 10*time.Second)), 0o600))
	settings, err := loader.Load(path)
	is.NoErr(err)
	process, err := NewNode(settings, io.Discard, func(m *member) { m.log = zerolog.Nop() })
	is.NoErr(err)
	n := process.(*node)
	defer n.close()
	go n.sequencer.Run(t.Context())
	is.True(n.stopTimes().closing < 10*time.Second)
	is.NoErr(os.WriteFile(path, []byte(nodeSettings(time.Second, 20*time.Second)), 0o600))
	is.NoErr(n.Reload(path))
	times := n.stopTimes()
	is.True(times.conclude > 10*time.Second)
	is.True(times.closing < 20*time.Second)
}
