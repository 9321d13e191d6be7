// Package plots draws the results of simulations and load runs. The extension of the output file selects SVG or PNG.
package plots

import (
	"cmp"
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tulipglade/internal/faultinject"
	"tulipglade/internal/load"
	"tulipglade/internal/simulation/emulator"
	"tulipglade/internal/simulation/experiment"
)

const (
	width          = 9 * vg.Inch
	height         = 4.5 * vg.Inch
	maxFaultLabels = 8 // the labels of further faults would overlap
)

// Formats lists the supported file extensions, without the dot.
var Formats = []string{"svg", "png"}

func savePlot(p *plot.Plot, file string) error {
	if !slices.Contains(Formats, extension(file)) {
		return fmt.Errorf("%s: the file extension is none of %v", file, Formats)
	}
	p.Add(plotter.NewGrid())
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

func extension(file string) string {
	if e := filepath.Ext(file); e != "" {
		return e[1:]
	}
	return ""
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Left, p.Legend.XOffs = true, vg.Millimeter
	return p
}

func addLine(p *plot.Plot, name string, i int, pts plotter.XYs, dots bool) error {
	line, points, err := plotter.NewLinePoints(pts)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	line.Color, line.Width = plotutil.Color(i), vg.Points(1.4)
	line.Dashes = plotutil.Dashes(i / 7)
	points.Color, points.Shape = plotutil.Color(i), plotutil.Shape(i)
	p.Add(line)
	if dots {
		p.Add(points)
		p.Legend.Add(name, line, points)
	} else {
		p.Legend.Add(name, line)
	}
	return nil
}

// Service draws which fraction of the value offered in each second was served in time, one line per result. The faults
// of the first result are shaded.
func Service(file string, results []*emulator.Result) error {
	p := newPlot("Service over time: "+results[0].Scenario, "s", "value served in time, of all value offered")
	p.Y.Min, p.Y.Max = 0, 1.02
	if err := shadeFaults(p, results[0].Faults, float64(len(results[0].Series.Offered)), 1.02); err != nil {
		return err
	}
	for i, r := range results {
		var pts plotter.XYs
		for s := range r.Series.Offered {
			if r.Series.Offered[s] > 0 {
				pts = append(pts, plotter.XY{X: float64(s) + 0.5, Y: r.Series.Served[s] / r.Series.Offered[s]})
			}
		}
		if err := addLine(p, r.Policy, i, pts, false); err != nil {
			return err
		}
	}
	return savePlot(p, file)
}

// ninesTicks places the tick marks of percentiles on a logarithmic scale: each further nine (90%, 99%, 99.9%) takes the
// same width.
type ninesTicks struct{}

// Ticks returns the same tick marks whatever the range of the axis.
func (ninesTicks) Ticks(_, _ float64) []plot.Tick {
	var ticks []plot.Tick
	for _, q := range []float64{50, 90, 99, 99.9, 99.99} {
		ticks = append(ticks, plot.Tick{Value: ninesPosition(q), Label: strconv.FormatFloat(q, 'g', -1, 64) + "%"})
	}
	return ticks
}

// ninesPosition returns the position of a percentile on the scale of ninesTicks.
func ninesPosition(q float64) float64 { return -math.Log10(1 - min(q, 99.999)/100) }

// Latency draws latency against the percentile of served calls, one line per result.
func Latency(file string, results []*emulator.Result) error {
	p := newPlot("Latency of served calls: "+results[0].Scenario, "percentile", "ms from when the call was due")
	p.X.Tick.Marker, p.Legend.Top = ninesTicks{}, true
	for i, r := range results {
		var pts plotter.XYs
		for _, l := range r.Latency {
			if l.Percent < 100 {
				pts = append(pts, plotter.XY{X: ninesPosition(l.Percent), Y: l.Milliseconds})
			}
		}
		if err := addLine(p, r.Policy, i, pts, true); err != nil {
			return err
		}
	}
	return savePlot(p, file)
}

// Against draws a metric against a field that a sweep varies, one line per policy. Each point is the mean over all runs
// of the policy with that value of the field.
func Against(file string, rows []experiment.Row, field, metric string) error {
	metricOf := experiment.Metrics[metric]
	if metricOf == nil {
		return fmt.Errorf("metric %s: there is no such metric", metric)
	}
	type sum struct{ total, n float64 }
	lines := map[string]map[float64]*sum{}
	for _, r := range rows {
		for _, v := range r.Set {
			x, ok := v.Value.(float64)
			if v.Field != field || !ok {
				continue
			}
			if lines[r.Policy] == nil {
				lines[r.Policy] = map[float64]*sum{}
			}
			if lines[r.Policy][x] == nil {
				lines[r.Policy][x] = &sum{}
			}
			s := lines[r.Policy][x]
			s.total, s.n = s.total+metricOf(r.Result), s.n+1
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("field %s: no run of the sweep sets it to a number", field)
	}
	p := newPlot(metric+" against "+field+": "+rows[0].Result.Scenario, field, metric)
	var names []string
	for n := range lines {
		names = append(names, n)
	}
	slices.Sort(names)
	for i, n := range names {
		var pts plotter.XYs
		for x, s := range lines[n] {
			pts = append(pts, plotter.XY{X: x, Y: s.total / s.n})
		}
		slices.SortFunc(pts, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		if err := addLine(p, n, i, pts, true); err != nil {
			return err
		}
	}
	return savePlot(p, file)
}

// Costs draws the processor time per request against the number of endpoints, one line for each policy and number of
// nodes.
func Costs(file string, costs []experiment.Cost) error {
	p := newPlot("Processor time of decisions", "endpoints", "µs per request")
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	lines, names := map[string]plotter.XYs{}, []string{}
	for _, c := range costs {
		n := fmt.Sprintf("%s, %d nodes", c.Policy, c.Nodes)
		if lines[n] == nil {
			names = append(names, n)
		}
		lines[n] = append(lines[n], plotter.XY{X: float64(c.Endpoints), Y: c.MicrosPerRequest})
	}
	p.Legend.Top = true
	for i, n := range names {
		if err := addLine(p, n, i, lines[n], true); err != nil {
			return err
		}
	}
	return savePlot(p, file)
}

// Load draws the p50, p99 and maximum latency of the served calls of each second of a load run, and the fraction of
// calls that was not served.
func Load(file string, r *load.Result, faults []faultinject.Fault) error {
	p := newPlot("Load: "+r.Scenario, "s since the start, by when calls were due", "ms")
	p.Legend.Top = true
	var p50, p99, maximum, unserved plotter.XYs
	top := 1.0
	for _, s := range r.Series {
		x := float64(s.Start) + 0.5
		p50 = append(p50, plotter.XY{X: x, Y: s.P50})
		p99 = append(p99, plotter.XY{X: x, Y: s.P99})
		maximum = append(maximum, plotter.XY{X: x, Y: s.Max})
		top = max(top, s.Max)
		if s.Due > 0 {
			served := float64(s.Outcomes["served"] + s.Outcomes["late"])
			unserved = append(unserved, plotter.XY{X: x, Y: 1 - served/float64(s.Due)})
		}
	}
	for i := range unserved { // a fraction of 1 is drawn at the full height of the plot
		unserved[i].Y *= top
	}
	if err := shadeFaults(p, faults, float64(len(r.Series)), top); err != nil {
		return err
	}
	for i, l := range []struct {
		name string
		pts  plotter.XYs
	}{{"p50", p50}, {"p99", p99}, {"maximum", maximum}, {"fraction not served (full height: 1)", unserved}} {
		if err := addLine(p, l.name, i, l.pts, false); err != nil {
			return err
		}
	}
	return savePlot(p, file)
}

// shadeFaults shades the duration of each fault and labels the first maxFaultLabels of them with their kind.
func shadeFaults(p *plot.Plot, faults []faultinject.Fault, length, top float64) error {
	for i, f := range faults {
		start, end := float64(f.Start)/1000, min(float64(f.End())/1000, length)
		area, err := plotter.NewPolygon(plotter.XYs{{X: start, Y: 0}, {X: end, Y: 0}, {X: end, Y: top}, {X: start, Y: top}})
		if err != nil {
			return err
		}
		area.Color, area.Width = color.NRGBA{R: 200, G: 60, B: 60, A: 28}, 0
		p.Add(area)
		if i < maxFaultLabels {
			height := top * (0.02 + 0.05*float64(i))
			label, err := plotter.NewLabels(plotter.XYLabels{
				XYs:    plotter.XYs{{X: start, Y: height}},
				Labels: []string{string(f.Kind)},
			})
			if err != nil {
				return err
			}
			p.Add(label)
		}
	}
	return nil
}
