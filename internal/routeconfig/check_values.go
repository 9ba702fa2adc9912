package routeconfig

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Problems that several fields may have.
const (
	wantObject      = "want an object"
	wantList        = "want a list"
	wantText        = "want a text that is not empty"
	wantBool        = "want true or false"
	wantAboveZero   = "want a whole number above 0"
	wantPositive    = "want a whole number above 0, or a fraction of one"
	wantNotNegative = "want a number of 0 or more"
	wantPriority    = "want a whole number of 0 or more"
)

// unbounded is the bound of a number that may be as large as it likes.
const unbounded = 0

// checkUnique notes a name, and finds fault with one that is there already.
func (c *checker) checkUnique(names map[string]bool, path, name, problem string) {
	if names[name] && !c.lenient {
		c.add(path, problem)
	}
	names[name] = true
}

// checkList checks each item of a list, if there is one; items are counted from 0 in their paths.
func (c *checker) checkList(path string, value gjson.Result, checkItem func(path string, item gjson.Result)) {
	if !value.Exists() {
		return
	}
	if !value.IsArray() {
		c.add(path, wantList)
		return
	}
	for index, item := range value.Array() {
		checkItem(fmt.Sprintf("%s.%d", path, index), item)
	}
}

// checkText returns a text; "" is a fault.
func (c *checker) checkText(path string, value gjson.Result) string {
	if value.Type != gjson.String || value.String() == "" {
		c.add(path, wantText)
		return ""
	}
	return value.String()
}

// checkTextSet returns the texts of a list, in which each may stand once.
func (c *checker) checkTextSet(path string, value gjson.Result) map[string]bool {
	texts := map[string]bool{}
	c.checkList(path, value, func(itemPath string, item gjson.Result) {
		text := c.checkText(itemPath, item)
		if texts[text] {
			c.add(itemPath, "stands twice")
		}
		texts[text] = true
	})
	return texts
}

func (c *checker) checkBool(path string, value gjson.Result) {
	if value.Exists() && !value.IsBool() {
		c.add(path, wantBool)
	}
}

// checkChoice wants one of some texts, if there is a value.
func (c *checker) checkChoice(path string, value gjson.Result, choices []string, problem string) {
	if value.Exists() && !slices.Contains(choices, value.String()) {
		c.add(path, problem)
	}
}

// checkCount wants a whole number above 0. A lenient configuration may say 0 for "not set", and
// fractions.
func (c *checker) checkCount(path string, value gjson.Result) {
	if !c.lenient {
		c.checkWholeNumber(path, value, unbounded)
		return
	}
	if value.Exists() && (value.Type != gjson.Number || value.Num < 0) {
		c.add(path, wantNotNegative)
	}
}

// checkPositive wants a number above 0, fractions included.
func (c *checker) checkPositive(path string, value gjson.Result) {
	if value.Exists() && (value.Type != gjson.Number || value.Num <= 0) {
		c.add(path, wantPositive)
	}
}

// checkPriority wants a whole number of 0 or more.
func (c *checker) checkPriority(path string, value gjson.Result) {
	if value.Exists() && (!isWhole(value) || value.Int() < 0) {
		c.add(path, wantPriority)
	}
}

// checkWholeNumber wants a whole number above 0 and, unless it is unbounded, up to a bound.
func (c *checker) checkWholeNumber(path string, value gjson.Result, bound int64) {
	if !value.Exists() {
		return
	}
	if !isWhole(value) || value.Int() <= 0 {
		c.add(path, wantAboveZero)
		return
	}
	if bound > unbounded && value.Int() > bound {
		c.add(path, fmt.Sprintf("the settings allow at most %d", bound))
	}
}

// isWhole says that a value is a number without a fraction that fits 64 bits.
func isWhole(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num == float64(value.Int())
}
