// This file gives Go message types their Avro form: a schema is derived from the
// struct by reflection once, at start, and frames are a kind byte, the Avro record and
// a checksum: the library takes a record that ends early for one with empty fields.
// Messages hold only strings, bytes, bools, int64, float64, slices,
// string maps and structs, which is all that the processes say to each other.
package message

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"strings"

	"github.com/hamba/avro/v2"

	"beaconvane/internal/errcode"
)

type kindEntry struct {
	kind   byte
	schema avro.Schema
	goType reflect.Type
}

const sumBytes = 4

var sumTable = crc32.MakeTable(crc32.Castagnoli)

// maxBytes is above any frame cap that the settings allow.
const maxBytes = 256 << 20

// codec lifts the library's limit of 1 MiB on a byte string: the frame cap of the
// settings bounds what is read before it comes here.
var codec = avro.Config{MaxByteSliceSize: maxBytes}.Freeze()

var (
	byKind = map[byte]kindEntry{}
	byType = map[reflect.Type]kindEntry{}
)

// enrol registers a message type under its kind byte.
func enrol(kind byte, sample any) {
	goType := reflect.TypeOf(sample)
	entry := kindEntry{kind, SchemaOf(sample), goType}
	if _, taken := byKind[kind]; taken {
		panic(fmt.Sprintf("message: kind %d twice", kind))
	}
	byKind[kind] = entry
	byType[goType] = entry
}

// KindName names the message of a frame's kind byte.
func KindName(kind byte) string {
	if entry, found := byKind[kind]; found {
		return entry.goType.Name()
	}
	return ""
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
	panic("message: no Avro form for " + goType.String())
}

// Encode gives the frame body of a message: kind byte and Avro record.
func Encode(msg any) ([]byte, error) {
	entry, found := byType[reflect.TypeOf(msg)]
	if !found {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, fmt.Errorf("unknown type %T", msg))
	}
	body, err := codec.Marshal(entry.schema, msg)
	if err != nil {
		return nil, errcode.Wrap("message.encode", errcode.FrameBad, err)
	}
	frame := make([]byte, 0, len(body)+1+sumBytes)
	frame = append(append(frame, entry.kind), body...)
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, sumTable)), nil
}

// Decode reads a frame body back into its message (by value).
func Decode(frame []byte) (any, error) {
	if len(frame) < 1+sumBytes {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("short frame"))
	}
	frame, sum := frame[:len(frame)-sumBytes], binary.BigEndian.Uint32(frame[len(frame)-sumBytes:])
	if sum != crc32.Checksum(frame, sumTable) {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("checksum"))
	}
	entry, found := byKind[frame[0]]
	if !found {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, fmt.Errorf("unknown kind %d", frame[0]))
	}
	target := reflect.New(entry.goType)
	if err := codec.Unmarshal(entry.schema, frame[1:], target.Interface()); err != nil {
		return nil, errcode.Wrap("message.decode", errcode.FrameBad, err)
	}
	return target.Elem().Interface(), nil
}
