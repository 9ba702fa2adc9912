package goroutine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const epoch = 1_000_000 * time.Hour

// largestError plays a clock second by second from one steady second to another, stepped by the
// given duration, and returns the largest error of its largestError.
func largestError(clock *wallClock, from, to int, step time.Duration) time.Duration {
	largest := time.Duration(0)
	for second := from; second < to; second++ {
		steady := time.Duration(second) * time.Second
		reading := clock.read(steady, epoch+steady+step)
		largest = max(largest, (reading - epoch - steady).Abs())
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

func TestAStepThatLastsIsFollowed(t *testing.T) {
	c := qt.New(t)
	clock := &wallClock{}
	largestError(clock, 1, 10, 0)
	largestError(clock, 10, 31, -3*time.Second)
	reading := clock.read(31*time.Second, epoch+28*time.Second)
	c.Check(reading, qt.Equals, epoch+28*time.Second)
}

func TestSmallCorrectionsAreFollowedAtOnce(t *testing.T) {
	c := qt.New(t)
	clock := &wallClock{}
	for second := 1; second < 100; second++ {
		steady := time.Duration(second) * time.Second
		timeOfDay := epoch + steady + time.Duration(second)*100*time.Millisecond
		c.Check(clock.read(steady, timeOfDay), qt.Equals, timeOfDay)
	}
}

func TestWallReturnsTimeOfDay(t *testing.T) {
	c := qt.New(t)
	difference := time.Duration(time.Now().UnixNano()) - New().Wall()
	c.Check(difference.Abs() < time.Second, qt.IsTrue)
}
