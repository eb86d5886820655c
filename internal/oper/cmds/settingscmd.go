package cmds

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"mangostile/internal/oper/config"
	"mangostile/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newSettingsCmd() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check settings files, print an example, make tokens",
		Commands: []*cli.Command{
			newSettingsCheckCmd(),
			newSettingsExampleCmd(),
			newSettingsTokenCmd(),
		},
	}
}

// standinFlag selects the settings of the stand-ins instead of an entry VM's.
func standinFlag() cli.Flag {
	return &cli.BoolFlag{Name: "standin", Usage: "the settings are those of the stand-ins"}
}

func newSettingsCheckCmd() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "name every fault of a settings file with line, key and remedy",
		ArgsUsage: "FILE",
		UsageText: examples("mangostile settings check entry-1.toml", "mangostile settings check --standin standin.toml"),
		Flags:     []cli.Flag{standinFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &usageError{"settings check: name one file: see --help"}
			}
			return checkSettingsFile(cmd.Root().Writer, cmd.Args().First(), cmd.Bool("standin"))
		},
	}
}

// platformSuffix is the suffix of settings files that the users' platform writes.
const platformSuffix = ".conf"

// checkSettingsFile writes to w that the settings file has no fault, or returns an error. With
// platformSuffix, the error is the first fault and standin is ignored. Any other file is TOML,
// that of the stand-ins if standin is set, and its faults are written to w, a line each.
func checkSettingsFile(w io.Writer, path string, standin bool) error {
	if strings.HasSuffix(path, platformSuffix) {
		if err := platform.Check(path); err != nil {
			return err
		}
		_, err := fmt.Fprintf(w, "%s: no fault\n", path)
		return errors.Wrap(err, "write verdict")
	}
	var err error
	if standin {
		_, err = config.ReadStandin(path)
	} else {
		_, err = config.Read(path)
	}
	var faults *config.FaultsError
	if errors.As(err, &faults) {
		fmt.Fprintln(w, faults)
		return errors.Errorf("%s has %d faults: mend them", path, len(faults.Faults))
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: no fault\n", path)
	return nil
}

func newSettingsExampleCmd() *cli.Command {
	return &cli.Command{
		Name:      "example",
		Usage:     "print a commented settings file with every key",
		UsageText: examples("mangostile settings example > entry-1.toml", "mangostile settings example --standin > standin.toml"),
		Flags:     []cli.Flag{standinFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			text := config.Example
			if cmd.Bool("standin") {
				text = config.ExampleStandin
			}
			_, err := io.WriteString(cmd.Root().Writer, text)
			return errors.Wrap(err, "print example")
		},
	}
}

func newSettingsTokenCmd() *cli.Command {
	return &cli.Command{
		Name:  "token",
		Usage: "make a token and its SHA-256, or hash the token on standard input",
		UsageText: examples(
			"mangostile settings token",
			"mangostile settings token --stdin < token.txt",
		),
		Flags: []cli.Flag{&cli.BoolFlag{Name: "stdin", Usage: "hash the token read from standard input"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Bool("stdin") {
				return hashToken(cmd.Root().Writer, cmd.Root().Reader)
			}
			token := rand.Text()
			fmt.Fprintf(cmd.Root().Writer, "token = %q\n", token)
			return hashToken(cmd.Root().Writer, strings.NewReader(token))
		},
	}
}

// maxTokenBytes bounds a token read from standard input.
const maxTokenBytes = 4096

// hashToken reads a token from r and writes its SHA-256 to w as a line for a settings file.
func hashToken(w io.Writer, r io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(r, maxTokenBytes))
	if err != nil {
		return errors.Wrap(err, "read token")
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return &usageError{"settings token: the token is empty: give one on standard input"}
	}
	fmt.Fprintf(w, "token_sha256 = %q\n", tokenDigest(token))
	return nil
}

// tokenDigest returns the SHA-256 of a token in hexadecimal digits, as in settings files.
func tokenDigest(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}
