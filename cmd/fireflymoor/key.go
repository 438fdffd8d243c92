package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

// maxKeyBytes is the length of the longest key that can be hashed, in bytes. A longer
// one does not fit in the header of a call beside other fields.
const maxKeyBytes = 8 << 10

// keyCommand holds the commands that concern the keys of tenants.
type keyCommand struct {
	Hash keyHashCommand `cmd:"" help:"Read a key from the standard input and print the hash by which a configuration names it."`
}

type keyHashCommand struct{}

// Run runs the command. The key is read from the standard input, as command lines are
// visible to other users of the machine.
func (*keyHashCommand) Run(context.Context) error {
	input, err := io.ReadAll(io.LimitReader(os.Stdin, maxKeyBytes+1))
	if err != nil {
		return errors.Wrap(err, "key: read")
	}
	key := strings.TrimRight(string(input), "\r\n")
	if key == "" || len(key) > maxKeyBytes || strings.TrimSpace(key) != key {
		return errors.Newf("key: the input is not one key of 1 to %d bytes without spaces around it", maxKeyBytes)
	}
	_, err = fmt.Println(fireflymoor.FormatKeyHash(fireflymoor.HashKey(key)))
	return errors.Wrap(err, "key: write")
}
