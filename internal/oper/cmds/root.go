// Package cmds holds the commands of the program, a file each.
package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError reports a command line that can't be carried out as written.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// Main runs the command that args name and returns the exit code.
func Main(args []string) int {
	err := newRootCmd().Run(context.Background(), args)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "mangostile: "+err.Error())
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

func newRootCmd() *cli.Command {
	return &cli.Command{
		Name:                  "mangostile",
		Usage:                 "serve very many LoRA adapters through many entry VMs",
		EnableShellCompletion: true,
		Suggest:               true,
		Commands: []*cli.Command{
			newDemoCmd(),
			newServeCmd(),
			newStandinCmd(),
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{err.Error() + ": see --help"}
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
