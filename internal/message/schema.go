package message

import (
	"reflect"
	"strings"

	"github.com/hamba/avro/v2"
)

// schemaOf derives the Avro schema of a struct by reflection. Messages hold only strings, bytes,
// bools, int64, float64, slices, maps with string keys, and structs. Any other type is a programming error, on
// which schemaOf panics when the package is initialised.
func schemaOf(sample any) avro.Schema {
	return avro.MustParse(schemaText(reflect.TypeOf(sample), map[string]bool{}))
}

// schemaText returns the schema of a type as JSON. The set defined holds the names of the records that the
// schema defines already: a schema defines each record once.
func schemaText(goType reflect.Type, defined map[string]bool) string {
	switch goType.Kind() {
	case reflect.String:
		return `"string"`
	case reflect.Bool:
		return `"boolean"`
	case reflect.Int64:
		return `"long"`
	case reflect.Float64:
		return `"double"`
	case reflect.Slice:
		if goType.Elem().Kind() == reflect.Uint8 {
			return `"bytes"`
		}
		return `{"type":"array","items":` + schemaText(goType.Elem(), defined) + `}`
	case reflect.Map:
		return `{"type":"map","values":` + schemaText(goType.Elem(), defined) + `}`
	case reflect.Struct:
		return recordText(goType, defined)
	}
	panic("message: no Avro schema for type " + goType.String())
}

// recordText returns the definition of a struct's record, or its name if it is already defined.
func recordText(goType reflect.Type, defined map[string]bool) string {
	if defined[goType.Name()] {
		return `"` + goType.Name() + `"`
	}
	defined[goType.Name()] = true
	fields := make([]string, 0, goType.NumField())
	for index := range goType.NumField() {
		field := goType.Field(index)
		fields = append(fields, `{"name":"`+field.Name+`","type":`+schemaText(field.Type, defined)+`}`)
	}
	return `{"type":"record","name":"` + goType.Name() + `","fields":[` + strings.Join(fields, ",") + `]}`
}
