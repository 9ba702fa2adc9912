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

// Table is what a course found at all sizes.
type Table struct {
	Plan   Plan   `json:"plan"`
	Course Course `json:"course"`
	Target int    `json:"target"`
	Rows   []Row  `json:"rows"`
	Lines  []Line `json:"lines"`
}

// Line is one measure over all sizes, with its slope.
type Line struct {
	Phase  string `json:"phase"`
	Role   string `json:"role"`
	Metric string `json:"metric"`
	Slope  Slope  `json:"slope"`
	rows   []Row
}

// FitLines groups the rows by measure and fits each.
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

// number formats a figure with three digits.
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

// Markdown prints the table, without lines that are all zero.
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
				slope.Shape, slope.Miss*100, number(slope.Target), number(slope.Least), number(slope.Most))
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

// cell returns the mean at one size, and half the distance of the extremes.
func (l Line) cell(size int) string {
	for _, row := range l.rows {
		if row.Size == size && len(row.Values) > 0 {
			least, most := extent(row.Values)
			if len(row.Values) == 1 {
				return number(row.Values[0])
			}
			return number(mean(row.Values)) + " ±" + number((most-least)/2)
		}
	}
	return ""
}

// JSON prints everything as JSON.
func (t *Table) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(t)
}

// Curve names one line of a plot.
type Curve struct{ Phase, Role, Metric, Label string }

// Chart is one plot: curves, and the bound that they are held to, if there is one.
type Chart struct {
	Name, Title, Unit string
	Bound             float64
	Curves            []Curve
	Scale             float64
}

// Charts are the plots of docs/CAPACITY.md.
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

// Plot draws the charts as PNG files into a folder.
func (t *Table) Plot(folder string) error {
	for _, chart := range Charts {
		if err := t.draw(chart, folder); err != nil {
			return errcode.Wrap("scaletest.plot", errcode.Internal, err)
		}
	}
	return nil
}

// drawing is one plot in the making, with the range of what it shows.
type drawing struct {
	plot            *plot.Plot
	scale           float64
	target          float64 // the size extrapolated to
	lowest, highest float64
}

// draw draws one chart into a folder; a chart without figures is left out.
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

func newDrawing(chart Chart, target float64) *drawing {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = chart.Title, "proxies in the fleet", chart.Unit
	drawn.X.Scale, drawn.Y.Scale = plot.LogScale{}, plot.LogScale{}
	drawn.X.Tick.Marker, drawn.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	drawn.Legend.Top, drawn.Legend.Left = true, true
	drawn.Add(plotter.NewGrid())
	return &drawing{plot: drawn, scale: chart.Scale, target: target, lowest: math.Inf(1), highest: chart.Bound}
}

// include widens the range of the plot.
func (d *drawing) include(value float64) {
	d.lowest, d.highest = math.Min(d.lowest, value), math.Max(d.highest, value)
}

// points returns the means of a line with the distances to their extremes; sizes without a figure
// above 0 have no place on a logarithmic axis.
func (d *drawing) points(line Line) (plotter.XYs, plotter.YErrors) {
	points, bars := plotter.XYs{}, plotter.YErrors{}
	for _, row := range line.rows {
		middle := mean(row.Values) * d.scale
		if middle <= 0 {
			continue
		}
		least, most := extent(row.Values)
		points = append(points, plotter.XY{X: float64(row.Size), Y: middle})
		bars = append(bars, struct{ Low, High float64 }{math.Min(middle-least*d.scale, middle*0.9), most*d.scale - middle})
		d.include(middle)
	}
	return points, bars
}

// addLine adds the measured points of a line, and the way from the last to the figure extrapolated.
func (d *drawing) addLine(line Line, label string, index int) error {
	points, bars := d.points(line)
	if len(points) == 0 {
		return nil
	}
	measured, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	measured.Color, dots.Color = plotutil.Color(index), plotutil.Color(index)
	dots.Shape = plotutil.Shape(index)
	spread, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{points, bars})
	if err != nil {
		return err
	}
	spread.Color = plotutil.Color(index)
	d.plot.Add(measured, dots, spread)
	d.plot.Legend.Add(label, measured, dots)
	if line.Slope.Target > 0 && line.Slope.Shape != "none" {
		return d.addExtrapolation(points[len(points)-1], line.Slope.Target, index)
	}
	return nil
}

func (d *drawing) addExtrapolation(last plotter.XY, target float64, index int) error {
	reached := plotter.XY{X: d.target, Y: math.Max(target*d.scale, 1e-6)}
	onward, err := plotter.NewLine(plotter.XYs{last, reached})
	if err != nil {
		return err
	}
	onward.Color, onward.Dashes = plotutil.Color(index), []vg.Length{vg.Points(3), vg.Points(3)}
	d.plot.Add(onward)
	d.include(reached.Y)
	return nil
}

func (d *drawing) addBound(bound, smallest float64) error {
	level, err := plotter.NewLine(plotter.XYs{{X: smallest, Y: bound}, {X: d.target, Y: bound}})
	if err != nil {
		return err
	}
	level.Color, level.Width = color.RGBA{R: 200, A: 255}, vg.Points(1.5)
	d.plot.Add(level)
	d.plot.Legend.Add(fmt.Sprintf("bound: %s", number(bound)), level)
	d.plot.Y.Min, d.plot.Y.Max = math.Min(d.lowest, bound)/2, d.highest*20
	return nil
}
