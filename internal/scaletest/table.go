package scaletest

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"beaconvane/internal/errcode"
)

// Table holds the results of a course at all fleet sizes.
type Table struct {
	Plan   Plan   `json:"plan"`
	Course Course `json:"course"`
	Target int    `json:"target"`
	Rows   []Row  `json:"rows"`
	Lines  []Line `json:"lines"`
}

// Line is one metric over all fleet sizes, with its fitted slope.
type Line struct {
	Phase  string `json:"phase"`
	Role   string `json:"role"`
	Metric string `json:"metric"`
	Slope  Slope  `json:"slope"`
	rows   []Row
}

// FitLines groups the rows by phase, role and metric, and fits each group.
func (t *Table) FitLines() {
	grouped, order := map[string]*Line{}, []string{}
	for _, row := range t.Rows {
		key := row.Phase + "/" + row.Role + "/" + row.Metric
		if grouped[key] == nil {
			grouped[key] = &Line{Phase: row.Phase, Role: row.Role, Metric: row.Metric}
			order = append(order, key)
		}
		grouped[key].rows = append(grouped[key].rows, row)
	}
	t.Lines = nil
	for _, key := range order {
		line := grouped[key]
		sort.SliceStable(line.rows, func(i, j int) bool { return line.rows[i].Size < line.rows[j].Size })
		line.Slope = SlopeOf(line.rows, float64(t.Target))
		t.Lines = append(t.Lines, *line)
	}
}

// number formats a value with about three significant digits and an SI prefix.
func number(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 1e9:
		return fmt.Sprintf("%.3gG", value/1e9)
	case magnitude >= 1e6:
		return fmt.Sprintf("%.3gM", value/1e6)
	case magnitude >= 1e4:
		return fmt.Sprintf("%.3gk", value/1e3)
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude < 0.0005:
		return "0"
	}
	return fmt.Sprintf("%.3g", value)
}

// Markdown prints the table as Markdown, without lines whose values are all zero.
func (t *Table) Markdown(out io.Writer) {
	sizes := append([]int{}, t.Course.Sizes...)
	sort.Ints(sizes)
	for _, phase := range t.Course.Phases {
		fmt.Fprintf(out, "### %s\n\n| role | measure |", phase)
		for _, size := range sizes {
			fmt.Fprintf(out, " %d |", size)
		}
		fmt.Fprintf(out, " grows as | miss | at %d (range) |\n|---|---|%s---|---|---|\n", t.Target, strings.Repeat("---|", len(sizes)))
		for _, line := range t.Lines {
			if line.Phase != phase || line.empty() {
				continue
			}
			fmt.Fprintf(out, "| %s | %s |", line.Role, line.Metric)
			for _, size := range sizes {
				fmt.Fprintf(out, " %s |", line.cell(size))
			}
			slope := line.Slope
			fmt.Fprintf(out, " %s | %.0f%% | %s (%s..%s) |\n",
				slope.Shape, slope.RelativeError*100, number(slope.Target), number(slope.Lower), number(slope.Upper))
		}
		fmt.Fprintln(out)
	}
}

// empty reports whether all values are zero.
func (l Line) empty() bool {
	for _, row := range l.rows {
		for _, value := range row.Values {
			if value != 0 {
				return false
			}
		}
	}
	return true
}

// cell formats the mean at one size and, for several values, half of their range.
func (l Line) cell(size int) string {
	for _, row := range l.rows {
		if row.Size == size && len(row.Values) > 0 {
			lowest, highest := extent(row.Values)
			if len(row.Values) == 1 {
				return number(row.Values[0])
			}
			return number(mean(row.Values)) + " ±" + number((highest-lowest)/2)
		}
	}
	return ""
}

// JSON prints the table as JSON.
func (t *Table) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(t)
}

// Curve selects one line of the table for a chart.
type Curve struct{ Phase, Role, Metric, Label string }

// Chart describes one plot: its curves, and the bound on their values. Scale converts the values to
// Unit.
type Chart struct {
	Name, Title, Unit string
	Bound             float64
	Curves            []Curve
	Scale             float64
}

// Charts are the charts of docs/CAPACITY.md.
var Charts = []Chart{
	{
		Name: "capacity-bytes", Title: "Control bytes a second of one proxy, in and out, by part",
		Unit: "bytes a second", Bound: 3000, Scale: 1,
		Curves: []Curve{
			{Steady, "proxy", "bytes", "all"},
			{Steady, "proxy", "bytes_membership", "membership"},
			{Steady, "proxy", "bytes_updates", "updates"},
			{Steady, "proxy", "bytes_heartbeats", "heartbeats"},
			{Steady, "proxy", "bytes_usage", "usage"},
			{Configurations, "proxy", "bytes", "all, one configuration a second"},
		},
	},
	{
		Name: "capacity-processor", Title: "Processor time", Unit: "% of a core", Bound: 3.1, Scale: 1,
		Curves: []Curve{
			{Steady, "proxy", "processor", "proxy"},
			{Configurations, "proxy", "processor", "proxy, one configuration a second"},
			{Steady, "registry", "processor", "busiest registry"},
			{Steady, "configstore", "processor", "busiest configstore"},
		},
	},
	{
		Name: "capacity-memory", Title: "Memory in use", Unit: "MB", Bound: 128, Scale: 1e-6,
		Curves: []Curve{
			{Steady, "proxy", "live", "proxy"},
			{Steady, "registry", "live", "largest registry"},
			{Steady, "configstore", "live", "largest configstore"},
		},
	},
	{
		Name: "capacity-in-force", Title: "Until a configuration is in force everywhere", Unit: "ms", Bound: 6000, Scale: 1,
		Curves: []Curve{
			{Configurations, "fleet", "in_force_ms", "in force everywhere"},
			{Configurations, "fleet", "settled_ms", "settled"},
			{Restarts, "fleet", "restored_ms", "a restarted proxy is ready, all known"},
		},
	},
}

