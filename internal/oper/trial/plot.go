package trial

import (
	"slices"

	"mangostile/internal/base/clock"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotPoints is the number of points of each line of a plot.
const plotPoints = 400

// SavePlot writes a PNG image of each policy's load stall distribution to the file at
// path.
func (r *Report) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Load stalls, " + r.Scenario.Name
	p.X.Label.Text = "stall, seconds"
	p.Y.Label.Text = "share of requests that stalled longer"
	p.Legend.Top = true
	for i := range r.Results {
		line, err := plotter.NewLine(r.Results[i].stallCurve())
		if err != nil {
			return errors.Wrapf(err, "plot %s", r.Results[i].Policy)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Results[i].Policy, line)
	}
	return errors.Wrapf(p.Save(16*vg.Centimeter, 11*vg.Centimeter, path), "write plot %s: choose a file in a directory that can be written", path)
}

func (r *Result) stallCurve() plotter.XYs {
	sorted := slices.Clone(r.stalls)
	slices.Sort(sorted)
	var points plotter.XYs
	for i := range plotPoints {
		at := i * len(sorted) / plotPoints
		points = append(points, plotter.XY{
			X: float64(sorted[at]) / float64(clock.Second),
			Y: 1 - float64(at)/float64(len(sorted)),
		})
	}
	return points
}
