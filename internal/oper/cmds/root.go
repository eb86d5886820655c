// Package cmds implements the program's command line.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError reports a wrong use of the command line.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// Main runs the command line args, which begin with the program's name, on the process's
// standard streams and returns the exit code.
func Main(args []string) int {
	return run(context.Background(), args, os.Stdin, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.Reader, root.Writer, root.ErrWriter = stdin, stdout, stderr
	err := root.Run(ctx, args)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(stderr, "mangostile: "+err.Error())
	if isUsageError(err) {
		return exitUsage
	}
	return exitFailed
}

// isUsageError reports whether err is a wrong use of the command line, detected by a
// command or by the command line library.
func isUsageError(err error) bool {
	var usage *usageError
	var exit cli.ExitCoder
	switch {
	case errors.As(err, &usage):
		return true
	case errors.As(err, &exit):
		return true
	default:
		return strings.HasPrefix(err.Error(), "Required flag")
	}
}

func newRootCmd() *cli.Command {
	root := &cli.Command{
		Name:                  "mangostile",
		Usage:                 "serve very many LoRA adapters through many entry VMs",
		UsageText:             examples("mangostile demo", "mangostile serve --settings entry-1.toml"),
		EnableShellCompletion: true,
		Suggest:               true,
		Commands: []*cli.Command{
			newDemoCmd(),
			newExperimentCmd(),
			newExplainCmd(),
			newLoadCmd(),
			newQuarantineCmd(),
			newServeCmd(),
			newPlatformCmd(),
			newSettingsCmd(),
			newStandinCmd(),
			newStatusCmd(),
			newTableCmd(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes cmd and its subcommands return a usageError for wrong flags and
// unknown commands.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err.Error() + ": see --help"}
	}
	if cmd.Action == nil && len(cmd.Commands) > 0 {
		cmd.Action = rejectUnknownCommand
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

func rejectUnknownCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return &usageError{fmt.Sprintf("%s has no command %q: see --help", cmd.Name, name)}
	}
	return cli.ShowSubcommandHelp(cmd)
}

// examples joins the lines of a command's usage text.
func examples(lines ...string) string { return strings.Join(lines, "\n") }
