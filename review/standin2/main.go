// Command standin2 runs the cases of a review against the real programs: it starts them
// as the deploy file does and plays the clients, servers and operators around them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a whole case.
const maxRunTime = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

// cases holds the cases by their names.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (verdict, error){}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/fireflymoor", "program under test")
	templates := flag.String("templates", "deploy", "folder with the templates of the settings")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	log, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, trouble %v", *name, trouble)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	absolute, err := filepath.Abs(*program)
	if err != nil {
		log.printf("could not run: %v", err)
		return exitNotRun
	}
	d, err := newDeployment(absolute, *templates, log)
	if err != nil {
		log.printf("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	result, err := play(ctx, d, trouble)
	switch {
	case err != nil:
		log.printf("could not run: %v", err)
		return exitNotRun
	case result.broken:
		log.printf("BROKEN: %s", result.reason)
		return exitBroken
	}
	log.printf("HELD: %s", result.reason)
	return exitHeld
}
