// This file gives Go message types their Avro form: a schema is derived from the
// struct by reflection once, at start, and frames are a kind byte followed by the
// Avro record. Messages hold only strings, bytes, bools, int64, float64, slices,
// string maps and structs, which is all that the processes say to each other.
package script

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/hamba/avro/v2"

	"beaconvane/internal/notice"
)

type kindEntry struct {
	kind   byte
	schema avro.Schema
	goType reflect.Type
}

var (
	byKind = map[byte]kindEntry{}
	byType = map[reflect.Type]kindEntry{}
)

// enrol registers a message type under its kind byte.
func enrol(kind byte, sample any) {
	goType := reflect.TypeOf(sample)
	entry := kindEntry{kind, SchemaOf(sample), goType}
	if _, taken := byKind[kind]; taken {
		panic(fmt.Sprintf("script: kind %d twice", kind))
	}
	byKind[kind] = entry
	byType[goType] = entry
}

// SchemaOf derives the Avro schema of a struct.
func SchemaOf(sample any) avro.Schema {
	return avro.MustParse(schemaText(reflect.TypeOf(sample), map[string]bool{}))
}

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
	panic("script: no Avro form for " + goType.String())
}

// Encode gives the frame body of a message: kind byte and Avro record.
func Encode(message any) ([]byte, error) {
	entry, found := byType[reflect.TypeOf(message)]
	if !found {
		return nil, notice.Wrap("script.encode", notice.FrameBad, fmt.Errorf("unknown type %T", message))
	}
	body, err := avro.Marshal(entry.schema, message)
	if err != nil {
		return nil, notice.Wrap("script.encode", notice.FrameBad, err)
	}
	return append([]byte{entry.kind}, body...), nil
}

// Decode reads a frame body back into its message (by value).
func Decode(frame []byte) (any, error) {
	if len(frame) == 0 {
		return nil, notice.Wrap("script.decode", notice.FrameBad, fmt.Errorf("empty frame"))
	}
	entry, found := byKind[frame[0]]
	if !found {
		return nil, notice.Wrap("script.decode", notice.FrameBad, fmt.Errorf("unknown kind %d", frame[0]))
	}
	target := reflect.New(entry.goType)
	if err := avro.Unmarshal(entry.schema, frame[1:], target.Interface()); err != nil {
		return nil, notice.Wrap("script.decode", notice.FrameBad, err)
	}
	return target.Elem().Interface(), nil
}

// Pack and Unpack serve records on disk, which bear no kind byte.
func Pack(schema avro.Schema, record any) []byte {
	body, err := avro.Marshal(schema, record)
	if err != nil {
		panic("script: pack: " + err.Error())
	}
	return body
}

// Unpack reads a record packed by Pack.
func Unpack(schema avro.Schema, body []byte, target any) error {
	if err := avro.Unmarshal(schema, body, target); err != nil {
		return notice.Wrap("script.unpack", notice.DiskCorrupt, err)
	}
	return nil
}
