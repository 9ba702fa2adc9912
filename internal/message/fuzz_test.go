// Whatever comes over a connection or stands in a log is refused or read, and what was
// read says the same when it is written again.
package message

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"testing"
)

// sealed puts a right checksum behind a frame, so that the fuzzer reaches the records.
func sealed(kind byte, record []byte) []byte {
	frame := append([]byte{kind}, record...)
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, checksumTable))
}

// filled is a message of a type with something in every field.
func filled(goType reflect.Type, depth int) reflect.Value {
	value := reflect.New(goType).Elem()
	switch goType.Kind() {
	case reflect.String:
		value.SetString("text")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int64:
		value.SetInt(1 << 40)
	case reflect.Float64:
		value.SetFloat(1.5)
	case reflect.Slice:
		if depth > 0 {
			value = reflect.Append(value, filled(goType.Elem(), depth-1))
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(goType))
		value.SetMapIndex(reflect.ValueOf("key"), filled(goType.Elem(), depth))
	case reflect.Struct:
		for index := range goType.NumField() {
			value.Field(index).Set(filled(goType.Field(index).Type, depth))
		}
	}
	return value
}

func FuzzDecode(f *testing.F) {
	for kind, entry := range byKind {
		for _, depth := range []int{0, 2} {
			frame, err := Encode(filled(entry.goType, depth).Interface())
			if err != nil {
				f.Fatalf("%s: %v", entry.goType, err)
			}
			f.Add(kind, frame[1:len(frame)-checksumBytes])
		}
		f.Add(kind, []byte{})
		f.Add(kind, []byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	}
	f.Fuzz(func(t *testing.T, kind byte, record []byte) {
		decoded, err := Decode(sealed(kind, record))
		if err != nil {
			return
		}
		frame, err := Encode(decoded)
		if err != nil {
			t.Fatalf("%T was read and can't be written: %v", decoded, err)
		}
		again, err := Decode(frame)
		if err != nil {
			t.Fatalf("%T was written and can't be read: %v", decoded, err)
		}
		if fmt.Sprintf("%+v", again) != fmt.Sprintf("%+v", decoded) {
			t.Fatalf("%+v became %+v", decoded, again)
		}
	})
}

// Frames without a right checksum never pass.
func FuzzDecodeUnsealed(f *testing.F) {
	f.Add([]byte{})
	f.Add(sealed(1, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, frame []byte) {
		decoded, err := Decode(frame)
		if err == nil && (len(frame) < 1+checksumBytes || crc32.Checksum(frame[:len(frame)-checksumBytes], checksumTable) != binary.BigEndian.Uint32(frame[len(frame)-checksumBytes:])) {
			t.Fatalf("%T was read from a frame with a wrong checksum", decoded)
		}
	})
}

// An array that claims more elements than any message has is refused before memory is
// taken for it: the fuzzer's seeds ended the process with 96 GiB wanted.
func TestClaimedElementsTakeNoMemory(t *testing.T) {
	count := []byte{0xff, 0xff, 0xff, 0xff, 0x0f}
	for kind, entry := range byKind {
		if _, err := Decode(sealed(kind, count)); err == nil && entry.goType.NumField() > 0 && entry.goType.Field(0).Type.Kind() == reflect.Slice {
			t.Errorf("%s is read from a claim of 2^32 elements", entry.goType)
		}
	}
}
