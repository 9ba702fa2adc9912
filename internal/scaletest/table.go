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

// Table is what a course has found.
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

// Fit groups the rows by measure and fits each.
func (t *Table) Fit() {
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

// number writes a figure in three digits.
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
			fmt.Fprintf(out, " %s | %.0f%% | %s (%s..%s) |\n", line.Slope.Shape, line.Slope.Miss*100, number(line.Slope.Target), number(line.Slope.Least), number(line.Slope.Most))
		}
		fmt.Fprintln(out)
	}
}

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

// cell has the mean of one size, and half the distance of the extremes.
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
	{"capacity-bytes", "Control bytes a second of one proxy, in and out, by part", "bytes a second", 3000, []Curve{
		{Steady, "proxy", "bytes", "all"}, {Steady, "proxy", "bytes_membership", "membership"}, {Steady, "proxy", "bytes_updates", "updates"},
		{Steady, "proxy", "bytes_heartbeats", "heartbeats"}, {Steady, "proxy", "bytes_usage", "usage"}, {Configurations, "proxy", "bytes", "all, one configuration a second"}}, 1},
	{"capacity-processor", "Processor time", "% of a core", 3.1, []Curve{
		{Steady, "proxy", "processor", "proxy"}, {Configurations, "proxy", "processor", "proxy, one configuration a second"},
		{Steady, "registry", "processor", "busiest registry"}, {Steady, "configstore", "processor", "busiest configstore"}}, 1},
	{"capacity-memory", "Memory in use", "MB", 128, []Curve{
		{Steady, "proxy", "live", "proxy"}, {Steady, "registry", "live", "largest registry"}, {Steady, "configstore", "live", "largest configstore"}}, 1e-6},
	{"capacity-in-force", "Until a configuration is in force everywhere", "ms", 6000, []Curve{
		{Configurations, "fleet", "in_force_ms", "in force everywhere"}, {Configurations, "fleet", "settled_ms", "settled"}, {Restarts, "fleet", "restored_ms", "a restarted proxy is ready, all known"}}, 1},
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

func (t *Table) draw(chart Chart, folder string) error {
	drawing := plot.New()
	drawing.Title.Text, drawing.X.Label.Text, drawing.Y.Label.Text = chart.Title, "proxies in the fleet", chart.Unit
	drawing.X.Scale, drawing.Y.Scale = plot.LogScale{}, plot.LogScale{}
	drawing.X.Tick.Marker, drawing.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	drawing.Legend.Top, drawing.Legend.Left = true, true
	drawing.Add(plotter.NewGrid())
	lowest, highest := math.Inf(1), chart.Bound
	for index, curve := range chart.Curves {
		for _, line := range t.Lines {
			if line.Phase != curve.Phase || line.Role != curve.Role || line.Metric != curve.Metric {
				continue
			}
			points, bars := plotter.XYs{}, plotter.YErrors{}
			for _, row := range line.rows {
				middle := mean(row.Values) * chart.Scale
				if middle <= 0 {
					continue
				}
				least, most := extent(row.Values)
				points = append(points, plotter.XY{X: float64(row.Size), Y: middle})
				bars = append(bars, struct{ Low, High float64 }{math.Min(middle-least*chart.Scale, middle*0.9), most*chart.Scale - middle})
				lowest, highest = math.Min(lowest, middle), math.Max(highest, middle)
			}
			if len(points) == 0 {
				continue
			}
			drawn, dots, err := plotter.NewLinePoints(points)
			if err != nil {
				return err
			}
			drawn.Color, dots.Color = plotutil.Color(index), plotutil.Color(index)
			dots.Shape = plotutil.Shape(index)
			spread, err := plotter.NewYErrorBars(struct {
				plotter.XYer
				plotter.YErrorer
			}{points, bars})
			if err != nil {
				return err
			}
			spread.Color = plotutil.Color(index)
			drawing.Add(drawn, dots, spread)
			drawing.Legend.Add(curve.Label, drawn, dots)
			if line.Slope.Target > 0 && line.Slope.Shape != "none" {
				reached := plotter.XYs{points[len(points)-1], {X: float64(t.Target), Y: math.Max(line.Slope.Target*chart.Scale, 1e-6)}}
				onward, err := plotter.NewLine(reached)
				if err != nil {
					return err
				}
				onward.Color, onward.Dashes = plotutil.Color(index), []vg.Length{vg.Points(3), vg.Points(3)}
				drawing.Add(onward)
				lowest, highest = math.Min(lowest, reached[1].Y), math.Max(highest, reached[1].Y)
			}
		}
	}
	if math.IsInf(lowest, 1) {
		return nil
	}
	bound, err := plotter.NewLine(plotter.XYs{{X: float64(t.Course.Sizes[0]), Y: chart.Bound}, {X: float64(t.Target), Y: chart.Bound}})
	if err != nil {
		return err
	}
	bound.Color, bound.Width = color.RGBA{R: 200, A: 255}, vg.Points(1.5)
	drawing.Add(bound)
	drawing.Legend.Add(fmt.Sprintf("bound: %s", number(chart.Bound)), bound)
	drawing.Y.Min, drawing.Y.Max = math.Min(lowest, chart.Bound)/2, highest*20
	return drawing.Save(16*vg.Centimeter, 11*vg.Centimeter, filepath.Join(folder, chart.Name+".png"))
}
