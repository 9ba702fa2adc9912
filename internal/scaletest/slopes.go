package scaletest

import (
	"math"
	"sort"
)

// Shape is a way of growing.
type Shape struct {
	Name string
	At   func(size float64) float64
}

// Shapes are the shapes that are fitted, the slowest first.
var Shapes = []Shape{
	{"flat", func(float64) float64 { return 0 }},
	{"log n", func(size float64) float64 { return math.Log2(size) }},
	{"n", func(size float64) float64 { return size }},
	{"n log n", func(size float64) float64 { return size * math.Log2(size) }},
	{"n²", func(size float64) float64 { return size * size }},
}

// Slope is a fitted shape: base + rate × shape(size). A few shapes are fitted by least squares of
// the relative error, and the one that misses least is taken; a shape that grows is taken only where
// it misses clearly less than a flat one. The range of the extrapolated figure comes from fitting
// each repeat alone and from the next best shape, so that it shows both the scatter of the measuring
// and what the choice of a shape decides.
type Slope struct {
	Shape    string  `json:"shape"`
	Base     float64 `json:"base"`
	Rate     float64 `json:"rate"`
	Miss     float64 `json:"miss"`     // root mean square of the relative error
	Exponent float64 `json:"exponent"` // of the log-log line, for comparison
	Target   float64 `json:"target"`   // the figure at the size extrapolated to, with its range
	Least    float64 `json:"least"`
	Most     float64 `json:"most"`
}

const (
	clearlyBetter = 0.7  // a growing shape must miss by less than this share of a flat one's miss
	asLikely      = 1.25 // a shape that misses by at most this much more is as likely
)

// fit gives base and rate of one shape; weights are one over the value squared.
func fit(shape Shape, sizes, values []float64) (base, rate, miss float64) {
	var sumW, sumX, sumY, sumXX, sumXY float64
	for index, size := range sizes {
		weight := 1 / math.Max(values[index]*values[index], 1e-12)
		x, y := shape.At(size), values[index]
		sumW, sumX, sumY, sumXX, sumXY = sumW+weight, sumX+weight*x, sumY+weight*y, sumXX+weight*x*x, sumXY+weight*x*y
	}
	if spread := sumW*sumXX - sumX*sumX; spread > 1e-9*sumW*sumXX {
		rate = (sumW*sumXY - sumX*sumY) / spread
	}
	if sumW > 0 {
		base = (sumY - rate*sumX) / sumW
	}
	for index, size := range sizes {
		fitted := base + rate*shape.At(size)
		if values[index] != 0 {
			miss += (fitted - values[index]) * (fitted - values[index]) / (values[index] * values[index])
		}
	}
	return base, rate, math.Sqrt(miss / float64(len(sizes)))
}

// at is what a shape comes to at a size; never below nothing.
func at(shape Shape, sizes, values []float64, size float64) float64 {
	base, rate, _ := fit(shape, sizes, values)
	return math.Max(0, base+rate*shape.At(size))
}

// SlopeOf fits the rows of one measure at several sizes, and extrapolates to a target size.
func SlopeOf(list []Row, target float64) Slope {
	sizes, means, repeats := []float64{}, []float64{}, -1
	for _, row := range list {
		if len(row.Values) == 0 {
			continue
		}
		sizes, means = append(sizes, float64(row.Size)), append(means, mean(row.Values))
		if repeats < 0 || len(row.Values) < repeats {
			repeats = len(row.Values)
		}
	}
	if len(sizes) == 0 {
		return Slope{Shape: "none"}
	}
	type tried struct {
		shape            Shape
		base, rate, miss float64
	}
	all := []tried{}
	for _, shape := range Shapes {
		base, rate, miss := fit(shape, sizes, means)
		if rate >= 0 && (base+rate*shape.At(sizes[0]) >= 0 || shape.Name == "flat") {
			all = append(all, tried{shape, base, rate, miss})
		}
	}
	flat := all[0]
	sort.SliceStable(all, func(i, j int) bool { return all[i].miss < all[j].miss })
	best := all[0]
	if best.miss > flat.miss*clearlyBetter || len(sizes) < 3 {
		best = flat
	}
	slope := Slope{Shape: best.shape.Name, Base: best.base, Rate: best.rate, Miss: best.miss, Exponent: exponent(sizes, means)}
	slope.Target = at(best.shape, sizes, means, target)
	slope.Least, slope.Most = slope.Target, slope.Target
	widen := func(value float64) {
		slope.Least, slope.Most = math.Min(slope.Least, value), math.Max(slope.Most, value)
	}
	for repeat := range repeats {
		values := []float64{}
		for _, row := range list {
			if len(row.Values) > 0 {
				values = append(values, row.Values[repeat])
			}
		}
		widen(at(best.shape, sizes, values, target))
	}
	for _, other := range all {
		if best.shape.Name != "flat" && other.miss <= best.miss*asLikely+0.01 {
			widen(at(other.shape, sizes, means, target))
		}
	}
	return slope
}

// exponent is the slope of the line through the logarithms.
func exponent(sizes, values []float64) float64 {
	var sumX, sumY, sumXX, sumXY, number float64
	for index, size := range sizes {
		if values[index] <= 0 {
			continue
		}
		x, y := math.Log(size), math.Log(values[index])
		sumX, sumY, sumXX, sumXY, number = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y, number+1
	}
	if spread := number*sumXX - sumX*sumX; spread > 1e-9 {
		return (number*sumXY - sumX*sumY) / spread
	}
	return 0
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

func extent(values []float64) (least, most float64) {
	least, most = values[0], values[0]
	for _, value := range values {
		least, most = math.Min(least, value), math.Max(most, value)
	}
	return least, most
}
