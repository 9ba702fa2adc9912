package safeguard

import (
	"fmt"
	"reflect"
	"unsafe"
)

// WithoutField disables one rule of a control machine while it calls run. The rules are a pointer to an
// unexported struct of another package, whose test files have access to it; a rule is disabled while its bool
// field is true. WithoutField must be called only by tests, and not by tests that run in parallel. It panics
// for a name that is not a field of the struct.
func WithoutField(rules any, name string, run func()) {
	field := reflect.ValueOf(rules).Elem().FieldByName(name)
	if !field.IsValid() {
		panic(fmt.Sprintf("safeguard: no rule %q in %T", name, rules))
	}
	flag := (*bool)(unsafe.Pointer(field.UnsafeAddr()))
	*flag = true
	defer func() { *flag = false }()
	run()
}
