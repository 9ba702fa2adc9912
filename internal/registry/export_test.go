package registry

import (
	"fmt"
	"reflect"
	"unsafe"
)

// GuardNames lists the rules that may be switched off.
func GuardNames() []string {
	names := []string{}
	for index := range reflect.TypeOf(guardsOff).NumField() {
		names = append(names, reflect.TypeOf(guardsOff).Field(index).Name)
	}
	return names
}

// WithoutGuard runs something with one rule switched off.
func WithoutGuard(name string, do func()) {
	field := reflect.ValueOf(&guardsOff).Elem().FieldByName(name)
	if !field.IsValid() {
		panic(fmt.Sprintf("no guard %q", name))
	}
	off := (*bool)(unsafe.Pointer(field.UnsafeAddr()))
	*off = true
	defer func() { *off = false }()
	do()
}
