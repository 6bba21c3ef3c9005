package gwload

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of plots.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = vg.Centimeter
)

// Draw writes the plots of the runs to a folder and returns their file names. The
// format is svg or png.
func Draw(folder, format string, names []string, runs []*Report) ([]string, error) {
	var out []string
	save := func(p *plot.Plot, name string) error {
		file := filepath.Join(folder, name+"."+format)
		out = append(out, file)
		return p.Save(plotWidth, plotHeight, file)
	}
	for i, r := range runs {
		p, err := latencyPlot(names[i], r)
		if err != nil {
			return out, err
		}
		if err := save(p, fmt.Sprintf("latency-%d", i+1)); err != nil {
			return out, err
		}
	}
	bars := []struct {
		file, title, unit string
		value             func(*Report) float64
	}{
		{"gaps", "Longest failover gap", "s", func(r *Report) float64 { return r.MaxGap().Seconds() }},
		{"replica-share", "Share of reads served by replicas", "share", (*Report).ReplicaShare},
		{"region-bytes", "Bytes between regions", "MB", func(r *Report) float64 { return float64(r.RegionBytes()) / 1e6 }},
	}
	for _, b := range bars {
		p, err := barPlot(b.title, b.unit, names, runs, b.value)
		if err != nil {
			return out, err
		}
		if err := save(p, b.file); err != nil {
			return out, err
		}
	}
	return out, nil
}

// latencyPlot plots p99 over time for each class, with a vertical line at each fault.
func latencyPlot(name string, r *Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s, %s, p99 by time of arrival", name, r.Deployment, r.Routing)
	p.X.Label.Text, p.Y.Label.Text = "s", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	low, top := math.Inf(1), 1.0
	for i, c := range r.Classes {
		var xy plotter.XYs
		for _, pt := range r.Points {
			if pt.Class != c.Class || pt.Count == 0 {
				continue
			}
			y := max(ms(pt.P99), minPlottedMillis)
			low, top = min(low, y), max(top, y)
			xy = append(xy, plotter.XY{X: pt.At.Seconds(), Y: y})
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.Class, line)
	}
	return p, addFaults(p, r, low, top)
}

// minPlottedMillis is the lowest plotted latency on the logarithmic axis, which cannot show 0.
const minPlottedMillis = 0.01

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// addFaults adds a labeled vertical line from low to top at each fault.
func addFaults(p *plot.Plot, r *Report, low, top float64) error {
	for _, f := range r.Faults {
		x := f.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: min(low, top)}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = color.Gray{Y: 90}, []vg.Length{vg.Points(4), vg.Points(3)}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: top}}, Labels: []string{f.Fault}})
		if err != nil {
			return err
		}
		p.Add(line, label)
	}
	return nil
}

func barPlot(title, unit string, names []string, runs []*Report, value func(*Report) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = title, unit, 0
	var values plotter.Values
	var labels []string
	for i, r := range runs {
		values = append(values, value(r))
		labels = append(labels, fmt.Sprintf("%s (%s)", filepath.Base(names[i]), r.Routing))
	}
	bars, err := plotter.NewBarChart(values, 2*barWidth)
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(labels...)
	return p, nil
}
