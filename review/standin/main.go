// Command standin plays the cases of the review: it starts the programs of the
// deploy file as separate processes on loopback addresses, and plays the callers,
// the targets and the operators of the platform around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*deployment) (bool, error){
	"early": playEarly,
	"wipe":  playWipe,
	"read":  playRead,
	"leave": playLeave,
	"slash": playSlash,
}

func main() {
	os.Exit(play())
}

// play plays the case that the arguments name and returns the exit status. The
// second argument is the file to write the record to.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.write("not run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d, err := newDeployment(record, filepath.Join(folder, "data"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.write("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		record.write("not run: %v", err)
		d.writeLogs()
		return exitNotRun
	case broken:
		record.write("the rule was broken")
		return exitBroken
	}
	record.write("the rule held")
	return exitHeld
}
