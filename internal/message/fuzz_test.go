package message

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"
	"testing"
)

// sealed returns a frame with a right checksum, so that the fuzzer reaches the records.
func sealed(kind byte, record []byte) []byte {
	frame := append([]byte{kind}, record...)
	return binary.BigEndian.AppendUint32(frame, crc32.Checksum(frame, checksumTable))
}

// filled returns a message of a type with a value in every field.
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

// Any frame is refused, or decoded to a message that is the same after it was encoded again.
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

// checksumHolds computes the checksum of a frame apart from Decode.
func checksumHolds(frame []byte) bool {
	if len(frame) < 1+checksumBytes {
		return false
	}
	content, sum := frame[:len(frame)-checksumBytes], frame[len(frame)-checksumBytes:]
	return crc32.Checksum(content, checksumTable) == binary.BigEndian.Uint32(sum)
}

// A frame with a wrong checksum is never decoded.
func FuzzDecodeUnsealed(f *testing.F) {
	f.Add([]byte{})
	f.Add(sealed(1, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, frame []byte) {
		decoded, err := Decode(frame)
		if err == nil && !checksumHolds(frame) {
			t.Fatalf("%T was read from a frame with a wrong checksum", decoded)
		}
	})
}

// An array that claims more elements than any message has is refused before memory is allocated for it.
// Without that the fuzzer's seeds ended the process, which asked for 96 GiB.
func TestClaimedElementsTakeNoMemory(t *testing.T) {
	count := []byte{0xff, 0xff, 0xff, 0xff, 0x0f}
	for kind, entry := range byKind {
		beginsWithArray := entry.goType.NumField() > 0 && entry.goType.Field(0).Type.Kind() == reflect.Slice
		if _, err := Decode(sealed(kind, count)); err == nil && beginsWithArray {
			t.Errorf("%s is read from a claim of 2^32 elements", entry.goType)
		}
	}
}