// Plot writes the charts to a folder as PNG files.
func (t *Table) Plot(folder string) error {
	for _, chart := range Charts {
		if err := t.draw(chart, folder); err != nil {
			return errcode.Wrap("scaletest.plot", errcode.Internal, err)
		}
	}
	return nil
}

// drawing is a plot under construction, with the range of its values.
type drawing struct {
	plot            *plot.Plot
	scale           float64
	target          float64 // the size extrapolated to
	lowest, highest float64
}

// draw writes one chart to a folder. A chart without values is skipped.
func (t *Table) draw(chart Chart, folder string) error {
	d := newDrawing(chart, float64(t.Target))
	for index, curve := range chart.Curves {
		for _, line := range t.Lines {
			if line.Phase != curve.Phase || line.Role != curve.Role || line.Metric != curve.Metric {
				continue
			}
			if err := d.addLine(line, curve.Label, index); err != nil {
				return err
			}
		}
	}
	if math.IsInf(d.lowest, 1) {
		return nil
	}
	if err := d.addBound(chart.Bound, float64(t.Course.Sizes[0])); err != nil {
		return err
	}
	return d.plot.Save(16*vg.Centimeter, 11*vg.Centimeter, filepath.Join(folder, chart.Name+".png"))
}

// newDrawing returns an empty plot with logarithmic axes.
func newDrawing(chart Chart, target float64) *drawing {
	canvas := plot.New()
	canvas.Title.Text, canvas.X.Label.Text, canvas.Y.Label.Text = chart.Title, "proxies in the fleet", chart.Unit
	canvas.X.Scale, canvas.Y.Scale = plot.LogScale{}, plot.LogScale{}
	canvas.X.Tick.Marker, canvas.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	canvas.Legend.Top, canvas.Legend.Left = true, true
	canvas.Add(plotter.NewGrid())
	return &drawing{plot: canvas, scale: chart.Scale, target: target, lowest: math.Inf(1), highest: chart.Bound}
}

// include extends the range of the plot to include a value.
func (d *drawing) include(value float64) {
	d.lowest, d.highest = math.Min(d.lowest, value), math.Max(d.highest, value)
}

// points returns the means of a line with the distances to the lowest and highest values. Sizes whose
// mean is not positive are left out, since they can't be shown on a logarithmic axis.
func (d *drawing) points(line Line) (plotter.XYs, plotter.YErrors) {
	points, bars := plotter.XYs{}, plotter.YErrors{}
	for _, row := range line.rows {
		average := mean(row.Values) * d.scale
		if average <= 0 {
			continue
		}
		lowest, highest := extent(row.Values)
		points = append(points, plotter.XY{X: float64(row.Size), Y: average})
		bars = append(bars, struct{ Low, High float64 }{math.Min(average-lowest*d.scale, average*0.9), highest*d.scale - average})
		d.include(average)
	}
	return points, bars
}

// addLine adds the measured points of a line, and a dashed line from the last one to the extrapolated
// value.
func (d *drawing) addLine(line Line, label string, index int) error {
	points, bars := d.points(line)
	if len(points) == 0 {
		return nil
	}
	measured, markers, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	measured.Color, markers.Color = plotutil.Color(index), plotutil.Color(index)
	markers.Shape = plotutil.Shape(index)
	errorBars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{points, bars})
	if err != nil {
		return err
	}
	errorBars.Color = plotutil.Color(index)
	d.plot.Add(measured, markers, errorBars)
	d.plot.Legend.Add(label, measured, markers)
	if line.Slope.Target > 0 && line.Slope.Shape != "none" {
		return d.addExtrapolation(points[len(points)-1], line.Slope.Target, index)
	}
	return nil
}

// addExtrapolation adds a dashed line from the last measured point to the extrapolated value.
func (d *drawing) addExtrapolation(last plotter.XY, target float64, index int) error {
	targetPoint := plotter.XY{X: d.target, Y: math.Max(target*d.scale, 1e-6)}
	extrapolation, err := plotter.NewLine(plotter.XYs{last, targetPoint})
	if err != nil {
		return err
	}
	extrapolation.Color, extrapolation.Dashes = plotutil.Color(index), []vg.Length{vg.Points(3), vg.Points(3)}
	d.plot.Add(extrapolation)
	d.include(targetPoint.Y)
	return nil
}

// addBound adds a horizontal line at the bound, and sets the range of the vertical axis.
func (d *drawing) addBound(bound, smallest float64) error {
	boundLine, err := plotter.NewLine(plotter.XYs{{X: smallest, Y: bound}, {X: d.target, Y: bound}})
	if err != nil {
		return err
	}
	boundLine.Color, boundLine.Width = color.RGBA{R: 200, A: 255}, vg.Points(1.5)
	d.plot.Add(boundLine)
	d.plot.Legend.Add(fmt.Sprintf("bound: %s", number(bound)), boundLine)
	d.plot.Y.Min, d.plot.Y.Max = math.Min(d.lowest, bound)/2, d.highest*20
	return nil
}
