package safeguard

import (
	"fmt"
	"reflect"
	"unsafe"
)

// WithoutField calls do while one bool field of a struct of rules is set, which switches that rule of a
// control machine off. The rules are an unexported struct in each package, which only the test files
// of that package reach. It is for test files only, and not for tests that run in parallel. It panics
// for a name that the struct does not have.
func WithoutField(rules any, name string, run func()) {
	field := reflect.ValueOf(rules).Elem().FieldByName(name)
	if !field.IsValid() {
		panic(fmt.Sprintf("safeguard: no rule %q", name))
	}
	disabled := (*bool)(unsafe.Pointer(field.UnsafeAddr()))
	*disabled = true
	defer func() { *disabled = false }()
	run()
}
