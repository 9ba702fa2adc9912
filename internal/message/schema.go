package message

import (
	"reflect"
	"strings"

	"github.com/hamba/avro/v2"
)

// schemaOf derives the Avro schema of a struct by reflection. Messages hold only strings, bytes,
// bools, int64, float64, slices, maps by string and structs; it panics on anything else, which is a
// programming error that shows when the package is initialised.
func schemaOf(sample any) avro.Schema {
	return avro.MustParse(schemaText(reflect.TypeOf(sample), map[string]bool{}))
}

// schemaText returns the schema of a type as JSON. The names in seen are records that are already
// defined; a schema defines each record once.
func schemaText(goType reflect.Type, seen map[string]bool) string {
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
		return `{"type":"array","items":` + schemaText(goType.Elem(), seen) + `}`
	case reflect.Map:
		return `{"type":"map","values":` + schemaText(goType.Elem(), seen) + `}`
	case reflect.Struct:
		return recordText(goType, seen)
	}
	panic("message: no Avro form for " + goType.String())
}

// recordText returns the definition of a struct's record, or its name where it is already defined.
func recordText(goType reflect.Type, seen map[string]bool) string {
	if seen[goType.Name()] {
		return `"` + goType.Name() + `"`
	}
	seen[goType.Name()] = true
	fields := make([]string, 0, goType.NumField())
	for index := range goType.NumField() {
		field := goType.Field(index)
		fields = append(fields, `{"name":"`+field.Name+`","type":`+schemaText(field.Type, seen)+`}`)
	}
	return `{"type":"record","name":"` + goType.Name() + `","fields":[` + strings.Join(fields, ",") + `]}`
}
