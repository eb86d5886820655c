package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/fleet"
	"mangostile/internal/oper/vetter"
	"mangostile/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// liveTimeout bounds the read of the configuration in force.
const liveTimeout = 5 * clock.Second

func newPlatformCheckCmd() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "name the faults of a configuration before it is sent, and what it changes",
		ArgsUsage: "FILE, or - for standard input",
		UsageText: examples("mangostile platform check next.json", "mangostile platform check --against sent.json next.json", "mangostile platform --settings node.conf check --live next.json"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "show what differs from the configuration in `FILE`"},
			&cli.BoolFlag{Name: "live", Usage: "show what differs from the configuration in force, which is read from the store of the settings"},
			&cli.IntFlag{Name: "memory-mb", Usage: "memory of the smallest entry VM in `MB`; that of the settings with --live, else not checked"},
			&cli.StringFlag{Name: "format", Usage: "`FORMAT` of the output, text or json", Value: "text"},
		},
		Action: checkConfig,
	}
}

// report is the result of a check.
type report struct {
	Version  int64                  `json:"version"`
	Faults   []platform.ConfigFault `json:"faults"`
	Findings []placedFinding        `json:"findings"`
	// Changes is nil if nothing was compared.
	Changes []vetter.Change `json:"changes"`
}

// placedFinding is a finding with its place in the file.
type placedFinding struct {
	vetter.Finding
	Line int    `json:"line,omitempty"`
	Path string `json:"path,omitempty"`
}

// errFindings ends a check that found something.
var errFindings = errors.New("the configuration has findings")

func checkConfig(ctx context.Context, cmd *cli.Command) error {
	format := cmd.String("format")
	if cmd.Args().Len() != 1 || cmd.Bool("live") && cmd.String("against") != "" || format != "text" && format != "json" {
		return &usageError{"platform check: name one file, at most one of --against and --live, and the format text or json: see --help"}
	}
	inspected, err := inspectFile(cmd.Root().Reader, cmd.Args().First())
	if err != nil {
		return err
	}
	memoryMB := cmd.Int("memory-mb")
	var old *topo.Config
	switch {
	case cmd.String("against") != "":
		against, err := inspectFile(cmd.Root().Reader, cmd.String("against"))
		if err != nil {
			return err
		}
		old = against.Config
	case cmd.Bool("live"):
		settings, err := platform.ReadSettings(cmd.String("settings"))
		if err != nil {
			return &usageError{err.Error()}
		}
		if memoryMB == 0 {
			memoryMB = settings.MemoryMB
		}
		if old, err = readLive(ctx, settings); err != nil {
			return &usageError{err.Error()}
		}
	}
	options := vetter.Options{}
	if memoryMB > 0 {
		options.Memory = quota.LargestHold(memoryMB)
	}
	r := &report{Version: inspected.Config.Version, Faults: inspected.Faults}
	for _, f := range vetter.Check(inspected.Config, options) {
		line, path := inspected.Place(f.Kind, f.Entry)
		r.Findings = append(r.Findings, placedFinding{Finding: f, Line: line, Path: path})
	}
	if old != nil {
		r.Changes = append([]vetter.Change{}, vetter.Diff(old, inspected.Config)...)
	}
	if err := r.write(cmd.Root().Writer, format, old); err != nil {
		return err
	}
	if len(r.Faults)+len(r.Findings) > 0 {
		return errFindings
	}
	return nil
}

// inspectFile reads a configuration. The error is a usageError: without one there is nothing to check.
func inspectFile(stdin io.Reader, path string) (*platform.InspectedConfig, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &usageError{fmt.Sprintf("platform check: %v", err)}
	}
	inspected, err := platform.InspectConfig(data)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("platform check: %s: %v", path, err)}
	}
	return inspected, nil
}

// readLive reads the configuration in force.
func readLive(ctx context.Context, settings *platform.Settings) (*topo.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, liveTimeout.Duration())
	defer cancel()
	update, err := platform.NewStore(settings.StoreAddress, settings.Regions).ReadFull(ctx, fleet.FeedConfig)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read the configuration in force")
	case update.Config == nil:
		return nil, errors.New("no configuration is in force: leave out --live")
	default:
		return update.Config, nil
	}
}

func (r *report) write(w io.Writer, format string, old *topo.Config) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "write the report")
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "line %d: %s: %s: %s: %s\n", f.Line, vetter.FaultyEntry, f.Path, f.Value, f.Remedy)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "line %d: %s: %s %s: %s\n", f.Line, f.Name, f.Kind, f.Entry, f.Text)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(w, "%s: %s %s: %s\n", c.Verb, c.Kind, c.Entry, c.Text)
	}
	_, err := fmt.Fprintf(w, "version %d: %d findings", r.Version, len(r.Faults)+len(r.Findings))
	if err == nil && old != nil {
		order := ""
		if r.Version <= old.Version {
			order = ", which is not older, so that entry VMs ignore it"
		}
		_, err = fmt.Fprintf(w, ", %d changes from version %d%s", len(r.Changes), old.Version, order)
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return errors.Wrap(err, "write the report")
}
