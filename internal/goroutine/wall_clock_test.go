package goroutine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const epoch = 1_000_000 * time.Hour

// largestError reads a clock once per second of the monotonic clock, in the seconds from (inclusive) to (exclusive),
// while the machine's wall clock is off by step. It returns the largest error of the readings.
func largestError(clock *wallClock, from, to int, step time.Duration) time.Duration {
	largest := time.Duration(0)
	for second := from; second < to; second++ {
		monotonic := time.Duration(second) * time.Second
		reading := clock.read(monotonic, epoch+monotonic+step)
		largest = max(largest, (reading - epoch - monotonic).Abs())
	}
	return largest
}

func TestAShortStepOfTheClockIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	for _, step := range []time.Duration{-3 * time.Second, 5 * time.Second, time.Minute} {
		clock := &wallClock{}
		c.Check(largestError(clock, 1, 10, 0), qt.Equals, time.Duration(0))
		c.Check(largestError(clock, 10, 20, step), qt.Equals, time.Duration(0))
		c.Check(largestError(clock, 20, 30, 0), qt.Equals, time.Duration(0))
	}
}

func TestShortStepsDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	clock := &wallClock{}
	c.Check(largestError(clock, 1, 10, 0), qt.Equals, time.Duration(0))
	for from := 10; from < 200; from += 40 {
		c.Check(largestError(clock, from, from+15, 4*time.Second), qt.Equals, time.Duration(0))
		c.Check(largestError(clock, from+15, from+40, 0), qt.Equals, time.Duration(0))
	}
}

func TestPersistentStepIsApplied(t *testing.T) {
	c := qt.New(t)
	clock := &wallClock{}
	largestError(clock, 1, 10, 0)
	largestError(clock, 10, 31, -3*time.Second)
	reading := clock.read(31*time.Second, epoch+28*time.Second)
	c.Check(reading, qt.Equals, epoch+28*time.Second)
}

func TestSmallCorrectionsAreAppliedAtOnce(t *testing.T) {
	c := qt.New(t)
	clock := &wallClock{}
	for second := 1; second < 100; second++ {
		monotonic := time.Duration(second) * time.Second
		timeOfDay := epoch + monotonic + time.Duration(second)*100*time.Millisecond
		c.Check(clock.read(monotonic, timeOfDay), qt.Equals, timeOfDay)
	}
}

func TestWallReturnsTimeOfDay(t *testing.T) {
	c := qt.New(t)
	difference := time.Duration(time.Now().UnixNano()) - New().Wall()
	c.Check(difference.Abs() < time.Second, qt.IsTrue)
}
