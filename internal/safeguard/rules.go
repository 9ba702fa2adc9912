package safeguard

// This file is for the rules of the control machines, which are fields of an unexported
// struct in each package; only the test files of that package reach them.

import (
	"fmt"
	"reflect"
	"unsafe"
)

// WithoutField runs something while one bool field of a struct of rules is set, which
// switches that rule off. Only for test files, and never beside tests that run at the same
// time.
func WithoutField(rules any, name string, do func()) {
	field := reflect.ValueOf(rules).Elem().FieldByName(name)
	if !field.IsValid() {
		panic(fmt.Sprintf("safeguard: no rule %q", name))
	}
	off := (*bool)(unsafe.Pointer(field.UnsafeAddr()))
	*off = true
	defer func() { *off = false }()
	do()
}
