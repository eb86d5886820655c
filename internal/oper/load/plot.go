package load

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot writes a PNG image of each chat's time to first token, by scheduled time, to
// the file at path.
func (r *Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "time to the first token of chats"
	p.X.Label.Text = "sent at, s"
	p.Y.Label.Text = "first token, ms"
	p.Y.Min = 0
	points := make(plotter.XYs, len(r.plotPoints))
	for i, s := range r.plotPoints {
		points[i] = plotter.XY{X: s.at.Seconds(), Y: float64(s.first.Microseconds()) / 1000}
	}
	if len(points) > 0 {
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return errors.Wrap(err, "plot first tokens")
		}
		scatter.Radius = vg.Points(1.5)
		scatter.Color = color.RGBA{R: 20, G: 80, B: 160, A: 255}
		p.Add(plotter.NewGrid(), scatter)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot: name a path that ends in .png and can be written")
}
