package routeconfig

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Problems that are reported for several fields.
const (
	problemNotObject             = "want an object"
	problemNotList               = "want a list"
	problemMoreFaults            = "there are further faults"
	problemNotText               = "want a text that is not empty"
	problemNotBool               = "want true or false"
	problemNotPositiveInteger    = "want a whole number above 0"
	problemNotPositive           = "want a whole number above 0, or a fraction of one"
	problemNegative              = "want a number of 0 or more"
	problemNotNonNegativeInteger = "want a whole number of 0 or more"
)

// noMaximum is passed to checkPositiveInteger for a number without a maximum.
const noMaximum = 0

// checkUnique adds a name to those already seen, and adds a fault if it is one of them. A lenient
// configuration may repeat names.
func (c *checker) checkUnique(names map[string]bool, path, name, problem string) {
	if names[name] && !c.lenient {
		c.add(path, problem)
	}
	names[name] = true
}

// checkList checks the items of an optional list, until no further fault would be listed. The path of an item ends
// in its index, from 0.
func (c *checker) checkList(path string, value gjson.Result, checkItem func(path string, item gjson.Result)) {
	if !value.Exists() {
		return
	}
	if !value.IsArray() {
		c.add(path, problemNotList)
		return
	}
	forEachItem(value, func(index int, item gjson.Result) bool {
		checkItem(fmt.Sprintf("%s.%d", path, index), item)
		return !c.isFull()
	})
}

// checkString checks that a value is a string that is not empty, and returns it; "" if it is not.
func (c *checker) checkString(path string, value gjson.Result) string {
	if value.Type != gjson.String || value.String() == "" {
		c.add(path, problemNotText)
		return ""
	}
	return value.String()
}

// checkStringSet checks that an optional list holds distinct strings, and returns them.
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

// checkBool checks that an optional value is true or false.
func (c *checker) checkBool(path string, value gjson.Result) {
	if value.Exists() && !value.IsBool() {
		c.add(path, problemNotBool)
	}
}

// checkChoice checks that an optional value is one of the choices.
func (c *checker) checkChoice(path string, value gjson.Result, choices []string, problem string) {
	if value.Exists() && !slices.Contains(choices, value.String()) {
		c.add(path, problem)
	}
}

// checkCount checks that an optional value is a whole number above 0. A lenient configuration may also
// give 0, which means "not set", and fractions.
func (c *checker) checkCount(path string, value gjson.Result) {
	if !c.lenient {
		c.checkPositiveInteger(path, value, noMaximum)
		return
	}
	if value.Exists() && (value.Type != gjson.Number || value.Num < 0) {
		c.add(path, problemNegative)
	}
}

// checkPositiveNumber checks that an optional value is a number above 0. It may be a fraction.
func (c *checker) checkPositiveNumber(path string, value gjson.Result) {
	if value.Exists() && (value.Type != gjson.Number || value.Num <= 0) {
		c.add(path, problemNotPositive)
	}
}

// checkNonNegativeInteger checks that an optional value is a whole number of 0 or more.
func (c *checker) checkNonNegativeInteger(path string, value gjson.Result) {
	if value.Exists() && (!isInteger(value) || value.Int() < 0) {
		c.add(path, problemNotNonNegativeInteger)
	}
}

// checkPositiveInteger checks that an optional value is a whole number above 0 and, unless the maximum is
// noMaximum, not above the maximum.
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

// isInteger reports whether a value is a number without a fraction that fits in 64 bits.
func isInteger(value gjson.Result) bool {
	return value.Type == gjson.Number && value.Num == float64(value.Int())
}
