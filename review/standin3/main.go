// Command standin3 runs the cases of the third review. It starts the project's programs
// with the commands of the deploy file, on loopback addresses, and stands in for their
// callers, targets and operator.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runTimeout bounds a case, with the start and the end of its processes.
const runTimeout = 100 * time.Second

const argumentCount = 3

// A scenario plays one case. It returns what it saw that breaks the rule, or an empty
// string.
type scenario func(ctx context.Context, s *system, trouble bool) (broken string, err error)

// reviewCase is a scenario with the fleet that it needs.
type reviewCase struct {
	play  scenario
	fleet fleet
}

var reviewCases = map[string]reviewCase{
	"split": {
		play:  playSplit,
		fleet: splitFleet,
	},
	"replace": {
		play:  playReplace,
		fleet: replaceFleet,
	},
	"stray": {
		play:  playStray,
		fleet: strayFleet,
	},
	"grace": {
		play:  playGrace,
		fleet: graceFleet,
	},
	"crowd": {
		play:  playCrowd,
		fleet: crowdFleet,
	},
}

func main() {
	os.Exit(run())
}

// run runs the case that the arguments name, with its record in the folder that they name.
func run() int {
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return exitNotRun
	}
	c, ok := reviewCases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin3: unknown case", os.Args[1])
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		return exitNotRun
	}
	defer r.close()
	broken, err := playCase(c, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		r.note("BROKEN: %s", broken)
		return exitBroken
	}
	r.note("held")
	return exitHeld
}

// playCase starts the fleet of a case, plays the case and ends all processes.
func playCase(c reviewCase, r *record, trouble bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return "", errors.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r.note("trouble: %t", trouble)
	s, err := startSystem(ctx, c.fleet, folder, r)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return "", err
	}
	return c.play(ctx, s, trouble)
}
