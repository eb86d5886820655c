package cmds

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/oper/chaos"
	"mangostile/internal/oper/trial"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// overloadFactor multiplies the capacity of the engines to give the demand of the size
// "overload".
const overloadFactor = 2

func newExperimentCmd() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare policies for routing, placement and loads in virtual time",
		UsageText: "mangostile experiment --size guild --seed 1 --output results",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "disturbance", Usage: "play `NAME` instead: " + strings.Join(disturbances(), ", ")},
			&cli.FloatFlag{Name: "load", Usage: "multiply the request rate by `FACTOR`", Value: 1},
			&cli.StringFlag{Name: "output", Usage: "write NAME.json and NAME.png into `DIRECTORY`"},
			&cli.IntFlag{Name: "seconds", Usage: "virtual `SECONDS` to play"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the trace", Value: 1},
			&cli.StringFlag{Name: "size", Usage: "`SIZE` to play: guild, kanoride or overload; the first two if not given"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.IsSet("disturbance") {
				return runDisturbance(cmd)
			}
			scenarios, err := experimentScenarios(cmd)
			if err != nil {
				return err
			}
			for _, s := range scenarios {
				if err := runExperiment(cmd, s); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func experimentScenarios(cmd *cli.Command) ([]trial.Scenario, error) {
	seed := cmd.Uint64("seed")
	var scenarios []trial.Scenario
	switch size := cmd.String("size"); size {
	case "":
		scenarios = []trial.Scenario{trial.Guild(seed), trial.Kanoride(seed)}
	case "guild":
		scenarios = []trial.Scenario{trial.Guild(seed)}
	case "kanoride":
		scenarios = []trial.Scenario{trial.Kanoride(seed)}
	case "overload":
		scenarios = []trial.Scenario{trial.Overload(seed, overloadFactor)}
	default:
		return nil, &usageError{"unknown size " + size + ": use guild, kanoride or overload"}
	}
	if cmd.Float("load") <= 0 || cmd.Int("seconds") < 0 {
		return nil, &usageError{"--load must be greater than 0 and --seconds not negative"}
	}
	for i := range scenarios {
		scenarios[i].Rate *= cmd.Float("load")
		if seconds := cmd.Int("seconds"); seconds > 0 {
			scenarios[i].Duration = clock.Millis(seconds) * clock.Second
		}
	}
	return scenarios, nil
}

func runExperiment(cmd *cli.Command, s trial.Scenario) error {
	report := trial.Run(s)
	return saveExperiment(cmd, s.Name, &report)
}

// disturbances returns the names of the disturbances.
func disturbances() []string {
	var names []string
	for _, d := range chaos.Disturbances() {
		names = append(names, string(d))
	}
	return names
}

// runDisturbance plays one disturbance of backend servers.
func runDisturbance(cmd *cli.Command) error {
	name := cmd.String("disturbance")
	if !slices.Contains(disturbances(), name) {
		return &usageError{"unknown disturbance " + name + ": use " + strings.Join(disturbances(), ", ")}
	}
	if cmd.IsSet("size") || cmd.IsSet("seconds") || cmd.IsSet("load") {
		return &usageError{"--disturbance takes --seed and --output only"}
	}
	return saveExperiment(cmd, name, chaos.Run(chaos.Scenario{Disturbance: chaos.Disturbance(name), Seed: cmd.Uint64("seed")}))
}

// experimentReport is what an experiment found.
type experimentReport interface {
	WriteTable(w io.Writer) error
	SavePlot(path string) error
}

// saveExperiment prints a report and, with --output, saves it as name.json and name.png.
func saveExperiment(cmd *cli.Command, name string, report experimentReport) error {
	if err := report.WriteTable(cmd.Root().Writer); err != nil {
		return err
	}
	directory := cmd.String("output")
	if directory == "" {
		return nil
	}
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "choose a directory that can be written")
	}
	if err := os.WriteFile(filepath.Join(directory, name+".json"), append(body, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "choose a directory that can be written")
	}
	return report.SavePlot(filepath.Join(directory, name+".png"))
}
