package routeconfig

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Problems that several fields may have.
const (
	problemNotObject             = "want an object"
	problemNotList               = "want a list"
	problemNotText               = "want a text that is not empty"
	problemNotBool               = "want true or false"
	problemNotPositiveInteger    = "want a whole number above 0"
	problemNotPositive           = "want a whole number above 0, or a fraction of one"
	problemNegative              = "want a number of 0 or more"
	problemNotNonNegativeInteger = "want a whole number of 0 or more"
)

// noMaximum is the bound of a number that may be as large as it likes.
const noMaximum = 0

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
		c.add(path, problemNotList)
		return
	}
	for index, item := range value.Array() {
		checkItem(fmt.Sprintf("%s.%d", path, index), item)
	}
}

// checkString returns a text; "" is a fault.
func (c *checker) checkString(path string, value gjson.Result) string {
	if value.Type != gjson.String || value.String() == "" {
		c.add(path, problemNotText)
		return ""
	}
	return value.String()
}

// checkStringSet returns the texts of a list, in which each may stand once.
func (c *checker) checkStringSet(path string, value gjson.Result) map[string]bool {
	texts := map[string]bool{}
	c.checkList(path, value, func(itemPath string, item gjson.Result) {
		text := c.checkString(itemPath, item)
		if texts[text] {
			c.add(itemPath, "stands twice")
		}
		texts[text] = true
	})
	return texts
}

func (c *checker) checkBool(path string, value gjson.Result) {
	if value.Exists() && !value.IsBool() {
		c.add(path, problemNotBool)
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
		c.checkPositiveInteger(path, value, noMaximum)
		return
	}
	if value.Exists() && (value.Type != gjson.Number || value.Num < 0) {
		c.add(path, problemNegative)
	}
}

// checkPositiveNumber wants a number above 0, fractions included.
func (c *checker) checkPositiveNumber(path string, value gjson.Result) {
	if value.Exists() && (value.Type != gjson.Number || value.Num <= 0) {
		c.add(path, problemNotPositive)
	}
}

// checkNonNegativeInteger wants a whole number of 0 or more.
func (c *checker) checkNonNegativeInteger(path string, value gjson.Result) {
	if value.Exists() && (!isInteger(value) || value.Int() < 0) {
		c.add(path, problemNotNonNegativeInteger)
	}
}

// checkPositiveInteger wants a whole number above 0 and, unless it is unbounded, up to a bound.
func (c *checker) checkPositiveInteger(path string, value gjson.Result, maximum int64) {
	if !value.Exists() {
		return
	}
	if !isInteger(value) || value.Int() <= 0 {
		c.add(path, problemNotPositiveInteger)
		return
	}
	if maximum > noMaximum && value.Int() > maximum {
		c.add(path, fmt.Sprintf("the settings allow at most %d", maximum))
	}
}

// isInteger says that a value is a number without a fraction that fits 64 bits.
func isInteger(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num == float64(value.Int())
}
