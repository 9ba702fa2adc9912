package scaletest

import (
	"math"
	"sort"
)

// Shape is a growth function of the fleet size.
type Shape struct {
	Name string
	At   func(size float64) float64
}

// Shapes are the growth functions that are fitted, in ascending order of growth.
var Shapes = []Shape{
	{"flat", func(float64) float64 { return 0 }},
	{"log n", func(size float64) float64 { return math.Log2(size) }},
	{"n", func(size float64) float64 { return size }},
	{"n log n", func(size float64) float64 { return size * math.Log2(size) }},
	{"n²", func(size float64) float64 { return size * size }},
}

// Slope is a fitted growth function: base + rate × shape(size). Each shape is fitted by least squares of
// the relative error, and the one with the smallest error is used; a growing shape is used only if its
// error is clearly smaller than that of the flat one (maxGrowthErrorRatio). The range of the
// extrapolated value comes from fitting each repeat separately and from other shapes with a similar
// error (maxAlternativeErrorRatio), so that it reflects both the scatter of the measurements and the
// uncertainty about the shape.
type Slope struct {
	Shape         string  `json:"shape"`
	Base          float64 `json:"base"`
	Rate          float64 `json:"rate"`
	RelativeError float64 `json:"miss"`     // root mean square of the relative error
	Exponent      float64 `json:"exponent"` // slope of the regression line in log-log coordinates, for comparison
	Target        float64 `json:"target"`   // value extrapolated to the target size; Lower and Upper are its range
	Lower         float64 `json:"least"`
	Upper         float64 `json:"most"`
}

const (
	maxGrowthErrorRatio      = 0.7  // maximum error of a growing shape, as a share of the flat shape's error
	maxAlternativeErrorRatio = 1.25 // maximum error of a shape that widens the range, relative to the best shape's error
)

// fit returns the base and the rate of one shape by weighted least squares, with weights of one over
// the value squared, and the root mean square of the relative error.
func fit(shape Shape, sizes, values []float64) (base, rate, relativeError float64) {
	var sumW, sumX, sumY, sumXX, sumXY float64
	for index, size := range sizes {
		weight := 1 / math.Max(values[index]*values[index], 1e-12)
		x, y := shape.At(size), values[index]
		sumW, sumX, sumY, sumXX, sumXY = sumW+weight, sumX+weight*x, sumY+weight*y, sumXX+weight*x*x, sumXY+weight*x*y
	}
	if determinant := sumW*sumXX - sumX*sumX; determinant > 1e-9*sumW*sumXX {
		rate = (sumW*sumXY - sumX*sumY) / determinant
	}
	if sumW > 0 {
		base = (sumY - rate*sumX) / sumW
	}
	for index, size := range sizes {
		fitted := base + rate*shape.At(size)
		if values[index] != 0 {
			relativeError += (fitted - values[index]) * (fitted - values[index]) / (values[index] * values[index])
		}
	}
	return base, rate, math.Sqrt(relativeError / float64(len(sizes)))
}

// extrapolate fits a shape and returns its value at a size, at least 0.
func extrapolate(shape Shape, sizes, values []float64, size float64) float64 {
	base, rate, _ := fit(shape, sizes, values)
	return math.Max(0, base+rate*shape.At(size))
}

// samples holds the values of one metric at several fleet sizes.
type samples struct {
	sizes   []float64
	means   []float64
	repeats [][]float64 // by repeat and size
}

// samplesOf collects the rows that have values. The number of repeats is the lowest of all sizes.
func samplesOf(list []Row) samples {
	s, repeats := samples{}, -1
	rows := []Row{}
	for _, row := range list {
		if len(row.Values) == 0 {
			continue
		}
		rows = append(rows, row)
		s.sizes, s.means = append(s.sizes, float64(row.Size)), append(s.means, mean(row.Values))
		if repeats < 0 || len(row.Values) < repeats {
			repeats = len(row.Values)
		}
	}
	for repeat := range max(repeats, 0) {
		values := []float64{}
		for _, row := range rows {
			values = append(values, row.Values[repeat])
		}
		s.repeats = append(s.repeats, values)
	}
	return s
}

// fitted is a shape with its fitted parameters and its relative error.
type fitted struct {
	shape                     Shape
	base, rate, relativeError float64
}

// fits returns the fitted shapes in ascending order of their error, and the flat one. It leaves out
// shapes that decrease or are negative at the smallest size.
func (s samples) fits() (ranked []fitted, flat fitted) {
	for _, shape := range Shapes {
		base, rate, relativeError := fit(shape, s.sizes, s.means)
		if rate >= 0 && (base+rate*shape.At(s.sizes[0]) >= 0 || shape.Name == "flat") {
			ranked = append(ranked, fitted{shape, base, rate, relativeError})
		}
	}
	flat = ranked[0]
	sort.SliceStable(ranked, func(i, j int) bool { return ranked[i].relativeError < ranked[j].relativeError })
	return ranked, flat
}

// SlopeOf fits the rows of one metric at several fleet sizes, and extrapolates to a target size.
func SlopeOf(list []Row, target float64) Slope {
	s := samplesOf(list)
	if len(s.sizes) == 0 {
		return Slope{Shape: "none"}
	}
	ranked, flat := s.fits()
	best := ranked[0]
	if best.relativeError > flat.relativeError*maxGrowthErrorRatio || len(s.sizes) < 3 {
		best = flat
	}
	slope := Slope{
		Shape:         best.shape.Name,
		Base:          best.base,
		Rate:          best.rate,
		RelativeError: best.relativeError,
		Exponent:      exponent(s.sizes, s.means),
		Target:        extrapolate(best.shape, s.sizes, s.means, target),
	}
	slope.Lower, slope.Upper = slope.Target, slope.Target
	for _, values := range s.repeats {
		slope.widen(extrapolate(best.shape, s.sizes, values, target))
	}
	for _, other := range ranked {
		if best.shape.Name != "flat" && other.relativeError <= best.relativeError*maxAlternativeErrorRatio+0.01 {
			slope.widen(extrapolate(other.shape, s.sizes, s.means, target))
		}
	}
	return slope
}

// widen extends the range of the extrapolated value to include another value.
func (s *Slope) widen(value float64) {
	s.Lower, s.Upper = math.Min(s.Lower, value), math.Max(s.Upper, value)
}

// exponent returns the slope of the regression line through the logarithms of sizes and values, without
// values that are not positive.
func exponent(sizes, values []float64) float64 {
	var sumX, sumY, sumXX, sumXY, number float64
	for index, size := range sizes {
		if values[index] <= 0 {
			continue
		}
		x, y := math.Log(size), math.Log(values[index])
		sumX, sumY, sumXX, sumXY, number = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y, number+1
	}
	if determinant := number*sumXX - sumX*sumX; determinant > 1e-9 {
		return (number*sumXY - sumX*sumY) / determinant
	}
	return 0
}

// mean returns the arithmetic mean of the values, of which there must be at least one.
func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// extent returns the lowest and the highest of the values, of which there must be at least one.
func extent(values []float64) (lowest, highest float64) {
	lowest, highest = values[0], values[0]
	for _, value := range values {
		lowest, highest = math.Min(lowest, value), math.Max(highest, value)
	}
	return lowest, highest
}
